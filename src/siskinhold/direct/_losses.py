"""Outcome of jobs whose connection is lost or whose deadline has passed."""

from ._outliers import record_failure
from ._replies import end_job
from ._runs import fail_job, fail_transaction, requeue_job
from ._server_state import Connection
from ._state import DirectState, Effects, Job, JobState
from ._stop_phases import SHUTDOWN
from ._types import Answer, Refusal
from .pools import close_connection

MAX_LOSSES = 4
"""Lost connections after which a statement is refused, as it may be their cause: fewer
than those in a row by which a server counts as failing."""


def handle_connection_loss(
    state: DirectState,
    connection: Connection,
    out: Effects,
) -> None:
    """Requeue or fail the jobs that ran on a connection that has ended.

    An open transaction on it without a running statement fails. Its caller is told in
    the answer to the statement that awaits proof, else in that to the next one.
    """
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    jobs = []
    for pending in connection.pending:
        if pending.work is not None and pending.work not in jobs:
            jobs.append(pending.work)
    connection.pending.clear()
    if jobs:
        record_failure(state, connection.server, out)
    for job in jobs:
        _handle_run_loss(state, job, connection, out)
    if transaction is not None and not transaction.failed:
        session = transaction.session
        if session.transaction is not transaction:
            return
        if session.work is None:
            transaction.failed = True
            transaction.failure_unreported = True
        elif session.work.state is JobState.UNCONFIRMED:
            fail_transaction(state, session.work, "connection_lost", out)


def _handle_run_loss(
    state: DirectState, job: Job, connection: Connection, out: Effects
) -> None:
    """Requeue or fail a job unless it still runs on another connection.

    A commit with writes or a single write that was sent ends as in doubt, and a
    commit without writes as aborted. Any other statement is queued again if it is
    outside a transaction, or if it was to begin one and was not sent yet; otherwise
    the transaction fails.
    """
    if job.state is not JobState.RUNNING:
        return
    if connection in job.connections:
        job.connections.remove(connection)
    job.losses += 1
    if job.connections:
        return
    transaction = job.session.transaction
    began = job.sent_at >= job.arrived_at
    if job.commits and began:
        wrote = transaction is not None and transaction.wrote
        job.session.transaction = None
        refusal = Refusal.IN_DOUBT if wrote else Refusal.ABORTED
        answer = Answer(refusal=refusal, detail="connection lost")
        end_job(state, job, answer, "connection_lost", out)
        return
    if transaction is not None:
        if not began and not transaction.leader_confirmed:
            requeue_job(state, job, connection.server, "connection_lost", out)
            return
        fail_transaction(state, job, "connection_lost", out)
        return
    if job.writes and began:
        answer = Answer(refusal=Refusal.IN_DOUBT, detail="connection lost")
        end_job(state, job, answer, "connection_lost", out)
        return
    if job.losses >= MAX_LOSSES:
        fail_job(state, job, Refusal.OVERLOAD, "connections_lost", out)
        return
    requeue_job(state, job, connection.server, "connection_lost", out)


def expire_job(state: DirectState, job: Job, out: Effects) -> None:
    """Answer a job whose deadline has passed, and close the connections it runs on.

    A shutdown limits the deadline, see `limit_deadline`.

    The answer is an overload if the job was not sent, in doubt if it may have committed
    writes, else a timeout. A transaction is aborted, unless the job is a `COMMIT` that
    was started.
    """
    transaction = job.session.transaction
    if job.state is JobState.QUEUED:
        database = state.databases.get(job.route.service)
        if database is not None and job in database.queue:
            database.queue.remove(job)
        fail_job(state, job, Refusal.OVERLOAD, "timeout_in_queue", out)
        return
    reason = "timeout"
    if job.deadline < job.arrived_at + job.route.timeout:
        reason = SHUTDOWN
    started = job.sent_at >= job.arrived_at
    in_doubt = job.writes and started and (job.commits or transaction is None)
    if job.commits and transaction is not None and not transaction.wrote:
        in_doubt = False
    for connection in job.connections:
        if job.state is JobState.RUNNING and connection.number in state.connections:
            connection.pending.clear()
            if reason != SHUTDOWN:
                record_failure(state, connection.server, out)
            close_connection(state, connection, out, f"statement_{reason}")
    if transaction is not None and not job.commits:
        fail_transaction(state, job, reason, out)
        return
    if job.commits:
        job.session.transaction = None
    refusal = Refusal.TIMEOUT
    if in_doubt:
        refusal = Refusal.IN_DOUBT
    elif not started:
        refusal = Refusal.OVERLOAD
    end_job(state, job, Answer(refusal=refusal, detail=reason), reason, out)
