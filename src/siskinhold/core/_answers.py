"""Handling of backend connection events: answers, losses, deadlines, rollbacks."""

from ..effects import Observe
from ..events import BackendAnswered, BackendClosed, BackendLost, BackendOpened
from ..messages import Abandon
from ..model import Done, Failed, NotRun, NotRunReason, StatementKind, UnknownReason
from . import _connections as connections
from ._confirmation import await_confirmation
from ._health import request_status
from ._pools import (
    JobDeadline,
    answer,
    answer_unknown,
    dispatch,
    dispatch_database,
    find_pool,
    is_primary_known,
    refuse,
    requeue,
    run_statement,
)
from ._queue import Job
from ._state import Effects, NodeState
from ._stragglers import record_service_time

READ_ONLY_ERROR = 1290
"""MySQL error of a write on a read-only server; the write had no effect."""


def _handle_opened(node: NodeState, event: BackendOpened, out: Effects) -> None:
    """Mark a connection as idle and dispatch the jobs of its database."""
    connection = connections.mark_opened(node, event.connection)
    if connection is None:
        return
    health = node.health.servers.get(connection.server)
    if health is not None:
        dispatch_database(node, health.database, out)


def _handle_closed(node: NodeState, event: BackendClosed, out: Effects) -> None:
    """Remove a connection that closed without a running statement.

    A transaction pinned to it ends, and the server's status is queried.
    """
    connection = connections.remove_connection(node, event.connection, failed=True)
    if connection is None:
        return
    request_status(node, connection.server, out, fresh=True)
    if connection.transaction is not None:
        node.pools.transactions.pop(connection.transaction, None)


def _handle_answer(node: NodeState, event: BackendAnswered, out: Effects) -> None:
    """Free the connection of an answered statement, and answer or hold its job.

    After START TRANSACTION, the job's own statement runs on the connection instead.
    """
    connection = node.connections.connections.get(event.connection)
    if connection is None or connection.request != event.request:
        return
    job = node.pools.jobs.get(event.request)
    if event.request in node.pools.beginning:
        node.pools.beginning.discard(event.request)
        if job is not None and isinstance(event.outcome, Done):
            run_statement(node, job, out)
            return
    database = _find_database(node, connection.server)
    _record_service_time(node, connection, job, out)
    _end_transaction_if_over(node, connection, event)
    connections.release(node, connection)
    if job is not None:
        job.answered = node.now
        _handle_outcome(node, job, event, out)
    if database:
        dispatch_database(node, database, out)


def _record_service_time(
    node: NodeState,
    connection: connections.Connection,
    job: Job | None,
    out: Effects,
) -> None:
    """Report a statement's service time, and use it to classify later jobs."""
    seconds = node.now - connection.since
    out.append(Observe(metric="service_seconds", value=seconds))
    pool = find_pool(node, job.request.database, job.region) if job else None
    if pool is not None:
        record_service_time(node, pool, job, seconds)


def _end_transaction_if_over(
    node: NodeState, connection: connections.Connection, event: BackendAnswered
) -> None:
    """Record the use of a transaction, and unpin its connection if it has ended."""
    if connection.transaction is None:
        return
    transaction = node.pools.transactions.get(connection.transaction)
    if transaction is not None:
        transaction.used = node.now
    if event.in_transaction:
        return
    node.pools.transactions.pop(connection.transaction, None)
    connection.transaction = None


def _handle_outcome(
    node: NodeState, job: Job, event: BackendAnswered, out: Effects
) -> None:
    """Answer a job, or hold its answer until it is confirmed.

    Committed writes and reads with a required position need confirmation.
    """
    outcome = event.outcome
    if isinstance(outcome, Failed):
        _handle_failure(node, job, outcome, out)
        return
    if not isinstance(outcome, Done):
        answer(node, job, outcome, out)
        return
    request = job.request
    ends_write = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and request.transaction is None
    )
    reads_with_need = (
        request.kind is StatementKind.READ
        and request.transaction is None
        and request.need is not None
    )
    if not ends_write and not reads_with_need:
        answer(node, job, outcome, out)
        return
    job.outcome = outcome
    job.position = event.position
    await_confirmation(node, job, out)


def _handle_failure(node: NodeState, job: Job, outcome: Failed, out: Effects) -> None:
    """Answer a job with the server's error; retry one whose server is read-only."""
    request = job.request
    if outcome.code != READ_ONLY_ERROR:
        answer(node, job, outcome, out)
        return
    request_status(node, job.server, out)
    if request.transaction is not None and not request.opens_transaction:
        refuse(node, job, NotRunReason.TRANSACTION_LOST, out, "primary replaced")
        return
    if requeue(node, job, out, cause="server_read_only"):
        return
    refuse(node, job, NotRunReason.NO_PRIMARY, out)


def _handle_loss(node: NodeState, event: BackendLost, out: Effects) -> None:
    """Handle the loss of a connection that runs a statement."""
    connection = node.connections.connections.get(event.connection)
    if connection is None or connection.request != event.request:
        return
    handle_connection_loss(
        node, connection, out, sent=event.sent, cause="connection_lost"
    )


def handle_connection_loss(
    node: NodeState,
    connection: connections.Connection,
    out: Effects,
    *,
    sent: bool,
    cause: str,
) -> None:
    """Remove a lost connection, and retry or answer the job that it ran.

    Its transaction ends, the server's status is queried over a new connection, and
    the job's pool is dispatched.

    Args:
        sent: whether any byte of the statement may have reached the server.
        cause: for the timeline.
    """
    connections.remove_connection(node, connection.number)
    request_status(node, connection.server, out, fresh=True)
    if connection.transaction is not None:
        node.pools.transactions.pop(connection.transaction, None)
    job = node.pools.jobs.get(connection.request) if connection.request else None
    if job is None:
        return
    beginning = job.id in node.pools.beginning
    node.pools.beginning.discard(job.id)
    _resolve_loss(node, job, out, sent=sent and not beginning, cause=cause)
    pool = find_pool(node, job.request.database, job.region)
    if pool is not None:
        dispatch(node, pool, out)


def _resolve_loss(
    node: NodeState, job: Job, out: Effects, *, sent: bool, cause: str
) -> None:
    """Retry a job whose connection was lost, or answer it if it can't be retried."""
    request = job.request
    inside = request.transaction is not None and not request.opens_transaction
    if inside and request.kind is not StatementKind.COMMIT:
        refuse(node, job, NotRunReason.TRANSACTION_LOST, out, "connection lost")
        return
    if inside and not sent:
        refuse(node, job, NotRunReason.TRANSACTION_LOST, out, "connection lost")
        return
    # The first statement of a transaction was rolled back with its connection,
    # a read has no effect, and a keyed write runs once however often it is
    # sent.
    repeatable = (
        not sent
        or request.opens_transaction
        or request.kind is StatementKind.READ
        or (bool(request.marks.key) and not inside)
    )
    job.may_have_run = job.may_have_run or (sent and not request.opens_transaction)
    if repeatable and requeue(node, job, out, cause=cause):
        return
    if request.opens_transaction or not sent:
        refuse(node, job, NotRunReason.NO_PRIMARY, out, "connection lost")
        return
    answer_unknown(node, job, UnknownReason.CONNECTION_LOST, out)


def _expire_job(node: NodeState, action: JobDeadline, out: Effects) -> None:
    """Answer a job at its deadline: not run if it waits, unknown if it was started."""
    job = node.pools.jobs.get(action.request)
    if job is None:
        return
    if is_waiting(node, job):
        withdraw(node, job)
        refuse(node, job, _find_refusal_reason(node, job), out)
        return
    if job.answered is not None:
        answer_unknown(node, job, UnknownReason.TERM_NOT_CONFIRMED, out)
        return
    answer_unknown(node, job, UnknownReason.DEADLINE, out)


def is_waiting(node: NodeState, job: Job) -> bool:
    """Return whether a job waits in its pool and was not sent to a server."""
    pool = find_pool(node, job.request.database, job.region)
    if pool is None:
        return False
    return job.connection == 0 or job in pool.pinned


def withdraw(node: NodeState, job: Job) -> None:
    """Remove a job from the queues of its pool."""
    pool = find_pool(node, job.request.database, job.region)
    if pool is None:
        return
    pool.queue.remove(job)
    if job in pool.pinned:
        pool.pinned.remove(job)


def _find_refusal_reason(node: NodeState, job: Job) -> NotRunReason:
    """Return why a job has not been started by its deadline."""
    if job.needs_primary and not is_primary_known(node, job.request.database):
        return NotRunReason.NO_PRIMARY
    return NotRunReason.DEADLINE


def _handle_abandon(node: NodeState, event, out: Effects) -> None:
    """Discard what a caller's entry VM has abandoned."""
    abandon(node, event.envelope.message, out)


def abandon(node: NodeState, message: Abandon, out: Effects) -> None:
    """Discard a request or a transaction that its entry VM has abandoned.

    A running statement outside a transaction runs to its end and its answer is
    discarded.
    """
    job = node.pools.jobs.pop(message.request, None)
    if job is not None:
        withdraw(node, job)
    if message.transaction is not None:
        roll_back(node, message.transaction, out)


def roll_back(node: NodeState, identity, out: Effects) -> None:
    """Roll a transaction back by closing its connection.

    A job that runs on the connection is answered as not run.
    """
    transaction = node.pools.transactions.pop(identity, None)
    if transaction is None:
        return
    connection = connections.close(node, transaction.connection, out)
    if connection is None or connection.request is None:
        return
    job = node.pools.jobs.get(connection.request)
    if job is not None:
        answer(node, job, NotRun(reason=NotRunReason.TRANSACTION_LOST), out)


def _find_database(node: NodeState, server: str) -> str:
    """Return the name of a server's database, empty if the server is unknown."""
    health = node.health.servers.get(server)
    return health.database if health is not None else ""


EVENTS = {
    BackendOpened: _handle_opened,
    BackendClosed: _handle_closed,
    BackendAnswered: _handle_answer,
    BackendLost: _handle_loss,
}
MESSAGES = {Abandon: _handle_abandon}
TIMERS = {JobDeadline: _expire_job}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
