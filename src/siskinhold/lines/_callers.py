"""Connections of callers over the line protocol."""

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
    CloseIdleRelays,
    Event,
    HoldersUnavailable,
    Refusal,
    RefuseCaller,
    RelayCaller,
    ReplyCaller,
    Statement,
    VmEntry,
    find_silent_holders,
)
from ..listener import BACKLOG, open_listener
from ._clock import read_clock
from ._codec import ConnectRequest, DisconnectRequest, LineCodec, MalformedLine
from ._protocol import LineProtocol
from ._relay import RelayProtocol, is_reachable, open_relay

USER_TIMEOUT = 10.0
"""Seconds that sent data may stay unacknowledged before a caller counts as lost: longer
than any deadline of a caller, as a shorter pause of the network does no harm."""

MAX_QUEUED_STATEMENTS = 64
"""Statements of one caller that may wait while another one runs."""

LINGER_PERIOD = 2.0
"""Seconds for which the rest of a line that is too long is read and dropped."""

FIRST_LINE_TIMEOUT = 5.0
"""Seconds within which a caller must send its first line; callers give up after 2 s."""

SILENCE_CHECK_INTERVAL = 1.0
"""Seconds between two searches for callers that have not sent one."""

RELAY_CHECK_INTERVAL = 0.2
"""Seconds between two searches for holders that owe an answer."""

_log = logging.getLogger(__name__)

Emit = Callable[[Event], None]


class LineCallers:
    """Listens for callers; parses their lines to events and encodes the replies.

    Args:
        host: IP address to listen on.
        port: port to listen on.
        relay_port: port for callers that other VMs relay, 0 for none.
        codec: parses callers' lines and encodes replies.
        limit: maximum number of file descriptors for callers. A caller takes one, and
            one that is relayed takes two.
        listener: socket that already listens on the port; by default one is opened.
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
        self.open: set[_CallerProtocol] = set()
        self.relayed = 0
        self._next = 1
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self.emit: Emit | None = None

    async def start(self, emit: Emit) -> None:
        """Start listening.

        Args:
            emit: takes the events of all connections.

        Raises:
            OSError: if an address can't be bound.
        """
        self.emit = emit
        if self._listener is None:
            self._listener = open_listener(self._host, self._port)
        await self._serve(self._listener, relayed=False)
        if self._relay_port:
            listener = open_listener(self._host, self._relay_port)
            await self._serve(listener, relayed=True)

    async def _serve(self, listener: socket.socket, *, relayed: bool) -> None:
        """Accept connections on a listening socket."""
        server = await asyncio.get_running_loop().create_server(
            functools.partial(_CallerProtocol, callers=self, relayed=relayed),
            sock=listener,
            backlog=BACKLOG,
        )
        self._servers.append(server)

    def allocate_session(self) -> int:
        """Return an unused session number."""
        number = self._next
        self._next += 1
        return number

    @property
    def is_full(self) -> bool:
        """Whether no descriptor is left for a further caller."""
        return len(self.open) + self.relayed >= self.limit

    async def watch_silent_callers(self) -> None:
        """Close connections whose caller sends nothing; never returns.

        They take descriptors that other callers need.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL)
            now = read_clock()
            silent = []
            for connection in self.open:
                if connection.awaits_first_line(now - FIRST_LINE_TIMEOUT):
                    silent.append(connection)
            for connection in silent:
                connection.close()
            if silent:
                _log.warning("event=silent_callers_closed count=%d", len(silent))

    def accept(self, effect: AcceptCaller) -> None:
        """Accept a caller's connection."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.write(self.codec.encode_acceptance())

    def relay(self, effect: RelayCaller) -> None:
        """Start to relay a caller's connection to a connection holder."""
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        task = asyncio.get_running_loop().create_task(connection.relay(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_idle_relays(self, effect: CloseIdleRelays) -> None:
        """Close relays without a running statement or an open transaction.

        With `answered_only`, each is closed right after its next answer: a caller
        whose statement is under way at that moment would get none.
        """
        for connection in list(self.connections.values()):
            connection.close_idle_relay(answered_only=effect.answered_only)

    async def watch_relays(self) -> None:
        """Give up the relays of holders that don't answer; never returns."""
        while True:
            await asyncio.sleep(RELAY_CHECK_INTERVAL)
            relays = []
            for connection in self.connections.values():
                if connection.relay_connection is not None:
                    relays.append(connection.relay_connection)
            holders = {relay.holder.name: relay.holder for relay in relays}
            activities = [relay.activity for relay in relays]
            silent = find_silent_holders(activities, read_clock())
            checks = [self._check_holder(holders[name]) for name in silent]
            await asyncio.gather(*checks)

    async def _check_holder(self, holder: VmEntry) -> None:
        """Give up the relays of a silent holder if its machine can't be reached."""
        if await is_reachable(holder):
            return
        self.emit(HoldersUnavailable(at=read_clock(), silent=(holder.name,)))
        ended = kept = 0
        for connection in list(self.connections.values()):
            relay = connection.relay_connection
            if relay is None or relay.holder.name != holder.name:
                continue
            if relay.give_up():
                ended += 1
            else:
                kept += 1
        _log.warning(
            "event=relays_given_up holder=%s ended=%d kept=%d", holder.name, ended, kept
        )

    def stop_accepting_relays(self) -> None:
        """Accept no more callers that other VMs relay."""
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
        """Close a caller's connection after all written data is sent."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.close()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections.values()):
            connection.close()


class _CallerProtocol(LineProtocol):
    """One caller's connection; it submits one statement at a time."""

    def __init__(self, *, callers: LineCallers, relayed: bool) -> None:
        super().__init__(user_timeout=USER_TIMEOUT)
        self._callers = callers
        self._relayed = relayed
        self._session = 0
        self._busy = False
        self._queued: deque[Statement] = deque()
        self._connect_line = b""
        self._relay: RelayProtocol | None = None
        self._relaying = False
        self._buffered_lines: list[bytes] = []
        self._opened_at = 0.0
        self._write_ended = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Refuse the connection if there are too many."""
        super().connection_made(transport)
        self._opened_at = read_clock()
        if self._callers.is_full:
            reason = "too_many_connections"
            _log.warning("event=caller_rejected reason=%s", reason)
            self.write(self._callers.codec.encode_refusal(Refusal.OVERLOAD, reason))
            self.close()
            return
        self._callers.open.add(self)

    def awaits_first_line(self, opened_before: float) -> bool:
        """Return whether it was opened before a time and no line has arrived yet."""
        return not self._session and self._opened_at < opened_before

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the caller has disconnected."""
        self.transport = None
        if self in self._callers.open:
            self._callers.open.remove(self)
            self._callers.relayed -= self._relaying
        self._queued.clear()
        if self._relay is not None:
            self._relay.close()
        if not self._session:
            return
        self._callers.connections.pop(self._session, None)
        at = read_clock()
        self._callers.emit(CallerClosed(at=at, session=self._session))

    def handle_line(self, line: bytes) -> None:
        """Forward a line of the caller if the connection is relayed, else handle it.

        While a holder is being searched, the line is buffered; while a statement runs,
        further statements are queued.
        """
        if self._relaying:
            if self._relay is None:
                self._buffered_lines.append(line)
            else:
                self._relay.forward(line)
            return
        message = self._callers.codec.parse_caller_line(line)
        if isinstance(message, DisconnectRequest):
            self.close()
        elif isinstance(message, ConnectRequest):
            self._connect_line = line
            self._open_session(message)
        elif isinstance(message, MalformedLine) or not self._session:
            reason = getattr(message, "reason", "statement_before_hello")
            self._reject_line(reason)
        elif self._busy:
            if len(self._queued) >= MAX_QUEUED_STATEMENTS:
                self._reject_line("too_many_statements_ahead")
                return
            self._queued.append(message)
        else:
            self._submit_statement(message)

    def handle_overflow(self) -> None:
        """Reject a line that is too long.

        The rest of it is still read for a while: a connection that is closed with
        unread bytes is reset, which may take the answer with it.
        """
        self._write_rejection("line_too_long")
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write_eof()
        self._write_ended = True
        asyncio.get_running_loop().call_later(LINGER_PERIOD, self.close)

    def _open_session(self, message: ConnectRequest) -> None:
        """Report a caller that has named its database."""
        if self._session:
            self._reject_line("second_hello")
            return
        self._session = self._callers.allocate_session()
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
        """Relay the connection to the first connection holder that accepts it.

        Lines that arrive during the search are buffered and forwarded afterwards.
        """
        if self.transport is None:
            return
        self._relaying = True
        self._callers.relayed += 1
        search = await open_relay(effect.holders, self._connect_line, self._make_relay)
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
        relay.start_forwarding()
        for line in self._buffered_lines:
            relay.forward(line)
        self._buffered_lines.clear()

    def _make_relay(self) -> RelayProtocol:
        """Return the protocol of a relay for this connection."""
        return RelayProtocol(
            codec=self._callers.codec,
            write=self.write,
            lost=self.close,
            session=self._session,
        )

    @property
    def relay_connection(self) -> RelayProtocol | None:
        """The relay's open connection to a holder, None without one."""
        return self._relay

    def close_idle_relay(self, *, answered_only: bool) -> None:
        """Close a relayed connection once it is idle.

        Args:
            answered_only: whether to wait for the next answer in any case.
        """
        if self._relay is None:
            return
        if answered_only or not self._relay.idle:
            self._relay.close_after_answer()
        else:
            self.close()

    def _submit_statement(self, statement: Statement) -> None:
        """Emit a statement; later ones are queued until it is answered."""
        self._busy = True
        self._callers.emit(
            CallerStatement(at=read_clock(), session=self._session, statement=statement)
        )

    def _reject_line(self, reason: str) -> None:
        """Refuse the caller's line and close the connection."""
        self._write_rejection(reason)
        self.close()

    def _write_rejection(self, reason: str) -> None:
        """Refuse the caller's line."""
        _log.warning(
            "event=caller_line_rejected session=%d reason=%s", self._session, reason
        )
        self.write(self._callers.codec.encode_refusal(Refusal.MALFORMED, reason))

    def answer(self, answer: Answer) -> None:
        """Send the answer and submit the next queued statement, if any."""
        self._busy = False
        self.write(self._callers.codec.encode_answer(answer))
        if self._queued and self.transport is not None:
            self._submit_statement(self._queued.popleft())

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed or closing."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self._write_ended:
            self.transport.write(data)

    def close(self) -> None:
        """Close the connection after all written data is sent."""
        if self.transport is not None:
            self.transport.close()
