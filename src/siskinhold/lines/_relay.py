"""A relay's connection to a connection holder: a VM with connections to the servers."""

import asyncio
import logging
from collections import deque
from dataclasses import dataclass

from ..direct import (
    Answer,
    Refusal,
    RelayActivity,
    RelayedStatement,
    RelayTerms,
    Statement,
    TransactionState,
    VmEntry,
    choose_relay_answers,
    find_next_state,
    may_give_up,
    split_names,
)
from ._clock import read_clock
from ._codec import LINE_END, AnswerLineKind, LineCodec
from ._protocol import LineProtocol
from ._relay_terms import encode_terms, parse_version

USER_TIMEOUT = 1.0
"""Seconds that sent data may stay unacknowledged before a holder counts as lost."""

_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True, frozen=True)
class _Line:
    """A caller's line without an answer, and whether it was written to the holder."""

    data: bytes
    forwarded: bool


class RelayProtocol(LineProtocol):
    """A relay's connection to a holder; it forwards lines unchanged both ways.

    Lines of the holder are buffered until `start_forwarding` is called.

    Args:
        codec: parses the holder's answers.
        write: takes bytes for the caller.
        lost: called when the connection is lost, but not before `start_forwarding`.
        session: number of the caller's session, for log lines.
    """

    def __init__(self, *, codec: LineCodec, write, lost, session: int = 0) -> None:
        super().__init__(user_timeout=USER_TIMEOUT)
        self._codec = codec
        self._write = write
        self._lost = lost
        self._session = session
        self._forwarding = False
        self._buffered_lines: list[bytes] = []
        # The first line that awaits an answer is that of the connection itself.
        self._unanswered: deque[_Line] = deque([_Line(data=b"", forwarded=True)])
        self._partly_answered = False
        self._detached = False
        self._state = TransactionState.NONE
        self._last_line = b""
        self._sent_at = 0.0
        self._connected_at = read_clock()
        self._received_at = 0.0
        self._closing = False
        self._awaits_version = False
        self.waiting_bytes = 0
        self.version = 0
        self.holder: VmEntry | None = None
        self.answered = asyncio.Event()

    @property
    def accepted(self) -> bool:
        """Whether the holder's first line is an answer to forward to the caller.

        A holder that is overloaded, or has no configuration yet, refuses with
        `Refusal.OVERLOAD`; the next holder is tried then.
        """
        if not self._buffered_lines:
            return False
        answer_line = self._codec.parse_answer_line(self._buffered_lines[0])
        return answer_line.kind is AnswerLineKind.READY or answer_line.refusal not in (
            Refusal.OVERLOAD,
            Refusal.MOVED,
            Refusal.BEHIND,
        )

    @property
    def other_homes(self) -> tuple[str, ...]:
        """Names of the VMs that serve the caller instead of this holder, if it told."""
        if not self._buffered_lines:
            return ()
        answer_line = self._codec.parse_answer_line(self._buffered_lines[0])
        if answer_line.refusal is not Refusal.MOVED:
            return ()
        return split_names(answer_line.text)

    @property
    def is_behind(self) -> bool:
        """Whether the holder can't confirm its configuration."""
        if not self._buffered_lines:
            return False
        answer_line = self._codec.parse_answer_line(self._buffered_lines[0])
        return answer_line.refusal is Refusal.BEHIND

    def send_connect_line(self, line: bytes, terms: RelayTerms) -> None:
        """Send the caller's first line, after the terms if the holder takes them."""
        if self.holder.takes_terms:
            self._awaits_version = True
            line = encode_terms(terms) + LINE_END + line
        self.transport.write(line + LINE_END)

    def start_forwarding(self) -> None:
        """Forward the buffered lines and all later ones to the caller."""
        self._forwarding = True
        while self._buffered_lines:
            self.handle_line(self._buffered_lines.pop(0))
        if self.transport is None:
            self._lost()

    @property
    def held(self) -> int:
        """Bytes that it holds in either direction."""
        return self.waiting_bytes + self.unsent + len(self._buffer)

    @property
    def outstanding(self) -> int:
        """Number of lines that the holder has not answered yet."""
        return len(self._unanswered)

    @property
    def idle(self) -> bool:
        """Whether neither a statement nor a transaction is open."""
        return not self._unanswered and self._state is TransactionState.NONE

    @property
    def idle_in_transaction(self) -> bool:
        """Whether a transaction is open without a running statement."""
        return not self._unanswered and self._state is not TransactionState.NONE

    @property
    def detached(self) -> bool:
        """Whether the connection to the holder was closed by `detach`."""
        return self._detached

    @property
    def activity(self) -> RelayActivity:
        """Recent traffic, by which a silent holder is found."""
        waits = self._unanswered and not self._reading_paused
        return RelayActivity(
            holder=self.holder.name,
            waiting_since=self._sent_at if waits else None,
            received_at=self._received_at,
        )

    def give_up(self) -> bool:
        """Close the relay of a lost holder if its caller can repeat its statement.

        Returns:
            whether it was closed.
        """
        statement = self._find_statement() if self._unanswered else None
        if not may_give_up(statement, self._state):
            return False
        if self.transport is not None:
            self.transport.abort()
        return True

    def _find_statement(self) -> Statement | None:
        """Return the statement that the caller sent last, None without one."""
        message = self._codec.parse_caller_line(self._last_line)
        return message if isinstance(message, Statement) else None

    def _log_statement(self, level: int, event: str, reason: str) -> None:
        """Log what the holder did with the statement that the caller sent last."""
        statement = self._find_statement()
        if statement is None:
            return
        _log.log(
            level,
            "event=%s session=%d request=%s holder=%s reason=%s waited_ms=%d",
            event,
            self._session,
            statement.request,
            self.holder.name if self.holder is not None else "",
            reason,
            round((read_clock() - self._sent_at) * 1000),
        )

    def _log_refusal(self, reason: str) -> None:
        """Log that the holder refused the caller's connection."""
        _log.info(
            "event=relayed_refusal session=%d holder=%s reason=%s waited_ms=%d",
            self._session,
            self.holder.name if self.holder is not None else "",
            reason,
            round((read_clock() - self._connected_at) * 1000),
        )

    def forward(self, line: bytes) -> None:
        """Forward a line of the caller to the holder.

        One that can't be forwarded any more gets its answer from
        `encode_missing_answers`.
        """
        forwarded = self.transport is not None and not self.transport.is_closing()
        if not self._unanswered:
            self._sent_at = read_clock()
        self._unanswered.append(_Line(data=line, forwarded=forwarded))
        self.waiting_bytes += len(line)
        if not forwarded:
            return
        self._last_line = line
        self.transport.write(line + LINE_END)

    def handle_line(self, line: bytes) -> None:
        """Forward a line of the holder to the caller, or buffer it."""
        if self._awaits_version:
            self._awaits_version = False
            version = parse_version(line)
            if version is not None:
                self.version = version
                return
        if not self._forwarding:
            self._buffered_lines.append(line)
            self.answered.set()
            return
        self._write(line + LINE_END)
        answer_line = self._codec.parse_answer_line(line)
        self._received_at = read_clock()
        if answer_line.kind is AnswerLineKind.REFUSED:
            # The holder's own line, by the same request, tells the cause.
            refusal = answer_line.refusal.value if answer_line.refusal else "unknown"
            if self._last_line:
                self._log_statement(logging.INFO, "relayed_failure", refusal)
            else:
                self._log_refusal(refusal)
        if answer_line.kind in (AnswerLineKind.DONE, AnswerLineKind.REFUSED):
            self._partly_answered = True
        if answer_line.kind is AnswerLineKind.READY:
            if self._unanswered:
                self.waiting_bytes -= len(self._unanswered.popleft().data)
            if not self._unanswered:
                self._last_line = b""
            self._partly_answered = False
            self._state = answer_line.transaction
            if self._closing and self.idle:
                self.close()

    def handle_overflow(self) -> None:
        """Abort a relay whose holder sends a line that exceeds the limit."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Report that the connection to the holder is lost."""
        self.transport = None
        self.answered.set()
        if self._forwarding and not self._detached:
            if self._unanswered and self._last_line:
                self._log_statement(logging.WARNING, "relay_lost", repr(error))
            self._lost()

    def detach(self) -> None:
        """Close the connection to the holder, which rolls back a transaction there."""
        self._detached = True
        self.close()

    def encode_missing_answers(self) -> bytes:
        """Return the answers to the statements that the holder has not answered."""
        parts = []
        statements = []
        if self._unanswered and not self._unanswered[0].data:
            # The holder refused the connection.
            self._unanswered.clear()
        for index, line in enumerate(self._unanswered):
            message = self._codec.parse_caller_line(line.data)
            if not isinstance(message, Statement):
                continue
            if index == 0 and self._partly_answered:
                # The result was forwarded; only the end of the answer is missing.
                self._state = find_next_state(message, self._state)
                failed = self._state is not TransactionState.NONE
                parts.append(self._codec.encode_ready(failed=failed))
                continue
            relayed = RelayedStatement(statement=message, forwarded=line.forwarded)
            statements.append(relayed)
        self._unanswered.clear()
        refusals = choose_relay_answers(statements, self._state)
        for relayed, refusal in zip(statements, refusals, strict=True):
            answer = Answer(refusal=refusal, detail="relay ended")
            parts.append(self._codec.encode_answer(answer))
            _log.info(
                "event=relay_answered session=%d request=%s holder=%s forwarded=%s "
                "outcome=%s",
                self._session,
                relayed.statement.request,
                self.holder.name if self.holder is not None else "",
                relayed.forwarded,
                refusal.value,
            )
        return b"".join(parts)

    def close_after_answer(self) -> None:
        """Close the connection right after the next answer that leaves it idle."""
        self._closing = True

    def close(self) -> None:
        """Close the connection."""
        if self.transport is not None:
            self.transport.close()
