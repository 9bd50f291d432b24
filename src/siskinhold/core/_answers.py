"""What becomes of a work when its backend connection says something."""

from ..effects import Observe
from ..events import BackendAnswered, BackendClosed, BackendLost, BackendOpened
from ..messages import Abandon
from ..model import Done, Failed, NotRun, NotRunReason, StatementKind, UnknownReason
from . import _connections as connections
from ._confirmation import await_confirmation
from ._health import request_status
from ._pools import (
    WorkDeadline,
    answer,
    drain,
    drain_database,
    find_pool,
    give_unknown,
    primary_is_known,
    refuse,
    requeue,
    run_statement,
)
from ._queue import Work
from ._state import Effects, NodeState
from ._stragglers import note_service

READ_ONLY_ERROR = 1290
"""MySQL error of a write on a server that does not lead; it had no effect."""


def _note_opened(node: NodeState, event: BackendOpened, out: Effects) -> None:
    connection = connections.note_open(node, event.connection)
    if connection is None:
        return
    health = node.health.servers.get(connection.server)
    if health is not None:
        drain_database(node, health.database, out)


def _note_closed(node: NodeState, event: BackendClosed, out: Effects) -> None:
    connection = connections.forget(node, event.connection, failed=True)
    if connection is None:
        return
    request_status(node, connection.server, out, fresh=True)
    if connection.transaction is not None:
        node.pools.transactions.pop(connection.transaction, None)


def _take_answer(node: NodeState, event: BackendAnswered, out: Effects) -> None:
    connection = node.connections.connections.get(event.connection)
    if connection is None or connection.request != event.request:
        return
    work = node.pools.works.get(event.request)
    if event.request in node.pools.begun:
        node.pools.begun.discard(event.request)
        if work is not None and isinstance(event.outcome, Done):
            run_statement(node, work, out)
            return
    database = _find_database(node, connection.server)
    _note_service_time(node, connection, work, out)
    _end_transaction_if_over(node, connection, event)
    connections.vacate(node, connection)
    if work is not None:
        work.answered = node.now
        _decide(node, work, event, out)
    if database:
        drain_database(node, database, out)


def _note_service_time(
    node: NodeState,
    connection: connections.Connection,
    work: Work | None,
    out: Effects,
) -> None:
    seconds = node.now - connection.since
    out.append(Observe(metric="service_seconds", value=seconds))
    pool = find_pool(node, work.request.database, work.region) if work else None
    if pool is not None:
        note_service(node, pool, work, seconds)


def _end_transaction_if_over(
    node: NodeState, connection: connections.Connection, event: BackendAnswered
) -> None:
    if connection.transaction is None:
        return
    transaction = node.pools.transactions.get(connection.transaction)
    if transaction is not None:
        transaction.used = node.now
    if event.in_transaction:
        return
    node.pools.transactions.pop(connection.transaction, None)
    connection.transaction = None


def _decide(node: NodeState, work: Work, event: BackendAnswered, out: Effects) -> None:
    outcome = event.outcome
    if isinstance(outcome, Failed):
        _decide_failed(node, work, outcome, out)
        return
    if not isinstance(outcome, Done):
        answer(node, work, outcome, out)
        return
    request = work.request
    ends_write = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and request.transaction is None
    )
    reads_with_need = (
        request.kind is StatementKind.READ
        and request.transaction is None
        and request.need is not None
    )
    if not ends_write and not reads_with_need:
        answer(node, work, outcome, out)
        return
    work.outcome = outcome
    work.position = event.position
    await_confirmation(node, work, out)


def _decide_failed(node: NodeState, work: Work, outcome: Failed, out: Effects) -> None:
    request = work.request
    if outcome.code != READ_ONLY_ERROR:
        answer(node, work, outcome, out)
        return
    request_status(node, work.server, out)
    if request.transaction is not None and not request.opens_transaction:
        refuse(node, work, NotRunReason.TRANSACTION_LOST, out, "primary replaced")
        return
    if requeue(node, work, out, cause="server_read_only"):
        return
    refuse(node, work, NotRunReason.NO_PRIMARY, out)


def _take_loss(node: NodeState, event: BackendLost, out: Effects) -> None:
    connection = node.connections.connections.get(event.connection)
    if connection is None or connection.request != event.request:
        return
    lose_connection(node, connection, out, sent=event.sent, cause="connection_lost")


def lose_connection(
    node: NodeState,
    connection: connections.Connection,
    out: Effects,
    *,
    sent: bool,
    cause: str,
) -> None:
    """Deal with a connection that is gone while a statement was on it.

    Args:
        sent: whether any byte of the statement may have reached the server.
        cause: for the time line.
    """
    connections.forget(node, connection.number)
    request_status(node, connection.server, out, fresh=True)
    if connection.transaction is not None:
        node.pools.transactions.pop(connection.transaction, None)
    work = node.pools.works.get(connection.request) if connection.request else None
    if work is None:
        return
    begun = work.id in node.pools.begun
    node.pools.begun.discard(work.id)
    _settle_loss(node, work, out, sent=sent and not begun, cause=cause)
    pool = find_pool(node, work.request.database, work.region)
    if pool is not None:
        drain(node, pool, out)


def _settle_loss(
    node: NodeState, work: Work, out: Effects, *, sent: bool, cause: str
) -> None:
    request = work.request
    inside = request.transaction is not None and not request.opens_transaction
    if inside and request.kind is not StatementKind.COMMIT:
        refuse(node, work, NotRunReason.TRANSACTION_LOST, out, "connection lost")
        return
    if inside and not sent:
        refuse(node, work, NotRunReason.TRANSACTION_LOST, out, "connection lost")
        return
    # A first statement of a transaction rolled back with its connection, a
    # read has no effect and a keyed write runs once however often it is sent.
    harmless = (
        not sent
        or request.opens_transaction
        or request.kind is StatementKind.READ
        or (bool(request.marks.key) and not inside)
    )
    work.may_have_run = work.may_have_run or (sent and not request.opens_transaction)
    if harmless and requeue(node, work, out, cause=cause):
        return
    if request.opens_transaction or not sent:
        refuse(node, work, NotRunReason.NO_PRIMARY, out, "connection lost")
        return
    give_unknown(node, work, UnknownReason.CONNECTION_LOST, out)


def _expire_work(node: NodeState, action: WorkDeadline, out: Effects) -> None:
    work = node.pools.works.get(action.request)
    if work is None:
        return
    pool = find_pool(node, work.request.database, work.region)
    waiting = work.connection == 0 or (pool is not None and work in pool.pinned)
    if pool is not None and waiting:
        pool.queue.remove(work)
        if work in pool.pinned:
            pool.pinned.remove(work)
        refuse(node, work, _explain_wait(node, work), out)
        return
    if work.answered is not None:
        give_unknown(node, work, UnknownReason.TERM_NOT_CONFIRMED, out)
        return
    give_unknown(node, work, UnknownReason.DEADLINE, out)


def _explain_wait(node: NodeState, work: Work) -> NotRunReason:
    if work.needs_primary and not primary_is_known(node, work.request.database):
        return NotRunReason.NO_PRIMARY
    return NotRunReason.DEADLINE


def _take_abandon(node: NodeState, event, out: Effects) -> None:
    abandon(node, event.envelope.message, out)


def abandon(node: NodeState, message: Abandon, out: Effects) -> None:
    """Drop what nobody waits for: a waiting request, an open transaction.

    A statement that runs is left to end; its answer is dropped.
    """
    work = node.pools.works.pop(message.request, None)
    if work is not None:
        pool = find_pool(node, work.request.database, work.region)
        if pool is not None:
            pool.queue.remove(work)
            if work in pool.pinned:
                pool.pinned.remove(work)
    if message.transaction is not None:
        roll_back(node, message.transaction, out)


def roll_back(node: NodeState, identity, out: Effects) -> None:
    """End a transaction by closing its connection."""
    transaction = node.pools.transactions.pop(identity, None)
    if transaction is None:
        return
    connection = connections.close(node, transaction.connection, out)
    if connection is None or connection.request is None:
        return
    work = node.pools.works.get(connection.request)
    if work is not None:
        answer(node, work, NotRun(reason=NotRunReason.TRANSACTION_LOST), out)


def _find_database(node: NodeState, server: str) -> str:
    health = node.health.servers.get(server)
    return health.database if health is not None else ""


EVENTS = {
    BackendOpened: _note_opened,
    BackendClosed: _note_closed,
    BackendAnswered: _take_answer,
    BackendLost: _take_loss,
}
MESSAGES = {Abandon: _take_abandon}
TIMERS = {WorkDeadline: _expire_work}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
