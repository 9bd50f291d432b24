"""What becomes of statements whose connection is lost or whose time is up."""

from ._connections import close_connection
from ._replies import end_work
from ._runs import fail_transaction, fail_work, requeue_work
from ._server_state import Connection
from ._state import DirectState, Effects, Work, WorkState
from ._types import Answer, Refusal


def lose_connection(
    state: DirectState,
    connection: Connection,
    out: Effects,
) -> None:
    """Settle what ran on a connection that has ended."""
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    works = []
    for pending in connection.pending:
        if pending.work is not None and pending.work not in works:
            works.append(pending.work)
    connection.pending.clear()
    for work in works:
        _lose_run(state, work, connection, out)
    if transaction is not None and not transaction.failed:
        session = transaction.session
        if session.transaction is transaction and session.work is None:
            transaction.failed = True
            transaction.untold = True


def _lose_run(
    state: DirectState, work: Work, connection: Connection, out: Effects
) -> None:
    if work.state is not WorkState.RUNNING:
        return
    if connection in work.connections:
        work.connections.remove(connection)
    if work.connections:
        return
    transaction = work.session.transaction
    began = work.sent_at >= work.arrived_at
    if work.commits and began:
        wrote = transaction is not None and transaction.wrote
        work.session.transaction = None
        refusal = Refusal.IN_DOUBT if wrote else Refusal.ABORTED
        answer = Answer(refusal=refusal, detail="connection lost")
        end_work(state, work, answer, "connection_lost", out)
        return
    if transaction is not None:
        if not began and not transaction.checked:
            requeue_work(state, work, connection.server, "connection_lost", out)
            return
        fail_transaction(state, work, "connection_lost", out)
        return
    if work.writes:
        answer = Answer(refusal=Refusal.IN_DOUBT, detail="connection lost")
        end_work(state, work, answer, "connection_lost", out)
        return
    requeue_work(state, work, connection.server, "connection_lost", out)


def expire_work(state: DirectState, work: Work, out: Effects) -> None:
    """Answer a statement whose time is up, by what may have become of it."""
    transaction = work.session.transaction
    if work.state is WorkState.QUEUED:
        database = state.databases.get(work.route.service)
        if database is not None and work in database.queue:
            database.queue.remove(work)
        fail_work(state, work, Refusal.OVERLOAD, "timeout_in_queue", out)
        return
    started = work.sent_at >= work.arrived_at
    in_doubt = work.writes and started and (work.commits or transaction is None)
    if work.commits and transaction is not None and not transaction.wrote:
        in_doubt = False
    for connection in work.connections:
        if work.state is WorkState.RUNNING and connection.number in state.connections:
            connection.pending.clear()
            close_connection(state, connection, out, "statement_timeout")
    if transaction is not None and not work.commits:
        fail_transaction(state, work, "timeout", out)
        return
    if work.commits:
        work.session.transaction = None
    refusal = Refusal.IN_DOUBT if in_doubt else Refusal.TIMEOUT
    end_work(state, work, Answer(refusal=refusal, detail="timeout"), "timeout", out)
