"""Answers of backend servers to callers' statements."""

from ._connections import close_connection
from ._effects import Observe
from ._losses import lose_connection
from ._replies import end_work
from ._runs import (
    fail_transaction,
    finish_transaction,
    note_refusal,
    requeue_work,
    run_statement,
)
from ._server_state import Connection, Pending
from ._state import DirectState, Effects, Work, WorkState
from ._types import NOT_RUN, Answer, Refusal


def take_setup(
    state: DirectState, connection: Connection, pending: Pending, answer: Answer, out
) -> None:
    """Go on after the answer to a command that prepares a connection."""
    work = pending.work
    if work is None:
        if answer.refusal is not None:
            close_connection(state, connection, out, "setup_refused")
            lose_connection(state, connection, out)
        return
    if work.state is WorkState.ENDED:
        finish_transaction(state, connection, out)
        return
    if answer.refusal is None:
        work.connections = []
        run_statement(state, work, connection, out)
        return
    connection.transaction = None
    transaction = work.session.transaction
    if transaction is not None:
        transaction.connection = None
    work.connections = []
    note_refusal(state, connection.server, answer.refusal, out)
    requeue_work(state, work, connection.server, answer.refusal.value, out)


def take_result(
    state: DirectState, connection: Connection, pending: Pending, answer: Answer, out
) -> None:
    """Take a server's answer to a caller's statement."""
    work = pending.work
    server = connection.server
    elapsed = state.now - pending.sent_at
    server.note_time(state.now, elapsed)
    out.append(Observe(metric="service_seconds", value=elapsed))
    transaction = work.session.transaction
    in_transaction = connection.transaction is not None
    if work.state is not WorkState.RUNNING or connection not in work.connections:
        # Its caller has left or has been answered from another connection.
        if in_transaction:
            finish_transaction(state, connection, out)
        return
    if answer.refusal is not None and len(work.connections) > 1:
        work.connections.remove(connection)
        return
    if answer.refusal in NOT_RUN or answer.refusal is Refusal.NO_STATEMENT:
        note_refusal(state, server, answer.refusal, out)
        connection.prepared.clear()
        if in_transaction:
            fail_transaction(state, work, answer.refusal.value, out)
            return
        requeue_work(state, work, server, answer.refusal.value, out)
        return
    # Other runs of the same read end by themselves.
    work.connections = [connection]
    if work.commits:
        connection.transaction = None
        if transaction is not None:
            transaction.connection = None
    elif in_transaction and answer.refusal is not None:
        transaction.failed = True
    work.server = server.entry.server
    if answer.refusal is not None:
        if work.commits:
            work.session.transaction = None
        end_work(state, work, answer, "server", out)
        return
    _finish(state, work, answer, out)


def _finish(state: DirectState, work: Work, answer: Answer, out: Effects) -> None:
    """Release a result, or hold it until the primary is proved to have led."""
    transaction = work.session.transaction
    if work.commits and transaction is not None and not transaction.wrote:
        deliver_result(state, work, answer, out)
        return
    if not work.leader_only:
        deliver_result(state, work, answer, out)
        return
    single_write = work.writes and transaction is None
    if single_write or work.commits:
        work.proof_from = state.now
        work.proof_strict = True
    elif transaction is not None and transaction.checked:
        deliver_result(state, work, answer, out)
        return
    else:
        work.proof_from = work.since - work.route.staleness
    work.answer = answer
    work.state = WorkState.UNCONFIRMED
    database = state.databases[work.route.service]
    database.unconfirmed.append(work)
    state.unsettled.add(database.name)


def deliver_result(
    state: DirectState, work: Work, answer: Answer, out: Effects
) -> None:
    """Answer the caller with a result that needs no more proof."""
    session = work.session
    transaction = session.transaction
    if transaction is not None and not work.commits:
        transaction.checked = True
    if work.commits:
        session.transaction = None
    if work.writes and answer.position is not None:
        if work.commits or transaction is None:
            if session.position is None or session.position < answer.position:
                session.position = answer.position
    end_work(state, work, answer, "server", out)
