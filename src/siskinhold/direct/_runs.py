"""Statements on connections: sending them, sending them again, giving them up."""

from ..model import Position
from ._connections import adopt_session, close_connection, prepare_shape, send
from ._effects import Log, Observe
from ._hedging import earn_hedge
from ._leaders import DropReason, drop_leader
from ._placement import LAGGING_PAUSE
from ._replies import end_work
from ._server_state import Connection, Purpose, Server
from ._state import DirectState, Effects, Transaction, Work, WorkState
from ._types import Answer, Command, CommandKind, Refusal, StatementKind


def begin_work(
    state: DirectState,
    work: Work,
    connection: Connection,
    after: Position | None,
    out: Effects,
) -> None:
    """Give a connection to a statement, or to the transaction that it is the first of.

    Args:
        after: log position that the server must have applied.
    """
    session = work.session
    adopt_session(state, connection, session, out)
    transaction = session.transaction
    if transaction is None:
        run_statement(state, work, connection, out, after)
        return
    transaction.connection = connection
    connection.transaction = transaction
    work.state = WorkState.RUNNING
    work.connections = [connection]
    work.server = connection.server.entry.server
    work.attempts += 1
    kind = CommandKind.BEGIN_READ if transaction.read_only else CommandKind.BEGIN
    # The statement follows only once the transaction has begun: if it is refused,
    # a statement sent with it would run on its own.
    send(
        state,
        connection,
        Command(kind=kind, after=after if transaction.read_only else None),
        Purpose.SETUP,
        out,
        work,
    )


def run_statement(
    state: DirectState,
    work: Work,
    connection: Connection,
    out: Effects,
    after: Position | None = None,
) -> None:
    """Send a statement on a connection that it, or its transaction, was given."""
    session = work.session
    transaction = session.transaction
    statement = work.statement
    if transaction is not None:
        adopt_session(state, connection, session, out)
        if work.writes and not work.commits:
            transaction.wrote = True
    if statement.kind is StatementKind.EXECUTE:
        name = prepare_shape(state, connection, statement.writes, statement.shape, out)
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
    work.state = WorkState.RUNNING
    work.connections.append(connection)
    work.server = connection.server.entry.server
    work.sent_at = state.now
    if transaction is None:
        work.attempts += 1
    earn_hedge(state.databases[work.route.service])
    send(state, connection, command, Purpose.WORK, out, work)


def note_refusal(
    state: DirectState, server: Server, refusal: Refusal, out: Effects
) -> None:
    """Take what a server's refusal tells of its log and of its lead."""
    database = state.databases[server.entry.service]
    if refusal is Refusal.LAGGING:
        server.lagging_until = state.now + LAGGING_PAUSE
        database.lagging_at = state.now
    if refusal is Refusal.READ_ONLY and database.leader is not None:
        if database.leader.server == server.entry.server:
            drop_leader(state, database, DropReason.READ_ONLY, out)


def requeue_work(
    state: DirectState, work: Work, server: Server, reason: str, out: Effects
) -> None:
    """Let a statement that had no effect wait for another server."""
    work.tried[server.entry.server] = state.now
    work.state = WorkState.QUEUED
    work.connections = []
    database = state.databases[work.route.service]
    database.queue.append(work)
    state.unsettled.add(database.name)
    out.append(
        Log(
            event="retried",
            fields=(
                ("request", work.statement.request),
                ("server", server.entry.server),
                ("attempts", work.attempts),
                ("reason", reason),
            ),
        )
    )
    out.append(Observe(metric="retries_total", label=reason))


def fail_work(
    state: DirectState,
    work: Work,
    refusal: Refusal,
    reason: str,
    out: Effects,
    *,
    detail: str = "",
) -> None:
    """Refuse a statement that did not run, ending its transaction if it has one.

    Args:
        detail: what the caller is told beside the refusal; the reason by default.
    """
    detail = detail or reason
    if work.session.transaction is not None:
        fail_transaction(state, work, reason, out, detail=detail)
        return
    end_work(state, work, Answer(refusal=refusal, detail=detail), reason, out)


def fail_transaction(
    state: DirectState, work: Work, reason: str, out: Effects, *, detail: str = ""
) -> None:
    """Give up a transaction before its commit; nothing of it is kept."""
    transaction = work.session.transaction
    abandon_transaction(state, transaction, out)
    if work.commits:
        work.session.transaction = None
    answer = Answer(refusal=Refusal.ABORTED, detail=detail or reason)
    end_work(state, work, answer, reason, out)


def abandon_transaction(
    state: DirectState, transaction: Transaction, out: Effects
) -> None:
    """Mark a transaction as failed and have its connection rolled back."""
    transaction.failed = True
    connection = transaction.connection
    transaction.connection = None
    if connection is not None and connection.number in state.connections:
        if connection.pending:
            close_connection(state, connection, out, "transaction_abandoned")
        else:
            finish_transaction(state, connection, out)


def finish_transaction(
    state: DirectState, connection: Connection, out: Effects
) -> None:
    """Roll back on a connection; it is free once that is answered."""
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    connection.transaction = None
    send(state, connection, Command(kind=CommandKind.ROLLBACK), Purpose.CLEANUP, out)
