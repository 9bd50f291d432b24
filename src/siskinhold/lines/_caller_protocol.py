"""One caller's connection over the line protocol."""

import asyncio
import logging
import sys

from ..direct import (
    Answer,
    CallerClosed,
    CallerMoved,
    CallerOpened,
    CallerStatement,
    HoldersUnavailable,
    HolderVersionsSeen,
    Refusal,
    RelayCaller,
    RelayClosing,
    RelayTerms,
    Statement,
)
from ._caller_flow import CallerFlow
from ._clock import read_clock
from ._codec import LINE_END, ConnectRequest, DisconnectRequest, MalformedLine
from ._relay import RelayProtocol
from ._relay_search import open_relay
from ._relay_terms import encode_version, parse_terms

USER_TIMEOUT = 10.0
"""Seconds that sent data may stay unacknowledged before a caller counts as lost: longer
than any deadline of a caller, as a shorter pause of the network does no harm."""

MAX_LINES_AHEAD = 64
"""Lines of one caller that may wait while a statement runs."""

LINGER_PERIOD = 0.5
"""Seconds for which a connection that this VM has ended is read until its caller closes
it, from when the last answer was sent."""

SEND_CHECK_INTERVAL = 0.02
"""Seconds between two checks whether the answers before an end were sent."""

REJECTION_LINGER_PERIOD = 2.0
"""The same after a rejected line, the rest of which may be long."""

_log = logging.getLogger(__name__)


class CallerProtocol(CallerFlow):
    """One caller's connection; it submits one statement at a time.

    `finish` ends it after all written data, `finish_if_answered` only if its caller is
    owed no answer; `close` does not wait for the caller's end, and `abort` drops what
    was not sent.
    """

    def __init__(self, *, callers, relayed: bool) -> None:
        super().__init__(callers=callers, user_timeout=USER_TIMEOUT)
        self._relayed = relayed
        self._terms: RelayTerms | None = None
        self._opened_at = 0.0
        self._finishing = False
        self._rejection = ""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Refuse the connection if there are too many."""
        super().connection_made(transport)
        self._opened_at = read_clock()
        if self._callers.is_full:
            reason = "too_many_connections"
            _log.warning("event=caller_rejected reason=%s", reason)
            self.write(self._callers.codec.encode_refusal(Refusal.OVERLOAD, reason))
            # It would take a descriptor while it lingers.
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
        self._drop_lines()
        self._callers.memory.remove(self)
        if self._relay is not None:
            self._relay.close()
        if not self._session:
            return
        self._callers.connections.pop(self._session, None)
        at = read_clock()
        self._callers.emit(CallerClosed(at=at, session=self._session))

    def data_received(self, data: bytes) -> None:
        """Handle all complete lines, none once this VM has ended the connection."""
        if self._write_ended or self._released:
            return
        super().data_received(data)
        if not self._buffer:
            self._partial_since = 0.0
        elif not self._partial_since or len(self._buffer) < len(data):
            self._partial_since = read_clock()
        self._update_flow()

    def handle_line(self, line: bytes) -> None:
        """Forward a line of the caller if the connection is relayed, else handle it.

        Until the caller is accepted or relayed, and while a statement runs, further
        lines wait; each is handled after the answer to the one before.
        """
        if self._write_ended or self._rejection or self._released:
            return
        if self._relayed and not self._session and self._terms is None:
            self._terms = parse_terms(line)
            if self._terms is not None:
                return
        if self._relay is not None:
            self._relay.forward(line)
            if self._relay.detached:
                self._end_relay()
        elif not self._busy and not self._write_paused:
            self._handle_message(line)
        elif len(self._lines_ahead) >= MAX_LINES_AHEAD:
            self._reject_line("too_many_statements_ahead")
        else:
            self._lines_ahead.append(line)
            self._ahead_bytes += len(line)

    def _handle_lines_ahead(self) -> None:
        """Handle the lines that waited, up to the next one that takes time."""
        while self._lines_ahead and not self._busy and not self._write_ended:
            if self._write_paused or self._released:
                return
            self._handle_message(self._take_line_ahead())
        if self._rejection and not self._busy:
            self._reject_line(self._rejection)

    def _handle_message(self, line: bytes) -> None:
        """Handle a line of a caller that is not relayed."""
        message = self._callers.codec.parse_caller_line(line)
        if isinstance(message, DisconnectRequest):
            self.close()
        elif isinstance(message, ConnectRequest):
            self._connect_line = line
            self._open_session(message)
        elif isinstance(message, MalformedLine) or not self._session:
            reason = getattr(message, "reason", "statement_before_hello")
            self._reject_line(reason)
        else:
            self._submit_statement(message)

    def handle_overflow(self) -> None:
        """Reject a line that is too long."""
        self._reject_line("line_too_long")

    def _open_session(self, message: ConnectRequest) -> None:
        """Report a caller that has named its database."""
        if self._session:
            self._reject_line("second_hello")
            return
        if self._callers.refusing:
            self._refuse_for_shutdown()
            return
        self._busy = True
        self._session = self._callers.allocate_session()
        self._callers.connections[self._session] = self
        self._callers.emit(
            CallerOpened(
                at=read_clock(),
                session=self._session,
                database=message.database,
                relayed=self._relayed,
                terms=self._terms,
                key=message.key,
            )
        )

    def accept(self, version: int) -> None:
        """Accept the caller, then handle the lines that it sent ahead.

        Args:
            version: version of the configuration by which it is accepted.
        """
        self._busy = False
        self._write_version(version)
        self.write(self._callers.codec.encode_acceptance())
        self._handle_lines_ahead()

    def refuse(self, refusal: Refusal, detail: str, version: int) -> None:
        """Refuse the caller and end the connection.

        Args:
            version: version of the configuration by which it is refused.
        """
        self._write_version(version)
        self.write(self._callers.codec.encode_refusal(refusal, detail))
        self.finish()

    def _write_version(self, version: int) -> None:
        """Tell the VM that relays the caller this VM's version, if it told its own."""
        if self._terms is not None:
            self.write(encode_version(version) + LINE_END)

    def _refuse_for_shutdown(self) -> None:
        """Refuse a caller that was neither accepted nor relayed."""
        refusal = Refusal.OVERLOAD
        self.write(self._callers.codec.encode_refusal(refusal, "shutdown"))
        self.finish()

    async def relay(self, effect: RelayCaller) -> None:
        """Relay the connection to the first connection holder that accepts it.

        Lines that arrive during the search wait and are forwarded afterwards.
        """
        if self.transport is None:
            return
        self._relaying = True
        self._callers.relayed += 1
        if self._rejection:
            self._reject_line(self._rejection)
            return
        search = await open_relay(
            effect.holders,
            self._connect_line,
            self._make_relay,
            version=effect.version,
            unconfirmed=effect.unconfirmed,
        )
        relay = search.relay
        if search.version > effect.version or search.unconfirmed:
            self._callers.emit(
                HolderVersionsSeen(
                    at=read_clock(),
                    version=search.version,
                    unconfirmed=search.unconfirmed,
                )
            )
        if search.silent or search.refused or not search.ended:
            self._callers.emit(
                HoldersUnavailable(
                    at=read_clock(),
                    silent=tuple(search.silent),
                    refused=tuple(search.refused),
                    session=0 if search.ended else self._session,
                )
            )
        if relay is None:
            if self.transport is None:
                return
            self._relaying = False
            self._callers.relayed -= 1
            if search.moved:
                self._callers.emit(
                    CallerMoved(
                        at=read_clock(), session=self._session, vms=search.moved
                    )
                )
            return
        if self.transport is None or self._write_ended:
            relay.close()
            return
        self._relay = relay
        relay.start_forwarding()
        self._forward_lines_ahead()
        self._update_flow()

    def _forward_lines_ahead(self) -> None:
        """Forward the lines that waited for the relay."""
        while self._lines_ahead:
            self._relay.forward(self._take_line_ahead())

    def _make_relay(self) -> RelayProtocol:
        """Return the protocol of a relay for this connection."""
        return RelayProtocol(
            codec=self._callers.codec,
            write=self._write_relayed,
            lost=self._end_relay,
            session=self._session,
        )

    def _write_relayed(self, data: bytes) -> None:
        """Send a part of a holder's answer."""
        self.write(data)
        self._update_flow()

    @property
    def unanswered(self) -> int:
        """Number of statements that were read and have no whole answer yet."""
        waiting = self._busy + len(self._lines_ahead)
        if self._relay is not None:
            waiting = max(0, self._relay.outstanding)
        return waiting

    @property
    def relay_connection(self) -> RelayProtocol | None:
        """The relay's open connection to a holder, None without one."""
        return self._relay

    def close_relay(self, closing: RelayClosing) -> None:
        """Close a relayed connection if a shutdown demands it, or after an answer."""
        relay = self._relay
        if relay is None:
            if self._relaying and closing is RelayClosing.ALL:
                self._refuse_for_shutdown()
            return
        relay.close_after_answer()
        if closing is RelayClosing.ALL:
            self._end_relay()
        elif relay.idle and closing >= RelayClosing.IDLE:
            self._end_relay()
        elif relay.idle_in_transaction and closing >= RelayClosing.TRANSACTIONS:
            relay.detach()

    def _end_relay(self) -> None:
        """Answer the statements that the holder has not, and end the connection."""
        self._forward_lines_ahead()
        self.write(self._relay.encode_missing_answers())
        self._relay.detach()
        self.finish()

    def _submit_statement(self, statement: Statement) -> None:
        """Emit a statement; later lines wait until it is answered."""
        self._busy = True
        self._finishing = False
        self._running_bytes = sys.getsizeof(statement.text)
        self._running_bytes += sys.getsizeof(statement.value)
        self._callers.emit(
            CallerStatement(at=read_clock(), session=self._session, statement=statement)
        )

    def _reject_line(self, reason: str) -> None:
        """Refuse the caller's line and end the connection.

        Statements before that line are answered first.
        """
        waiting = self._busy or (self._write_paused and self._lines_ahead)
        if waiting and not self._relaying:
            self._rejection = reason
            return
        _log.warning(
            "event=caller_line_rejected session=%d reason=%s", self._session, reason
        )
        self.write(self._callers.codec.encode_refusal(Refusal.MALFORMED, reason))
        self.finish(linger=REJECTION_LINGER_PERIOD)

    def answer(self, answer: Answer, held: int) -> None:
        """Send the answer, then handle the lines that waited for it.

        Args:
            held: bytes of the session's values and prepared statements.
        """
        self._busy = False
        self._running_bytes = 0
        self._session_bytes = held
        self.write(self._callers.codec.encode_answer(answer))
        self._handle_lines_ahead()
        self._update_flow()

    def finish_if_answered(self) -> None:
        """End the connection unless a statement has arrived that has no answer yet.

        What waits in the socket is read first, which takes a pass of the event loop,
        and while answers are still being sent, statements go on being handled.
        """
        if self._finishing:
            return
        self._finishing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(loop.call_soon, self._finish_unless_used)

    def _finish_unless_used(self) -> None:
        """End the connection if no further statement has arrived."""
        if not self._finishing or self.unanswered:
            self._finishing = False
        elif self.unsent:
            loop = asyncio.get_running_loop()
            loop.call_later(SEND_CHECK_INTERVAL, self._finish_unless_used)
        else:
            self.finish()

    def write(self, data: bytes) -> None:
        """Send bytes unless the connection is closed or closing."""
        if self.transport is None or self.transport.is_closing():
            return
        if not self._write_ended:
            self.transport.write(data)

    def finish(self, *, linger: float = LINGER_PERIOD) -> None:
        """End the connection once all written data is sent, without a reset.

        What the caller still sends is read and dropped: a connection that is closed
        with unread bytes is reset, which may take the last answer with it.

        Args:
            linger: seconds after which it is closed if its caller has not done so.
        """
        if self._write_ended or self.transport is None or self.transport.is_closing():
            return
        self._write_ended = True
        self.resume()
        self.transport.write_eof()
        self._close_after(linger)

    def _close_after(self, linger: float) -> None:
        """Close the connection some seconds after all data was sent."""
        asyncio.get_running_loop().call_later(linger, self._end_linger, linger)

    def _end_linger(self, linger: float) -> None:
        """Close the connection, or wait again if its caller reads slowly."""
        if self.unsent:
            self._close_after(linger)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection after all written data is sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()
