"""HTTP/1.1 with `h11`: a client with persistent connections, and a small server.

A larger HTTP library would triple the start time of the process, and so the outage of a
VM after a crash.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field

import h11

from ._clock import read_clock
from ._http_connections import MAX_CONNECTIONS, OpenConnections

CHUNK_SIZE = 1 << 16
"""Maximum number of bytes in one read."""

IDLE_TIMEOUT = 20.0
"""Seconds after which an idle connection is not reused."""

ANSWER_TIMEOUT = 12.0
"""Seconds within which a whole answer must arrive. The configuration of a large
deployment takes seconds over a slow link on which many VMs read it at once."""

DEADLINE_CHECK_INTERVAL = 0.05
"""Seconds between two checks of a request's deadline, which counts suspended time."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` with which a closed connection discards its unsent bytes."""

MAX_ANSWER_SIZE = 8 << 20
"""Bytes of an answer's body; an answer with a larger one has failed."""

REQUEST_TIMEOUT = 5.0
"""Seconds that the server waits for the next bytes of a request."""

LARGE_ANSWER = 1 << 14
"""Bytes from which the body of an answer counts as large."""

MAX_LARGE_ANSWERS = 16
"""Large answers that one server sends at the same time: with the largest configuration,
of 1 MB, they take 16 MB of the process's memory."""


class HttpFailure(Exception):
    """A request got no complete answer; it may still have been executed."""


@dataclass(slots=True, kw_only=True, frozen=True)
class HttpAnswer:
    """The status, body and headers of an HTTP response.

    Args:
        headers: values by lower-case name; of a received response only.
    """

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=dict)


class HttpClient:
    """Sends requests to one address; must be created on a running event loop.

    Args:
        host: IP address.
        port: TCP port.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_Connection] = []
        self._clock = asyncio.get_running_loop().time

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout: float,
        send_by: float | None = None,
    ) -> HttpAnswer:
        """Send a request and return its answer.

        Args:
            send_by: time of the runtime's clock after which it may not be sent, and its
                answer is not awaited. Unlike the timeout it also counts time in which
                the process is suspended. Such a request gets a connection of its own,
                as an idle one may have gone silent, and what the network has not
                delivered by then is discarded.
            timeout: maximum time until the answer begins, and between two parts of
                it, in seconds. Aborting a request while its answer still arrives, and
                retrying it, would add load to a slow link.

        Raises:
            HttpFailure: if no complete answer arrives in time, or the path, a header
                or the address can't be used.
        """
        fields = [("Host", f"{self._host}:{self._port}"), *headers]
        if body or method != "GET":
            fields.append(("Content-Length", str(len(body))))
        connection = None
        if send_by is not None:
            timeout = min(timeout, max(0.0, send_by - read_clock()))
        try:
            request = h11.Request(method=method, target=path, headers=fields)
            async with asyncio.timeout(timeout) as limit:
                if send_by is None:
                    connection = await self._get_connection()
                else:
                    connection = await self._open_connection()
                    remaining = send_by - read_clock()
                    if remaining <= 0:
                        raise HttpFailure("not sent: its deadline has passed")
                    connection.limit_delivery(remaining)
                    # A pause just before the write is noticed right after it.
                    loop = asyncio.get_running_loop()
                    loop.call_soon(_abort_at, connection, send_by)
                answer = await connection.exchange(request, body, limit, timeout)
        except TimeoutError:
            # Idle connections to the same address are probably dead as well.
            self._abort_connections(connection)
            raise HttpFailure(f"no answer within {timeout} s") from None
        except (
            OSError,
            h11.ProtocolError,
            EOFError,
            UnicodeError,
            OverflowError,
        ) as error:
            self._abort_connections(connection)
            raise HttpFailure(repr(error)) from error
        except (asyncio.CancelledError, HttpFailure):
            self._abort_connections(connection)
            raise
        if send_by is None and connection.reusable:
            connection.idle_since = self._clock()
            self._idle.append(connection)
        else:
            connection.abort()
        return answer

    async def _get_connection(self) -> "_Connection":
        """Return a connection that was idle only briefly, or a new one."""
        while self._idle:
            connection = self._idle.pop()
            fresh = self._clock() - connection.idle_since < IDLE_TIMEOUT
            if fresh and not connection.closed:
                return connection
            connection.abort()
        return await self._open_connection()

    async def _open_connection(self) -> "_Connection":
        """Return a new connection."""
        reader, writer = await asyncio.open_connection(self._host, self._port)
        return _Connection(reader=reader, writer=writer)

    def _abort_connections(self, connection: "_Connection | None") -> None:
        """Abort a connection and all idle ones."""
        if connection is not None:
            connection.abort()
        for other in self._idle:
            other.abort()
        self._idle.clear()

    def close(self) -> None:
        """Close the idle connections."""
        self._abort_connections(None)


def _abort_at(connection: "_Connection", deadline: float) -> None:
    """Abort a connection at a time of the runtime's clock."""
    if connection.closed:
        return
    remaining = deadline - read_clock()
    if remaining <= 0:
        connection.abort()
        return
    delay = min(remaining, DEADLINE_CHECK_INTERVAL)
    loop = asyncio.get_running_loop()
    loop.call_later(delay, _abort_at, connection, deadline)


class _Connection:
    """A persistent connection of the client."""

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._state = h11.Connection(our_role=h11.CLIENT)
        self.idle_since = 0.0

    @property
    def closed(self) -> bool:
        """Whether either end has closed the connection."""
        return self._reader.at_eof() or self._writer.is_closing()

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent; prepares the state for it."""
        if self._state.our_state is not h11.DONE:
            return False
        if self._state.their_state is not h11.DONE:
            return False
        self._state.start_next_cycle()
        return True

    async def exchange(
        self,
        request: h11.Request,
        body: bytes,
        limit: asyncio.Timeout,
        part_timeout: float,
    ) -> HttpAnswer:
        """Send a request and return its answer.

        Args:
            limit: deadline, which is extended with each part of the answer.
            part_timeout: maximum time between two parts, in seconds.
        """
        clock = asyncio.get_running_loop().time
        deadline = clock() + max(part_timeout, ANSWER_TIMEOUT)
        data = self._state.send(request)
        if body:
            data += self._state.send(h11.Data(data=body))
        data += self._state.send(h11.EndOfMessage())
        self._writer.write(data)
        status = size = 0
        headers = {}
        content = []
        while True:
            event = self._state.next_event()
            if event is h11.NEED_DATA:
                received = await self._reader.read(CHUNK_SIZE)
                limit.reschedule(min(deadline, clock() + part_timeout))
                if not received and not status:
                    raise EOFError("connection closed without an answer")
                self._state.receive_data(received)
            elif isinstance(event, h11.Response):
                status = event.status_code
                for name, value in event.headers:
                    headers[name.decode("ascii")] = value.decode("latin-1")
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_ANSWER_SIZE:
                    raise HttpFailure(f"answer exceeds {MAX_ANSWER_SIZE} bytes")
                content.append(bytes(event.data))
            elif isinstance(event, (h11.EndOfMessage, h11.ConnectionClosed)):
                return HttpAnswer(
                    status=status, body=b"".join(content), headers=headers
                )

    def limit_delivery(self, seconds: float) -> None:
        """Discard what is not delivered in time, even if the process freezes or ends.

        Args:
            seconds: time until unacknowledged data is discarded.
        """
        self._reset_on_close()
        milliseconds = max(1, int(seconds * 1000))
        self._writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )

    def abort(self) -> None:
        """Reset the connection at once, so that unsent data is discarded."""
        if not self._writer.is_closing():
            self._reset_on_close()
        self._writer.transport.abort()

    def _reset_on_close(self) -> None:
        """Have the socket's unsent data discarded when it is closed, if possible."""
        with contextlib.suppress(OSError):
            self._writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


class HttpServer:
    """Answers `GET` requests on one port; a connection that pipelines is closed.

    A request for a large answer gets status 503 while `MAX_LARGE_ANSWERS` are being
    sent: many VMs may ask for the configuration at once over a slow link.

    Args:
        host: IP address to listen on.
        port: TCP port.
        answer: returns the answer for a path, or a coroutine that does; None for
            status 404.
        max_connections: connections that are kept open, see `OpenConnections`.
        observe: called with the name and the value of a metric.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        answer: Callable,
        max_connections: int = MAX_CONNECTIONS,
        observe: Callable | None = None,
    ) -> None:
        self._open = OpenConnections(limit=max_connections, observe=observe)
        self._host = host
        self._port = port
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._large_answers = 0

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer requests on a connection until either side closes it."""
        self._open.add(writer)
        state = h11.Connection(our_role=h11.SERVER)
        try:
            while await self._serve_one(state, reader, writer):
                state.start_next_cycle()
        except (OSError, TimeoutError):
            # The client has disconnected or stalled; it retries on its own.
            return
        except h11.RemoteProtocolError:
            writer.write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
        finally:
            self._open.close(writer)

    async def _serve_one(self, state, reader, writer) -> bool:
        """Answer one request; return whether the connection can be reused."""
        path = None
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                async with asyncio.timeout(REQUEST_TIMEOUT):
                    state.receive_data(await reader.read(CHUNK_SIZE))
            elif isinstance(event, h11.Request):
                path = event.target.decode("ascii").partition("?")[0]
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return False
        if not self._open.begin_answer(writer):
            return False
        answer = self._answer(path)
        if asyncio.iscoroutine(answer):
            answer = await answer
        answer = answer or HttpAnswer(status=404, body=b"")
        if len(answer.body) < LARGE_ANSWER:
            await self._send(state, writer, answer)
        elif self._large_answers >= MAX_LARGE_ANSWERS:
            await self._send(state, writer, HttpAnswer(status=503, body=b""))
        else:
            self._large_answers += 1
            try:
                await self._send(state, writer, answer)
            finally:
                self._large_answers -= 1
        self._open.end_answer(writer)
        done = state.our_state is h11.DONE and state.their_state is h11.DONE
        return done and not state.trailing_data[0]

    async def _send(self, state, writer, answer: HttpAnswer) -> None:
        """Send an answer; return once the other side has taken nearly all of it.

        Raises:
            TimeoutError: if it takes longer than `ANSWER_TIMEOUT`; what is not sent yet
                is discarded.
        """
        headers = [
            ("Content-Length", str(len(answer.body))),
            ("Content-Type", "text/plain; charset=utf-8"),
        ]
        data = state.send(h11.Response(status_code=answer.status, headers=headers))
        data += state.send(h11.Data(data=answer.body))
        data += state.send(h11.EndOfMessage())
        writer.write(data)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT):
                await writer.drain()
        except TimeoutError:
            writer.transport.abort()
            raise
