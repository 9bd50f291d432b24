"""Tests the HTTP client on slow links."""

import asyncio
import contextlib
import signal
import socket
import subprocess
import sys

import pytest

from siskinhold.lines import HttpClient, HttpFailure, _http
from siskinhold.lines._clock import read_clock
from siskinhold.lines._http import MAX_LARGE_ANSWERS, HttpAnswer, HttpServer

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


class TestServer:
    @contextlib.asynccontextmanager
    async def run_server(self):
        """Run a server with a large and a small answer; yield its port."""
        # Larger than what the sockets' buffers take.
        answers = {
            "/large": HttpAnswer(status=200, body=b"x" * (6 << 20)),
            "/small": HttpAnswer(status=200, body=b"y"),
        }
        server = HttpServer(host="127.0.0.1", port=0, answer=answers.get)
        await server.start()
        try:
            yield server._server.sockets[0].getsockname()[1]
        finally:
            await server.stop()
            # The server's ends of aborted connections close within the test.
            await asyncio.sleep(0.1)

    async def request(self, port: int, path: str):
        """Send a request; return the reader, the writer and the status."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1024)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 5)
        return reader, writer, int(line.split()[1])

    async def test_large_answers_take_a_limited_amount_of_memory(self):
        """Guards against a VM that runs out of memory as hundreds of others ask it for
        the configuration over a slow link."""
        async with self.run_server() as port:
            writers = []
            statuses = []
            for _ in range(MAX_LARGE_ANSWERS + 40):
                _, writer, status = await self.request(port, "/large")
                writers.append(writer)
                statuses.append(status)
            assert statuses.count(200) == MAX_LARGE_ANSWERS
            assert statuses.count(503) == 40
            _, writer, status = await self.request(port, "/small")
            assert status == 200
            for each in (*writers, writer):
                each.transport.abort()

    async def test_answers_end_with_their_connections(self):
        """Guards against a server that refuses for good once VMs have gone."""
        async with self.run_server() as port:
            for _ in range(MAX_LARGE_ANSWERS):
                _, writer, _ = await self.request(port, "/large")
                writer.transport.abort()
            await asyncio.sleep(0.2)
            _, writer, status = await self.request(port, "/large")
            assert status == 200
            writer.transport.abort()


class TestSilentConnection:
    async def test_order_is_answered_though_an_idle_connection_is_silent(self):
        """Guards against a promotion that waits a second for a dead connection."""

        async def answer_once(reader, writer):
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await reader.read()
            writer.close()

        server = await asyncio.start_server(answer_once, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(host="127.0.0.1", port=port)
        for _ in range(2):
            deadline = read_clock() + 1.0
            answer = await client.request(
                "POST", "/promotion", timeout=1.0, send_by=deadline
            )
            assert answer.status == 200
        server.close()
        await asyncio.sleep(0.05)


@contextlib.contextmanager
def listen():
    """Yield a socket that listens with a small receive buffer, and its port."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        yield listener, listener.getsockname()[1]


async def read_all(connection: socket.socket) -> tuple[int, bool]:
    """Return the number of bytes that arrive, and whether they end by a reset."""
    loop = asyncio.get_running_loop()
    count = 0
    try:
        while True:
            received = await asyncio.wait_for(loop.sock_recv(connection, 1 << 16), 3)
            if not received:
                return count, False
            count += len(received)
    except ConnectionResetError:
        return count, True
    except TimeoutError:
        return count, False


HELD_UP = b"x" * 200_000
"""A body of which the sender's kernel keeps a part until the receiver reads."""


ORDER_SCRIPT = """
import uvloop
from siskinhold.lines import HttpClient
from siskinhold.lines._clock import read_clock

async def order():
    await HttpClient(host="127.0.0.1", port={port}).request(
        "POST",
        "/promotion",
        body=b"x" * {length},
        timeout=5.0,
        send_by=read_clock() + {seconds},
    )

uvloop.run(order())
"""
"""Program that sends an order of which a part is held up."""


@contextlib.asynccontextmanager
async def run_order(seconds: float):
    """Run a process that sends an order; yield it and the receiver's connection."""
    loop = asyncio.get_running_loop()
    with listen() as (listener, port):
        text = ORDER_SCRIPT.format(port=port, length=len(HELD_UP), seconds=seconds)
        process = subprocess.Popen([sys.executable, "-c", text])
        try:
            connection, _ = await asyncio.wait_for(loop.sock_accept(listener), 20)
            with connection:
                await asyncio.sleep(0.2)
                yield process, connection
        finally:
            process.kill()
            process.wait()


class TestHeldUpRequest:
    async def test_bytes_of_an_order_given_up_are_not_delivered_later(self):
        """Guards against an order that arrives after the next claimant's."""
        loop = asyncio.get_running_loop()
        with listen() as (listener, port):
            client = HttpClient(host="127.0.0.1", port=port)
            with pytest.raises(HttpFailure):
                await client.request(
                    "POST",
                    "/promotion",
                    body=HELD_UP,
                    timeout=5.0,
                    send_by=read_clock() + 0.2,
                )
            connection, _ = await loop.sock_accept(listener)
            with connection:
                count, reset = await read_all(connection)
        assert reset, f"{count} bytes arrived without a reset"
        assert count < len(HELD_UP)

    async def test_order_of_a_process_that_ends_is_not_delivered_later(self):
        """Guards against an order that arrives after its VM has shut down."""
        loop = asyncio.get_running_loop()
        with listen() as (listener, port):
            client = HttpClient(host="127.0.0.1", port=port)
            order = client.request(
                "POST",
                "/promotion",
                body=HELD_UP,
                timeout=5.0,
                send_by=read_clock() + 5.0,
            )
            task = asyncio.create_task(order)
            await asyncio.sleep(0.2)
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
            connection, _ = await loop.sock_accept(listener)
            with connection:
                count, reset = await read_all(connection)
        assert reset, f"{count} bytes arrived without a reset"

    async def test_order_of_a_killed_process_is_not_delivered_later(self):
        """Guards against an order that the kernel delivers for a killed process."""
        async with run_order(seconds=5.0) as (process, connection):
            process.kill()
            process.wait()
            count, reset = await read_all(connection)
            assert reset, f"{count} bytes arrived without a reset"
            assert count < len(HELD_UP)

    async def test_deadline_of_an_order_counts_suspended_time(self, monkeypatch):
        """Guards against an order that is held up while its VM is suspended."""
        loop = asyncio.get_running_loop()
        offset = 0.0
        monkeypatch.setattr(_http, "read_clock", lambda: read_clock() + offset)
        with listen() as (listener, port):
            client = HttpClient(host="127.0.0.1", port=port)
            order = client.request(
                "POST",
                "/promotion",
                body=HELD_UP,
                timeout=5.0,
                send_by=read_clock() + 5.0,
            )
            task = asyncio.create_task(order)
            await asyncio.sleep(0.2)
            offset = 10.0
            began = loop.time()
            with pytest.raises(HttpFailure):
                await task
            assert loop.time() - began < 0.5
            connection, _ = await loop.sock_accept(listener)
            with connection:
                count, reset = await read_all(connection)
        assert reset, f"{count} bytes arrived without a reset"
        assert count < len(HELD_UP)

    async def test_order_of_a_frozen_process_is_not_delivered_later(self):
        """Guards against an order that the kernel delivers after its deadline."""
        async with run_order(seconds=1.0) as (process, connection):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(2.0)
            count, reset = await read_all(connection)
            assert reset, f"{count} bytes arrived without a reset"
            assert count < len(HELD_UP)
