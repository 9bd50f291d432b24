"""Jobs on connections: sending, requeueing and failing them."""

from ..model import Position
from ._effects import Log, Observe
from ._hedging import replenish_hedge_budget
from ._leaders import DropReason, drop_leader
from ._placement import LAGGING_RETRY_DELAY
from ._replies import end_job
from ._server_state import Connection, Purpose, Server
from ._state import DirectState, Effects, Job, JobState, Transaction
from ._types import Answer, Command, CommandKind, Refusal, StatementKind
from .pools import apply_session_values, close_connection, prepare_statement, send


def begin_job(
    state: DirectState,
    job: Job,
    connection: Connection,
    after: Position | None,
    out: Effects,
) -> None:
    """Start a job on an idle connection.

    The first statement of a transaction is sent when the server has accepted the
    `BEGIN`, see `handle_begin_answer`.

    Args:
        after: log position that the server must have applied.
    """
    session = job.session
    job.placed_at = state.now
    transaction = session.transaction
    if transaction is None:
        run_statement(state, job, connection, out, after)
        return
    apply_session_values(state, connection, session, out)
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
        Purpose.BEGIN,
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
    """Send a job's statement on a connection, once the session values are in force.

    Sent along with a value that the server refuses, it would run with another one, see
    `handle_setup_answer`. A prepared statement is sent along with its preparation: if
    that is refused, nothing has its new name.

    Args:
        connection: that of the transaction if there is one; otherwise an idle one,
            which for a hedged read is its second.
        after: log position that the server must have applied.
    """
    session = job.session
    job.state = JobState.RUNNING
    job.connections.append(connection)
    job.server = connection.server.entry.server
    job.after = after
    if apply_session_values(state, connection, session, out, job):
        if len(job.connections) == 1:
            job.sent_at = 0.0
        return
    transaction = session.transaction
    statement = job.statement
    if transaction is not None and job.writes and not job.commits:
        transaction.wrote = True
    if statement.kind is StatementKind.EXECUTE:
        command = Command(
            kind=CommandKind.EXECUTE,
            request=statement.request,
            name=prepare_statement(state, connection, job, out),
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
    job.sent_at = state.now
    if transaction is None:
        job.attempts += 1
    replenish_hedge_budget(state.databases[job.route.service])
    send(state, connection, command, Purpose.JOB, out, job)


def record_refusal(
    state: DirectState, server: Server, refusal: Refusal, out: Effects
) -> None:
    """Record what a refusal shows: a lagging replica, or a leader that no longer leads.

    The refused job is handled by the caller of this function.
    """
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
    """Queue a job again whose earlier run on `server` had no effect.

    A read avoids that server for `SERVER_RETRY_DELAY`, see `_placement`.
    """
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
    """Refuse a job that did not run, or abort its transaction if it has one.

    Args:
        refusal: answer to a statement outside a transaction; one in a transaction is
            answered with `ABORTED`.
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
    """Abort a transaction that has not committed, and answer its current job.

    It stays open for the caller, as failed, unless the job is its `COMMIT`.
    """
    transaction = job.session.transaction
    abandon_transaction(state, transaction, out)
    if job.commits:
        job.session.transaction = None
    answer = Answer(refusal=Refusal.ABORTED, detail=detail or reason)
    end_job(state, job, answer, reason, out)


def abandon_transaction(
    state: DirectState, transaction: Transaction, out: Effects
) -> None:
    """Mark a transaction as failed and detach it from its connection.

    The connection is closed if it awaits an answer; otherwise the transaction is rolled
    back on it.
    """
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
