"""Handling of backend servers' answers to callers' statements and their setup."""

from dataclasses import replace

from ._effects import Observe
from ._losses import handle_connection_loss
from ._outliers import record_failure, record_success
from ._replies import end_job
from ._runs import (
    abandon_transaction,
    fail_job,
    fail_transaction,
    record_refusal,
    requeue_job,
    roll_back,
    run_statement,
)
from ._server_state import Connection, PendingCommand, Server
from ._state import DirectState, Effects, Job, JobState, Transaction
from ._types import NOT_RUN, Answer, Consistency, Refusal
from .pools import close_connection
from .room import record_answer_time

MAX_UNKNOWN_STATEMENTS = 3
"""Attempts after which a statement that servers don't know is refused as not run."""

MAX_READ_ATTEMPTS = 3
"""Runs of a read that servers fail, after which its caller gets the failure."""


def handle_setup_answer(
    state: DirectState,
    connection: Connection,
    pending: PendingCommand,
    answer: Answer,
    out: Effects,
) -> None:
    """Send a caller's statement once the last command before it was accepted.

    If any was refused, the connection is reset when it is free.
    """
    if answer.refusal is not None:
        connection.kept.reject(answer)
    job = pending.work
    if job is None or not _is_awaited(state, job, connection, out):
        return
    job.connections.remove(connection)
    rejection = connection.kept.rejection
    if rejection is None:
        run_statement(state, job, connection, out, job.after)
    elif not job.connections:
        _refuse_setup(state, job, connection.server, rejection, out)


def handle_begin_answer(
    state: DirectState,
    connection: Connection,
    pending: PendingCommand,
    answer: Answer,
    out: Effects,
) -> None:
    """Send the first statement of a transaction that the server has begun.

    If it refused, the job is queued again; likewise if it refused a session value.
    """
    job = pending.work
    if not _is_awaited(state, job, connection, out):
        return
    job.connections = []
    rejection = connection.kept.rejection
    if answer.refusal is None and rejection is None:
        run_statement(state, job, connection, out)
        return
    if answer.refusal is None:
        roll_back(state, connection, out)
        _refuse_setup(state, job, connection.server, rejection, out)
        return
    connection.transaction = None
    transaction = job.session.transaction
    if transaction is not None:
        transaction.connection = None
    record_refusal(state, connection.server, answer.refusal, out)
    requeue_job(state, job, connection.server, answer.refusal.value, out)


def handle_preparation_answer(
    connection: Connection, pending: PendingCommand, answer: Answer
) -> None:
    """Have a refusal to prepare a statement answer its execution, which is next."""
    if answer.refusal is None:
        return
    statement = pending.work.statement
    connection.kept.forget_statement(statement.writes, statement.shape)
    if connection.pending and connection.pending[0].work is pending.work:
        connection.pending[0].preparation = answer


def _is_awaited(
    state: DirectState, job: Job, connection: Connection, out: Effects
) -> bool:
    """Return whether a job still needs a connection that was set up for it.

    Otherwise the connection's transaction is rolled back.
    """
    if job.state is JobState.RUNNING and connection in job.connections:
        return True
    if connection.transaction is not None:
        roll_back(state, connection, out)
    return False


def _refuse_setup(
    state: DirectState, job: Job, server: Server, refusal: Answer, out: Effects
) -> None:
    """Queue a job again whose connection could not be set up, or refuse it.

    Its statement was not sent.
    """
    transaction = job.session.transaction
    reason = refusal.refusal.value
    if transaction is not None and (transaction.connection or transaction.wrote):
        fail_transaction(state, job, reason, out)
    elif refusal.refusal in NOT_RUN:
        record_refusal(state, server, refusal.refusal, out)
        requeue_job(state, job, server, reason, out)
    else:
        fail_job(state, job, refusal.refusal, reason, out, detail=refusal.detail)


def handle_position_answer(connection: Connection, answer: Answer) -> None:
    """Record a refusal of the `RESET` that showed a server's log position."""
    if answer.refusal is not None:
        connection.kept.reject(answer)


def handle_release_answer(
    state: DirectState, connection: Connection, answer: Answer, out: Effects
) -> None:
    """Close a connection whose server refused to release what it keeps for it."""
    if answer.refusal is not None:
        close_connection(state, connection, out, "release_refused")
        handle_connection_loss(state, connection, out)


def handle_job_answer(
    state: DirectState,
    connection: Connection,
    pending: PendingCommand,
    answer: Answer,
    out,
) -> None:
    """Handle a server's answer to a caller's statement.

    A refusal is ignored while the same job still runs on another connection. A job that
    the server did not run is queued again, or aborts its transaction.
    """
    job = pending.work
    server = connection.server
    elapsed = state.now - pending.sent_at
    if pending.preparation is None:
        _record_outcome(state, connection, answer, out)
    elif answer.refusal is not None:
        refused = pending.preparation
        answer = replace(answer, refusal=refused.refusal, detail=refused.detail)
    ran = answer.refusal not in NOT_RUN and answer.refusal is not Refusal.NO_STATEMENT
    if ran and pending.sent_at >= state.resumed_at:
        # Refusals are quick; counted, they would make a lagging replica look fast. A
        # pause of this VM counted as service time would have it refuse statements.
        server.record_service_time(state.now, elapsed)
        out.append(Observe(metric="service_seconds", value=elapsed))
        if answer.refusal is None:
            record_answer_time(state, server, job, elapsed, out)
    transaction = job.session.transaction
    in_transaction = connection.transaction is not None
    if job.state is not JobState.RUNNING or connection not in job.connections:
        # The caller has disconnected or got the answer of another connection.
        if in_transaction:
            roll_back(state, connection, out)
        return
    if answer.refusal is not None and len(job.connections) > 1:
        job.connections.remove(connection)
        return
    if answer.refusal in NOT_RUN or answer.refusal is Refusal.NO_STATEMENT:
        record_refusal(state, server, answer.refusal, out)
        if in_transaction:
            fail_transaction(state, job, answer.refusal.value, out)
            return
        unknown = answer.refusal is Refusal.NO_STATEMENT
        if unknown and job.attempts >= MAX_UNKNOWN_STATEMENTS:
            fail_job(state, job, Refusal.OVERLOAD, "statement_unknown", out)
            return
        requeue_job(state, job, server, answer.refusal.value, out)
        return
    if answer.refusal is Refusal.FAILED and _may_run_again(job, transaction):
        requeue_job(state, job, server, answer.refusal.value, out)
        return
    # The answers of other runs of a hedged read are discarded.
    job.connections = [connection]
    if job.commits:
        connection.transaction = None
        if transaction is not None:
            transaction.connection = None
    elif in_transaction and answer.refusal is not None:
        abandon_transaction(state, transaction, out)
    job.server = server.entry.server
    if answer.refusal is not None:
        if job.commits:
            job.session.transaction = None
        end_job(state, job, answer, "server", out)
        return
    _finish_result(state, job, answer, out)


def _record_outcome(
    state: DirectState, connection: Connection, answer: Answer, out: Effects
) -> None:
    """Record whether a server failed a statement, or lacks one that it should keep.

    Refusals to run it say nothing else.
    """
    if answer.refusal is None:
        record_success(connection.server)
    elif answer.refusal in (Refusal.FAILED, Refusal.TIMEOUT):
        record_failure(state, connection.server, out)
    elif answer.refusal is Refusal.NO_STATEMENT:
        connection.kept.reject(answer)


def _may_run_again(job: Job, transaction: Transaction | None) -> bool:
    """Return whether a failed statement may be run again: a single read, twice."""
    return transaction is None and not job.writes and job.attempts < MAX_READ_ATTEMPTS


def _finish_result(state: DirectState, job: Job, answer: Answer, out: Effects) -> None:
    """Deliver a result, or keep it until the primary is proved to have led.

    Reads of replicas need no proof, nor do commits without writes, nor further
    statements of a transaction whose leader was confirmed.
    """
    transaction = job.session.transaction
    if job.commits and transaction is not None and not transaction.wrote:
        deliver_result(state, job, answer, out)
        return
    if not job.leader_only:
        deliver_result(state, job, answer, out)
        return
    single_write = job.writes and transaction is None
    if single_write or job.commits:
        job.proof_since = state.now
        job.proof_strict = True
    elif transaction is not None and transaction.leader_confirmed:
        deliver_result(state, job, answer, out)
        return
    else:
        job.proof_since = job.since
        if job.route.consistency is not Consistency.PRIMARY:
            job.proof_since -= job.route.staleness
    job.answer = answer
    job.state = JobState.UNCONFIRMED
    database = state.databases[job.route.service]
    database.unconfirmed.append(job)
    state.pending_updates.add(database.name)


def deliver_result(state: DirectState, job: Job, answer: Answer, out: Effects) -> None:
    """Answer the caller with a result that needs no further proof.

    The session's position advances to that of a commit, and a committed transaction
    ends.
    """
    session = job.session
    transaction = session.transaction
    if transaction is not None and not job.commits:
        transaction.leader_confirmed = True
    if job.commits:
        session.transaction = None
    if job.writes and answer.position is not None:
        if job.commits or transaction is None:
            if session.position is None or session.position < answer.position:
                session.position = answer.position
    end_job(state, job, answer, "server", out)
