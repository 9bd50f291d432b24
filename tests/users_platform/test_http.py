"""Tests the HTTP client on slow links."""

import asyncio
import contextlib

import pytest

from siskinhold.lines import HttpClient, HttpFailure

PART = b"x" * 100
"""One part of the body of an answer."""


@contextlib.asynccontextmanager
async def run_slow_server(parts: int, gap: float, stop_after: int | None = None):
    """Answer requests in delayed parts; yield the port and the list of requests."""
    requests = []

    async def answer(reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            requests.append(1)
            length = parts * len(PART)
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n"
            writer.write(head.encode())
            for number in range(parts):
                if number == stop_after:
                    await asyncio.sleep(3600)
                await asyncio.sleep(gap)
                writer.write(PART)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1], requests
    finally:
        server.close()


class TestTimeout:
    async def test_slow_answer_is_received_whole(self):
        """Guards against repeated requests for a large answer that arrives slowly."""
        async with run_slow_server(parts=8, gap=0.1) as (port, requests):
            client = HttpClient(host="127.0.0.1", port=port)
            answer = await client.request("GET", "/", timeout=0.4)
            assert answer.body == PART * 8
            assert len(requests) == 1
            client.close()

    async def test_stalled_answer_times_out(self):
        """Guards against a call that hangs when an answer stops midway."""
        async with run_slow_server(parts=8, gap=0.01, stop_after=3) as (port, _):
            client = HttpClient(host="127.0.0.1", port=port)
            clock = asyncio.get_running_loop().time
            began = clock()
            with pytest.raises(HttpFailure):
                await client.request("GET", "/", timeout=0.4)
            assert clock() - began < 2.0
