"""Callers that speak the line protocol."""

import asyncio
import functools
import logging
import socket
from collections import deque
from collections.abc import Callable

from ..direct import (
    AcceptCaller,
    Answer,
    CallerClosed,
    CallerOpened,
    CallerStatement,
    CloseCaller,
    Event,
    HoldersUnavailable,
    Refusal,
    RefuseCaller,
    RelayCaller,
    ReplyCaller,
    Statement,
)
from ..listener import BACKLOG, open_listener
from ._clock import read_clock
from ._codec import Garbled, Goodbye, Hello, LineCodec
from ._protocol import LineProtocol
from ._relay import RelayProtocol, open_relay

USER_TIMEOUT = 10.0
"""Seconds without an acknowledgement after which a caller counts as gone: longer than
any deadline of a caller, since a shorter pause of the network does no harm."""

QUEUE_LIMIT = 64
"""Statements that a caller may send ahead of the answers."""

_log = logging.getLogger(__name__)

Emit = Callable[[Event], None]


class LineCallers:
    """Listens for callers; turns their lines into events and replies into lines.

    Args:
        host: IP address to listen on.
        port: port to listen on.
        relay_port: port for callers that other VMs relay, 0 for none.
        codec: the wire.
        limit: greatest number of connections.
        listener: listens on the port already; by default a socket is opened.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        relay_port: int,
        codec: LineCodec,
        limit: int,
        listener: socket.socket | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._relay_port = relay_port
        self._listener = listener
        self.codec = codec
        self.limit = limit
        self.connections: dict[int, _CallerProtocol] = {}
        self._next = 1
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self.emit: Emit | None = None

    async def start(self, emit: Emit) -> None:
        """Start to listen.

        Raises:
            OSError: if the address can't be bound.
        """
        self.emit = emit
        if self._listener is None:
            self._listener = open_listener(self._host, self._port)
        await self._serve(self._listener, relayed=False)
        if self._relay_port:
            listener = open_listener(self._host, self._relay_port)
            await self._serve(listener, relayed=True)

    async def _serve(self, listener: socket.socket, *, relayed: bool) -> None:
        server = await asyncio.get_running_loop().create_server(
            functools.partial(_CallerProtocol, callers=self, relayed=relayed),
            sock=listener,
            backlog=BACKLOG,
        )
        self._servers.append(server)

    def take_number(self) -> int:
        """Return the number of a new session."""
        number = self._next
        self._next += 1
        return number

    def greet(self, effect: AcceptCaller) -> None:
        """Accept a caller's connection."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.write(self.codec.encode_greeting())

    def relay(self, effect: RelayCaller) -> None:
        """Relay a caller's connection to a holder."""
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        task = asyncio.get_running_loop().create_task(connection.relay(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end_relays(self) -> None:
        """End the relays on which nothing is open."""
        for connection in list(self.connections.values()):
            connection.end_relay()

    def stop_relays(self) -> None:
        """Take no more callers that other VMs relay."""
        for server in self._servers[1:]:
            server.close()

    def refuse(self, effect: RefuseCaller) -> None:
        """Refuse a caller's connection and close it."""
        connection = self.connections.pop(effect.session, None)
        if connection is not None:
            connection.write(self.codec.encode_refusal(effect.refusal, effect.detail))
            connection.close()

    def reply(self, effect: ReplyCaller) -> None:
        """Answer a statement."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.answer(effect.answer)

    def close(self, effect: CloseCaller) -> None:
        """Close a caller's connection once what was written is sent."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.close()

    async def stop(self) -> None:
        """Stop to listen and close all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections.values()):
            connection.close()


class _CallerProtocol(LineProtocol):
    """One caller's connection; its statements are handed on one at a time."""

    def __init__(self, *, callers: LineCallers, relayed: bool) -> None:
        super().__init__(user_timeout=USER_TIMEOUT)
        self._callers = callers
        self._relayed = relayed
        self._session = 0
        self._busy = False
        self._waiting: deque[Statement] = deque()
        self._hello = b""
        self._relay: RelayProtocol | None = None
        self._relaying = False
        self._early: list[bytes] = []

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Count the connection, or close it if there are too many."""
        super().connection_made(transport)
        if len(self._callers.connections) >= self._callers.limit:
            _log.warning("event=caller_rejected reason=too_many_connections")
            transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell that the caller has left."""
        self.transport = None
        self._waiting.clear()
        if self._relay is not None:
            self._relay.close()
        if not self._session:
            return
        self._callers.connections.pop(self._session, None)
        at = read_clock()
        self._callers.emit(CallerClosed(at=at, session=self._session))

    def take_line(self, line: bytes) -> None:
        """Act on a line of the caller, or relay it."""
        if self._relaying:
            if self._relay is None:
                self._early.append(line)
            else:
                self._relay.pass_on(line)
            return
        message = self._callers.codec.parse_caller(line)
        if isinstance(message, Goodbye):
            self.close()
        elif isinstance(message, Hello):
            self._hello = line
            self._open(message)
        elif isinstance(message, Garbled) or not self._session:
            reason = getattr(message, "reason", "statement_before_hello")
            self._reject(reason)
        elif self._busy:
            if len(self._waiting) >= QUEUE_LIMIT:
                self._reject("too_many_statements_ahead")
                return
            self._waiting.append(message)
        else:
            self._hand_on(message)

    def take_overflow(self) -> None:
        """Reject a line that is too long."""
        self._reject("line_too_long")

    def _open(self, message: Hello) -> None:
        if self._session:
            self._reject("second_hello")
            return
        self._session = self._callers.take_number()
        self._callers.connections[self._session] = self
        self._callers.emit(
            CallerOpened(
                at=read_clock(),
                session=self._session,
                database=message.database,
                relayed=self._relayed,
            )
        )

    async def relay(self, effect: RelayCaller) -> None:
        """Relay the connection to the first holder that can be reached."""
        self._relaying = True
        search = await open_relay(effect.holders, self._hello, self._make_relay)
        relay = search.relay
        if search.silent or search.refused:
            self._callers.emit(
                HoldersUnavailable(
                    at=read_clock(),
                    silent=tuple(search.silent),
                    refused=tuple(search.refused),
                    session=self._session if relay is None else 0,
                )
            )
        if relay is None:
            return
        if self.transport is None:
            relay.close()
            return
        self._relay = relay
        relay.choose()
        for line in self._early:
            relay.pass_on(line)
        self._early.clear()

    def _make_relay(self) -> RelayProtocol:
        return RelayProtocol(
            codec=self._callers.codec, write=self.write, lost=self.close
        )

    def end_relay(self) -> None:
        """Close the connection if it is relayed and nothing is open on it."""
        if self._relay is not None and self._relay.idle:
            self.close()

    def _hand_on(self, statement: Statement) -> None:
        self._busy = True
        self._callers.emit(
            CallerStatement(at=read_clock(), session=self._session, statement=statement)
        )

    def _reject(self, reason: str) -> None:
        _log.warning(
            "event=caller_line_rejected session=%d reason=%s", self._session, reason
        )
        self.write(self._callers.codec.encode_refusal(Refusal.MALFORMED, reason))
        self.close()

    def answer(self, answer: Answer) -> None:
        """Send the answer and hand on the next statement, if one waits."""
        self._busy = False
        self.write(self._callers.codec.encode_answer(answer))
        if self._waiting and self.transport is not None:
            self._hand_on(self._waiting.popleft())

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is gone."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection once what was written is sent."""
        if self.transport is not None:
            self.transport.close()
