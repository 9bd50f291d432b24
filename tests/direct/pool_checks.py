"""Check of a VM's pooled connections, made after each event of the simulation."""

from siskinhold.direct._connection_life import ConnectionState
from siskinhold.direct._server_session import (
    MAX_KEPT_BYTES,
    MAX_STATEMENTS,
    VALUES_RETENTION,
)
from siskinhold.direct._state import JobState

RELEASE_SLACK = 0.5
"""Seconds after which values that may be released have to be."""

ANSWER_TIMEOUT = 2.0
"""Seconds for which an answer to an ended statement may be awaited."""


def list_pool_faults(state, *, ticked: bool) -> list[str]:
    """Return the connections that nobody uses and that are not free, or are mixed up.

    Args:
        ticked: whether the event was a tick, which closes those without an answer.
    """
    found = []
    for connection in state.connections.values():
        fault = None if connection.control else find_fault(state, connection)
        if fault is None and ticked and not state.tick_skipped:
            fault = find_overdue(state, connection)
        if fault is not None:
            found.append(f"connection {connection.number}: {fault}")
    return found


def find_fault(state, connection) -> str | None:
    """Return what is wrong with a statement connection, None if nothing is."""
    transaction = connection.transaction
    life = connection.state
    if life is ConnectionState.CLOSED:
        return "closed but still listed"
    if life is ConnectionState.FREE and (transaction or connection.pending):
        return "free but in use"
    if life is ConnectionState.CLEANING and (transaction or not connection.pending):
        return "nothing is being cleaned"
    accounts = {p.work.session.account for p in connection.pending if p.work}
    if transaction is not None:
        accounts.add(transaction.session.account)
        if transaction.connection is not connection or transaction.failed:
            return "held by a transaction that has left it"
    kept = connection.kept
    if kept.statement_count > MAX_STATEMENTS:
        return f"keeps {kept.statement_count} statements"
    if life is ConnectionState.FREE:
        if kept.statements_size > MAX_KEPT_BYTES:
            return f"is free and keeps {kept.statements_size} bytes of statements"
        overdue = state.now - connection.used_at > VALUES_RETENTION + RELEASE_SLACK
        if overdue and kept.size > MAX_KEPT_BYTES:
            return f"is unused and keeps {kept.size} bytes"
    if accounts - {connection.account}:
        return "used by another account"
    if life not in (ConnectionState.PREPARING, ConnectionState.IN_USE):
        return None
    if not connection.pending:
        held = transaction is not None and transaction.session.number in state.sessions
        return None if held else "held by nobody"
    return None


def find_overdue(state, connection) -> str | None:
    """Return which answer should no longer be awaited, None if there is none."""
    for pending in connection.pending:
        if pending.work is None or pending.work.state is not JobState.ENDED:
            continue
        if state.now - pending.sent_at > ANSWER_TIMEOUT:
            return "awaits an answer that nobody needs"
    return None
