"""Jobs on connections: sending, requeueing and failing them."""

from ..model import Position
from ._connections import (
    apply_session_values,
    close_connection,
    prepare_statement,
    send,
)
from ._effects import Log, Observe
from ._hedging import replenish_hedge_budget
from ._leaders import DropReason, drop_leader
from ._placement import LAGGING_RETRY_DELAY
from ._replies import end_job
from ._server_state import Connection, Purpose, Server
from ._state import DirectState, Effects, Job, JobState, Transaction
from ._types import Answer, Command, CommandKind, Refusal, StatementKind


def begin_job(
    state: DirectState,
    job: Job,
    connection: Connection,
    after: Position | None,
    out: Effects,
) -> None:
    """Start a job, and its transaction if it is the first statement of one.

    Args:
        after: log position that the server must have applied.
    """
    session = job.session
    apply_session_values(state, connection, session, out)
    transaction = session.transaction
    if transaction is None:
        run_statement(state, job, connection, out, after)
        return
    transaction.connection = connection
    connection.transaction = transaction
    job.state = JobState.RUNNING
    job.connections = [connection]
    job.server = connection.server.entry.server
    job.attempts += 1
    kind = CommandKind.BEGIN_READ if transaction.read_only else CommandKind.BEGIN
    # The statement is sent once the transaction has begun: sent along with a `BEGIN`
    # that is refused, it would run outside a transaction.
    send(
        state,
        connection,
        Command(kind=kind, after=after if transaction.read_only else None),
        Purpose.SETUP,
        out,
        job,
    )


def run_statement(
    state: DirectState,
    job: Job,
    connection: Connection,
    out: Effects,
    after: Position | None = None,
) -> None:
    """Send a job's statement on the connection of the job or its transaction."""
    session = job.session
    transaction = session.transaction
    statement = job.statement
    if transaction is not None:
        apply_session_values(state, connection, session, out)
        if job.writes and not job.commits:
            transaction.wrote = True
    if statement.kind is StatementKind.EXECUTE:
        name = prepare_statement(
            state, connection, statement.writes, statement.shape, out
        )
        command = Command(
            kind=CommandKind.EXECUTE,
            request=statement.request,
            name=name,
            value=statement.value,
            after=after,
        )
    else:
        command = Command(
            kind=CommandKind.RUN,
            request=statement.request,
            text=statement.text,
            after=after,
        )
    job.state = JobState.RUNNING
    job.connections.append(connection)
    job.server = connection.server.entry.server
    job.sent_at = state.now
    if transaction is None:
        job.attempts += 1
    replenish_hedge_budget(state.databases[job.route.service])
    send(state, connection, command, Purpose.JOB, out, job)


def record_refusal(
    state: DirectState, server: Server, refusal: Refusal, out: Effects
) -> None:
    """Update the server's lag and the leader after a server's refusal."""
    database = state.databases[server.entry.service]
    if refusal is Refusal.LAGGING:
        server.lagging_until = state.now + LAGGING_RETRY_DELAY
        database.lagging_seen_at = state.now
    if refusal is Refusal.READ_ONLY and database.leader is not None:
        if database.leader.server == server.entry.server:
            drop_leader(state, database, DropReason.READ_ONLY, out)


def requeue_job(
    state: DirectState, job: Job, server: Server, reason: str, out: Effects
) -> None:
    """Queue a job again that had no effect, preferably for another server."""
    job.tried[server.entry.server] = state.now
    job.state = JobState.QUEUED
    job.connections = []
    database = state.databases[job.route.service]
    database.queue.append(job)
    state.pending_updates.add(database.name)
    out.append(
        Log(
            event="retried",
            fields=(
                ("request", job.statement.request),
                ("server", server.entry.server),
                ("attempts", job.attempts),
                ("reason", reason),
            ),
        )
    )
    out.append(Observe(metric="retries_total", label=reason))


def fail_job(
    state: DirectState,
    job: Job,
    refusal: Refusal,
    reason: str,
    out: Effects,
    *,
    detail: str = "",
) -> None:
    """Refuse a job that did not run, and fail its transaction if it has one.

    Args:
        detail: text sent to the caller with the refusal; the reason by default.
    """
    detail = detail or reason
    if job.session.transaction is not None:
        fail_transaction(state, job, reason, out, detail=detail)
        return
    end_job(state, job, Answer(refusal=refusal, detail=detail), reason, out)


def fail_transaction(
    state: DirectState, job: Job, reason: str, out: Effects, *, detail: str = ""
) -> None:
    """Abort a transaction that has not committed, and answer its current job."""
    transaction = job.session.transaction
    abandon_transaction(state, transaction, out)
    if job.commits:
        job.session.transaction = None
    answer = Answer(refusal=Refusal.ABORTED, detail=detail or reason)
    end_job(state, job, answer, reason, out)


def abandon_transaction(
    state: DirectState, transaction: Transaction, out: Effects
) -> None:
    """Mark a transaction as failed, and roll it back or close its connection."""
    transaction.failed = True
    connection = transaction.connection
    transaction.connection = None
    if connection is not None and connection.number in state.connections:
        if connection.pending:
            close_connection(state, connection, out, "transaction_abandoned")
        else:
            roll_back(state, connection, out)


def roll_back(state: DirectState, connection: Connection, out: Effects) -> None:
    """Roll back a connection's transaction; the answer makes the connection idle."""
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    connection.transaction = None
    send(state, connection, Command(kind=CommandKind.ROLLBACK), Purpose.CLEANUP, out)
