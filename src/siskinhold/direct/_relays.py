"""Detection of connection holders that have stopped answering their relays.

It matters when a holder loses power or is cut off: its callers would wait for answers
until their deadlines. A holder that is only suspected is first checked by a connection
attempt. What its callers can repeat elsewhere is then given up; a caller that can't
repeat its statement keeps waiting, as the holder may be only silent for a while.
"""

from dataclasses import dataclass

from ._types import Statement, StatementKind, TransactionState

SILENCE_TIMEOUT = 0.5
"""Seconds without a byte from a holder that owes an answer until it is checked."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RelayActivity:
    """Recent traffic of one relay.

    Args:
        holder: name of the holder.
        waiting_since: when the oldest unanswered line was sent, None without one.
        received_at: when the holder last sent something on this relay.
    """

    holder: str
    waiting_since: float | None
    received_at: float


def find_silent_holders(relays: list[RelayActivity], now: float) -> list[str]:
    """Return the holders that owe an answer and have sent nothing for a while.

    An answer on any of its relays shows that a holder is alive.

    Args:
        now: the current time of the runtime's clock, as in `relays`.
    """
    received: dict[str, float] = {}
    waiting: dict[str, float] = {}
    for relay in relays:
        name = relay.holder
        received[name] = max(received.get(name, 0.0), relay.received_at)
        if relay.waiting_since is None:
            continue
        waiting[name] = min(waiting.get(name, now), relay.waiting_since)
    found = []
    for name, since in waiting.items():
        if now - max(since, received[name]) >= SILENCE_TIMEOUT:
            found.append(name)
    return found


def may_give_up(statement: Statement | None, state: TransactionState) -> bool:
    """Return whether a relayed caller gains from the end of its connection.

    It does if it can repeat what it has under way on another connection: nothing that
    may have been committed is lost then.

    Args:
        statement: the statement without an answer; None for a caller that is idle.
        state: state of the caller's transaction before the statement.
    """
    if statement is None:
        return True
    if statement.kind is StatementKind.COMMIT:
        return False
    if state is TransactionState.OPEN:
        return True
    # Whether a prepared statement writes is known only to the holder.
    return statement.kind not in (StatementKind.WRITE, StatementKind.EXECUTE)
