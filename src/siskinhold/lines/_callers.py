"""Callers that speak the line protocol."""

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from ..direct import (
    Answer,
    CallerClosed,
    CallerOpened,
    CallerStatement,
    CloseCaller,
    Event,
    GreetCaller,
    Refusal,
    RefuseCaller,
    ReplyCaller,
    Statement,
)
from ._clock import read_clock
from ._codec import Garbled, Goodbye, Hello, LineCodec
from ._protocol import LineProtocol

USER_TIMEOUT = 10.0
"""Seconds without an acknowledgement after which a caller counts as gone: longer than
any deadline of a caller, since a shorter pause of the network does no harm."""

QUEUE_LIMIT = 64
"""Statements that a caller may send ahead of the answers."""

BACKLOG = 1024
"""Connections that may wait to be accepted."""

_log = logging.getLogger(__name__)

Emit = Callable[[Event], None]


class LineCallers:
    """Listens for callers; turns their lines into events and replies into lines.

    Args:
        host: IP address to listen on.
        port: port to listen on.
        codec: the wire.
        limit: greatest number of connections.
    """

    def __init__(self, *, host: str, port: int, codec: LineCodec, limit: int) -> None:
        self._host = host
        self._port = port
        self.codec = codec
        self.limit = limit
        self.connections: dict[int, _CallerProtocol] = {}
        self._next = 1
        self._server: asyncio.Server | None = None
        self.emit: Emit | None = None

    async def start(self, emit: Emit) -> None:
        """Start to listen.

        Raises:
            OSError: if the address can't be bound.
        """
        self.emit = emit
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerProtocol(callers=self),
            self._host,
            self._port,
            backlog=BACKLOG,
        )

    def take_number(self) -> int:
        """Return the number of a new session."""
        number = self._next
        self._next += 1
        return number

    def greet(self, effect: GreetCaller) -> None:
        """Accept a caller's connection."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.write(self.codec.encode_greeting())

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
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections.values()):
            connection.close()


class _CallerProtocol(LineProtocol):
    """One caller's connection; its statements are handed on one at a time."""

    def __init__(self, *, callers: LineCallers) -> None:
        super().__init__(user_timeout=USER_TIMEOUT)
        self._callers = callers
        self._session = 0
        self._busy = False
        self._waiting: deque[Statement] = deque()

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
        if not self._session:
            return
        self._callers.connections.pop(self._session, None)
        at = read_clock()
        self._callers.emit(CallerClosed(at=at, session=self._session))

    def take_line(self, line: bytes) -> None:
        """Act on a line of the caller."""
        message = self._callers.codec.parse_caller(line)
        if isinstance(message, Goodbye):
            self.close()
        elif isinstance(message, Hello):
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
            )
        )

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
