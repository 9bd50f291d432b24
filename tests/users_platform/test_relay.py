"""Tests the search for a connection holder that accepts a caller."""

import asyncio
import contextlib

from siskinhold.direct import VmEntry
from siskinhold.lines._relay import RelayProtocol, open_relay
from siskinhold_platform import WireCodec

CONNECT_LINE = b"CONNECT orders u1"
"""A caller's first line."""


@contextlib.asynccontextmanager
async def run_holder(name: str, greeting: bytes | None):
    """Run a fake holder that sends a greeting, or nothing; yield its entry."""

    async def answer(reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readline()
            if greeting is not None:
                writer.write(greeting)
            await reader.read()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield VmEntry(name=name, host="127.0.0.1", relay_port=port, zone="a", size=1000)
    finally:
        server.close()


class Caller:
    """Collects the bytes that a relay writes and counts its losses."""

    def __init__(self) -> None:
        self.written = b""
        self.lost = 0

    def make_relay(self) -> RelayProtocol:
        """Return a relay connection for this caller."""
        return RelayProtocol(codec=WireCodec(), write=self._write, lost=self._lose)

    def _write(self, data: bytes) -> None:
        self.written += data

    def _lose(self) -> None:
        self.lost += 1


class TestSearch:
    async def test_frozen_holder_is_passed_over(self):
        """Guards against callers that wait for a holder whose process is frozen."""
        caller = Caller()
        async with (
            run_holder("a", None) as frozen,
            run_holder("b", b"READY I -\r\n") as well,
        ):
            search = await open_relay((frozen, well), CONNECT_LINE, caller.make_relay)
            assert search.silent == ["a"]
            search.relay.start_forwarding()
            assert caller.written == b"READY I -\r\n"
            search.relay.close()

    async def test_holder_without_room_is_passed_over(self):
        """Guards against refusing callers while another holder has capacity."""
        caller = Caller()
        async with (
            run_holder("a", b"ERROR OVERLOAD x\r\n") as full,
            run_holder("b", b"READY I -\r\n") as well,
        ):
            search = await open_relay((full, well), CONNECT_LINE, caller.make_relay)
            assert search.refused == ["a"]
            search.relay.start_forwarding()
            assert caller.written == b"READY I -\r\n"
            search.relay.close()

    async def test_unknown_database_ends_the_search(self):
        """Guards against a further search after a final refusal."""
        caller = Caller()
        async with (
            run_holder("a", b"ERROR NODB x\r\n") as first,
            run_holder("b", b"READY I -\r\n") as second,
        ):
            search = await open_relay((first, second), CONNECT_LINE, caller.make_relay)
            search.relay.start_forwarding()
            assert caller.written == b"ERROR NODB x\r\n"
            search.relay.close()

    async def test_search_ends_while_the_caller_waits(self):
        """Guards against callers that time out before they are refused."""
        caller = Caller()
        clock = asyncio.get_running_loop().time
        async with contextlib.AsyncExitStack() as stack:
            frozen = []
            for name in ("a", "b", "c", "d"):
                holder = run_holder(name, None)
                frozen.append(await stack.enter_async_context(holder))
            began = clock()
            search = await open_relay(tuple(frozen), CONNECT_LINE, caller.make_relay)
            assert search.relay is None
            assert clock() - began < 2.0

    async def test_lost_holder_ends_the_caller_once(self):
        """Guards against a caller that waits for the answer of a lost holder."""
        caller = Caller()
        async with run_holder("a", b"READY I -\r\n") as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            search.relay.start_forwarding()
            search.relay.transport.abort()
            await asyncio.sleep(0.05)
            assert caller.lost == 1
