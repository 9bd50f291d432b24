"""Ends of relays, and detection of connection holders that stopped answering.

Detection matters when a holder loses power or is cut off: its callers would wait for
answers until their deadlines. A holder that is only suspected is first checked by a
connection attempt. What its callers can repeat elsewhere is then given up; a caller
that can't repeat its statement keeps waiting, as the holder may be only silent for a
while.
"""

import enum
from dataclasses import dataclass

from ._types import Refusal, Statement, StatementKind, TransactionState

SILENCE_TIMEOUT = 0.5
"""Seconds without a byte from a holder that owes an answer until it is checked."""


@dataclass(slots=True, kw_only=True, frozen=True)
class RelayTerms:
    """What a VM tells a holder about a caller that it relays.

    Args:
        version: newest version of the configuration that the VM has seen.
        last: whether it will ask no other holder, so that a holder which can't confirm
            its copy may accept the caller.
    """

    version: int
    last: bool


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


class RelayClosing(enum.IntEnum):
    """Which relays a shutdown closes; each includes those before.

    Attributes:
        ANSWERED: those that the next answer leaves idle.
        IDLE: those without a running statement or an open transaction.
        TRANSACTIONS: those with an open transaction and no running statement. The
            holder rolls it back, and the caller's next statement is aborted.
        ALL: those with a running statement, which is answered as in doubt if it may
            have an effect.
    """

    ANSWERED = 1
    IDLE = 2
    TRANSACTIONS = 3
    ALL = 4


@dataclass(slots=True, kw_only=True, frozen=True)
class RelayedStatement:
    """A caller's statement that its holder has not answered.

    Args:
        forwarded: whether it may have reached the holder.
    """

    statement: Statement
    forwarded: bool


def find_next_state(statement: Statement, state: TransactionState) -> TransactionState:
    """Return the state of a caller's transaction after a statement that was run."""
    if statement.kind is StatementKind.BEGIN:
        return TransactionState.OPEN
    if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        return TransactionState.NONE
    return state


def choose_relay_answers(
    statements: list[RelayedStatement], state: TransactionState
) -> list[Refusal]:
    """Return the answers to statements whose holder no longer answers them.

    The end of the connection rolls back an open transaction at the holder, unless its
    `COMMIT` has arrived there.

    Args:
        statements: in the order in which the caller sent them.
        state: state of the caller's transaction before the first one.
    """
    commits = False
    # A BEGIN without an answer may have been refused.
    began = True
    for relayed in statements:
        if relayed.forwarded and relayed.statement.kind is StatementKind.COMMIT:
            commits = True
    refusals = []
    for relayed in statements:
        kind = relayed.statement.kind
        in_transaction = state is not TransactionState.NONE
        writes = kind in (StatementKind.WRITE, StatementKind.EXECUTE)
        if in_transaction and began:
            uncertain = commits
        else:
            uncertain = writes or kind is StatementKind.COMMIT
        if relayed.forwarded and uncertain:
            refusals.append(Refusal.IN_DOUBT)
        elif in_transaction:
            refusals.append(Refusal.ABORTED)
        else:
            refusals.append(Refusal.OVERLOAD)
        if kind is StatementKind.BEGIN:
            began = False
        state = find_next_state(relayed.statement, state)
    return refusals
