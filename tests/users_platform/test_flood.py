"""Tests of a VM that gets more connections of callers than it has descriptors for."""

import asyncio
import contextlib

import pytest

from siskinhold.direct import AcceptCaller, CallerOpened, RelayCaller, VmEntry
from siskinhold.lines import _callers
from siskinhold.lines._callers import LineCallers
from siskinhold.listener import open_listener
from siskinhold_platform import WireCodec


class Vm:
    """A VM's callers, each of which is accepted or relayed."""

    def __init__(self, *, limit: int, holder: VmEntry | None = None) -> None:
        self.listener = open_listener("127.0.0.1", 0)
        self.port = self.listener.getsockname()[1]
        self.holder = holder
        self.writers = []
        self.callers = LineCallers(
            host="127.0.0.1",
            port=self.port,
            relay_port=0,
            codec=WireCodec(),
            limit=limit,
            listener=self.listener,
        )

    def emit(self, event) -> None:
        """Accept or relay a caller that has opened its session."""
        if not isinstance(event, CallerOpened):
            return
        if self.holder is None:
            self.callers.accept(AcceptCaller(session=event.session))
            return
        effect = RelayCaller(session=event.session, holders=(self.holder,))
        self.callers.relay(effect)

    async def connect(self, line: bytes = b"CONNECT orders u1\r\n"):
        """Connect a caller; return its reader and writer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(line)
        self.writers.append(writer)
        return reader, writer


@contextlib.asynccontextmanager
async def run_vm(**settings):
    """Run the callers' side of a VM."""
    vm = Vm(**settings)
    await vm.callers.start(vm.emit)
    watch = asyncio.create_task(vm.callers.watch_silent_callers())
    try:
        yield vm
    finally:
        watch.cancel()
        for writer in vm.writers:
            writer.transport.abort()
        await vm.callers.stop()
        await asyncio.sleep(0.05)


async def read_line(reader) -> bytes:
    return await asyncio.wait_for(reader.readline(), 3)


class TestSilentCallers:
    async def test_take_no_descriptors_for_long(self, monkeypatch, caplog):
        """Guards against a VM that half-open connections fill for good."""
        monkeypatch.setattr(_callers, "FIRST_LINE_TIMEOUT", 0.2)
        monkeypatch.setattr(_callers, "SILENCE_CHECK_INTERVAL", 0.05)
        async with run_vm(limit=20) as vm:
            accepted, _ = await vm.connect()
            assert await read_line(accepted) == b"READY I -\r\n"
            silent = []
            for _ in range(19):
                silent.append(await vm.connect(b"CONN"))
            for reader, _ in silent:
                assert await asyncio.wait_for(reader.read(), 3) == b""
            late, _ = await vm.connect()
            assert await read_line(late) == b"READY I -\r\n"
            # A session that is idle stays open.
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(accepted.read(), 0.5)
        lines = [r for r in caplog.messages if "silent_callers_closed" in r]
        assert 1 <= len(lines) < 19


class TestLimit:
    async def test_silent_ones_count(self):
        """Guards against descriptors that run out, which ends all service."""
        async with run_vm(limit=5) as vm:
            for _ in range(5):
                await vm.connect(b"")
            await asyncio.sleep(0.1)
            refused, _ = await vm.connect()
            assert (await read_line(refused)).startswith(b"ERROR OVERLOAD")
            assert await asyncio.wait_for(refused.read(), 3) == b""

    async def test_relayed_one_takes_two(self):
        """Guards against relays that fail for want of a descriptor, so that their
        holders count as lost."""
        async with run_vm(limit=100) as other:
            holder = VmEntry(
                name="vm-2",
                host="127.0.0.1",
                relay_port=other.port,
                zone="a",
                size=1000,
            )
            async with run_vm(limit=6, holder=holder) as vm:
                writers = []
                for _ in range(3):
                    reader, writer = await vm.connect()
                    writers.append(writer)
                    assert await read_line(reader) == b"READY I -\r\n"
                refused, _ = await vm.connect()
                assert (await read_line(refused)).startswith(b"ERROR OVERLOAD")
                writers[0].close()
                await asyncio.sleep(0.1)
                reader, _ = await vm.connect()
                assert await read_line(reader) == b"READY I -\r\n"
