"""Tests of the account of the bytes that are held for callers, and of its inputs."""

import asyncio

from hypothesis import given, settings, strategies as st

from siskinhold.direct import CallerLimits
from siskinhold.lines import LINE_LIMIT
from siskinhold.lines._callers import LineCallers
from siskinhold.lines._memory import Holder, MemoryAccount
from siskinhold.listener import open_listener
from siskinhold_platform import WireCodec

LINES = st.one_of(
    st.binary(max_size=200),
    st.sampled_from((b"\r\n", b"\r", b"CONNECT a b\r\n", b"QUERY 1 READ x\r\n")),
    st.integers(1, LINE_LIMIT + 2).map(lambda size: b"z" * size),
)


class Caller(Holder):
    """Holds bytes until it is released."""

    kind = "caller"

    def __init__(self, size: int) -> None:
        self.size = size

    @property
    def held(self) -> int:
        return self.size

    def release(self) -> None:
        self.size = 0


class TestLimit:
    def release(self, sizes: list[int], limit: int) -> list[int]:
        """Count callers of some sizes; return what is left of them."""
        account = MemoryAccount(limit=limit, observe=lambda *_: None)
        callers = [Caller(size) for size in sizes]
        for caller in callers:
            account.update(caller)
        assert account.total == sum(caller.size for caller in callers) <= limit
        return [caller.size for caller in callers]

    def test_largest_are_released(self):
        """Guards against ordinary callers that pay for those who hold much."""
        assert self.release([2, 60, 3, 50, 1], 100) == [2, 0, 3, 50, 1]

    def test_sent_bytes_count_no_longer(self):
        """Guards against callers that are released for bytes which were sent."""
        account = MemoryAccount(limit=100, observe=lambda *_: None)
        first, second = Caller(90), Caller(90)
        account.update(first)
        first.size = 0
        account.update(second)
        assert second.size == 90


class TestAnyInput:
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.lists(LINES, max_size=12), min_size=1, max_size=4))
    def test_is_survived_within_the_limit(self, callers):
        """Guards against bytes that end the process or are kept without limit."""
        asyncio.run(self.play(callers))

    async def play(self, inputs: list[list[bytes]]) -> None:
        """Send the inputs to callers that wait for their answers."""
        limits = CallerLimits(memory=1 << 20)
        listener = open_listener("127.0.0.1", 0)
        port = listener.getsockname()[1]
        callers = LineCallers(
            host="127.0.0.1",
            port=port,
            relay_port=0,
            codec=WireCodec(),
            limit=100,
            listener=listener,
            limits=limits,
        )
        await callers.start(lambda event: None)
        writers = []
        for parts in inputs:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writers.append(writer)
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0)
        for _ in range(5):
            await asyncio.sleep(0.001)
            held = sum(connection.held for connection in callers.open)
            assert held <= limits.memory
        for writer in writers:
            writer.transport.abort()
        await callers.stop()
