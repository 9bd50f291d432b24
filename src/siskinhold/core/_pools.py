"""Pools: the works, transactions and queues of the databases owned here.

A pool serves one database in one region. It gives waiting work to the
region's backend servers within their slots, and hands what they answer to
`_confirmation`, which decides when the caller may know.
"""

from dataclasses import dataclass

from ..effects import Observe, RunStatement, SendPeer
from ..messages import Answer, Redirect
from ..model import (
    BackendServer,
    NotRun,
    NotRunReason,
    Outcome,
    Position,
    Request,
    RequestId,
    Role,
    StatementKind,
    Unknown,
    UnknownReason,
    is_lost,
)
from ..statements import shape
from . import _connections as connections
from ._admission import admits
from ._health import find_primary, find_term_record, is_fit, is_reachable
from ._health_state import ServerHealth
from ._placement import accepts, find_replica, list_servers, order_servers
from ._pool_state import Pool, Transaction
from ._queue import Work
from ._retries import note_request, spend_retry
from ._state import Effects, NodeState, record
from ._stragglers import allows_long, classify, demote_running
from ._timers import TimerAction

MAX_ATTEMPTS = 3
"""Times one request is given to a connection: the first and two retries."""
KEY_MEMORY = 60.0
"""Seconds for which a key whose attempt ended as unknown is remembered."""
MAX_UNSETTLED = 10_000
"""Keys remembered at most; about 2 MB."""
REDIRECT_AFTER = 0.05
"""Seconds a read waits in a region none of whose servers can serve it."""
REDIRECT_INTERVAL = 25e-6
"""Seconds, for each waiting work, between two searches of a long queue for reads
to send away. A search costs about 2 us a work, so searches take a tenth of a core
at most."""
SMALL_QUEUE = 100
"""Waiting works up to which the queue is searched at each event."""


@dataclass(slots=True, frozen=True)
class WorkDeadline(TimerAction):
    """The caller of a request gives up."""

    request: RequestId


def submit(
    node: NodeState, pool: Pool, request: Request, origin: str, out: Effects
) -> None:
    """Take a request into a pool, or answer it at once if it can't run.

    A request that is here already is ignored: it was sent twice.
    """
    if request.id in node.pools.works:
        return
    work = Work(
        request=request,
        origin=origin,
        region=pool.region,
        arrived=node.now,
        deadline=node.now + request.budget_ms / 1000,
        shape=measure_shape(request.sql),
    )
    node.pools.works[request.id] = work
    if origin != node.identity.name:
        note_request(node)
    if request.transaction is not None and not request.opens_transaction:
        node.timers.schedule(work.deadline, WorkDeadline(request.id))
        _submit_pinned(node, pool, work, out)
        return
    if refuse_if_lost(node, work, out):
        return
    classify(node, work)
    if not admits(node, pool, work):
        refuse(node, work, NotRunReason.OVERLOAD, out)
        return
    node.timers.schedule(work.deadline, WorkDeadline(request.id))
    pool.queue.push(work)
    drain(node, pool, out)


def refuse_if_lost(node: NodeState, work: Work, out: Effects) -> bool:
    """Refuse a work if a promotion cut off a write that its session knows.

    The answer carries the position up to which the session's writes survived,
    so that the session is told once and goes on from there.
    """
    need = work.request.need
    starts = find_term_record(node, work.request.database).starts
    if need is None or not is_lost(starts, need):
        return False
    kept = min(start.offset for start in starts if start.term > need.term)
    refuse(
        node,
        work,
        NotRunReason.POSITION_LOST,
        out,
        position=Position(need.term, kept),
    )
    return True


def _submit_pinned(node: NodeState, pool: Pool, work: Work, out: Effects) -> None:
    transaction = node.pools.transactions.get(work.request.transaction)
    if transaction is None:
        refuse(node, work, NotRunReason.TRANSACTION_LOST, out)
        return
    transaction.used = node.now
    work.server = transaction.server
    work.connection = transaction.connection
    pool.pinned.append(work)
    drain(node, pool, out)


def answer(
    node: NodeState,
    work: Work,
    outcome: Outcome,
    out: Effects,
    *,
    position: Position | None = None,
) -> None:
    """Tell the entry VM how a work ended, and forget the work."""
    node.pools.works.pop(work.id, None)
    node.pools.begun.discard(work.id)
    record = find_term_record(node, work.request.database)
    message = Answer(
        request=work.id,
        outcome=outcome,
        position=position,
        server=work.server,
        replica=bool(work.server) and work.server != record.primary,
    )
    out.append(Observe(metric="request_seconds", value=node.now - work.arrived))
    out.append(SendPeer(vm=work.origin, message=message))


def refuse(
    node: NodeState,
    work: Work,
    reason: NotRunReason,
    out: Effects,
    detail: str = "",
    *,
    position: Position | None = None,
) -> None:
    """Answer a work as not run, or as unknown if an earlier attempt may have run.

    The work must not be on a connection.

    Args:
        position: with `POSITION_LOST`, the position that the session keeps.
    """
    if work.may_have_run and work.request.kind is not StatementKind.READ:
        give_unknown(node, work, UnknownReason.CONNECTION_LOST, out)
        return
    if _may_be_repeated(node, work):
        give_unknown(node, work, UnknownReason.KEY_UNSETTLED, out)
        return
    record(
        out,
        "request_refused",
        cause=reason.value,
        database=work.request.database,
        request=work.id,
        detail=(("waited_ms", round((node.now - work.arrived) * 1000)),),
    )
    out.append(Observe(metric="refused_total", label=reason.value))
    answer(node, work, NotRun(reason=reason, detail=detail), out, position=position)


def _may_be_repeated(node: NodeState, work: Work) -> bool:
    """Return whether a work may repeat a keyed request that has run.

    Its caller would take "not run" for the fate of the key, and order anew. A
    VM that has just taken the pool does not know what its predecessor did.
    """
    key = work.request.marks.key
    if not key:
        return False
    pool = find_pool(node, work.request.database, work.region)
    if pool is None or node.now - pool.taken < KEY_MEMORY:
        return True
    until = node.pools.unsettled.get((work.request.database, key), -1.0)
    return node.now < until


def _remember_unsettled(node: NodeState, work: Work) -> None:
    key = work.request.marks.key
    if not key:
        return
    unsettled = node.pools.unsettled
    unsettled.pop((work.request.database, key), None)
    unsettled[work.request.database, key] = node.now + KEY_MEMORY
    while len(unsettled) > MAX_UNSETTLED:
        del unsettled[next(iter(unsettled))]


def give_unknown(
    node: NodeState, work: Work, reason: UnknownReason, out: Effects
) -> None:
    """Answer a work whose fate can't be known."""
    _remember_unsettled(node, work)
    record(
        out,
        "request_unknown",
        cause=reason.value,
        database=work.request.database,
        server=work.server,
        request=work.id,
    )
    out.append(Observe(metric="unknown_total", label=reason.value))
    answer(node, work, Unknown(reason=reason), out)


def redirect(node: NodeState, work: Work, reason: str, out: Effects) -> None:
    """Give a work that did not run back to its entry VM."""
    node.pools.works.pop(work.id, None)
    message = Redirect(request=work.id, reason=reason, may_have_run=work.may_have_run)
    out.append(SendPeer(vm=work.origin, message=message))


def drain(node: NodeState, pool: Pool, out: Effects) -> None:
    """Give waiting work to the pool's servers as far as their slots allow."""
    for health in order_servers(node, pool):
        while _dispatch_one(node, pool, health, out):
            continue
    _redirect_unservable(node, pool, out)


def _dispatch_one(
    node: NodeState, pool: Pool, health: ServerHealth, out: Effects
) -> bool:
    """Give one work to a server; return whether there may be more to give."""
    server = health.server
    known = connections.server_connections(node, server.name)
    if known.running >= server.slots:
        return False
    pinned = _take_pinned(pool, server.name)
    if pinned is not None:
        connection = node.connections.connections[pinned.connection]
        _run(node, pinned, connection, health, out)
        return True
    if not len(pool.queue) or not is_fit(node, health):
        return False
    if known.running >= server.slots - _reserve_slots(node, server):
        return False
    connection = connections.take_idle(node, server.name)
    if connection is None:
        wanted = min(len(pool.queue), server.slots)
        connections.open_more(node, server, pool.database, wanted, out)
        return False
    demote_running(node, server.name)
    work = pool.queue.take(
        lambda item: accepts(node, pool, health, item),
        node.now,
        allow_long=allows_long(node, pool, health, list_servers(node, pool)),
        leads=health.status.role is Role.PRIMARY and not pool.held,
    )
    if work is None:
        return False
    _run(node, work, connection, health, out)
    return True


def _take_pinned(pool: Pool, server: str) -> Work | None:
    for index, work in enumerate(pool.pinned):
        if work.server == server:
            return pool.pinned.pop(index)
    return None


def _reserve_slots(node: NodeState, server: BackendServer) -> int:
    """Keep a slot for open transactions, which hold locks that others wait for."""
    if server.slots < 2:
        return 0
    for transaction in node.pools.transactions.values():
        if transaction.server == server.name:
            return 1
    return 0


def _redirect_unservable(node: NodeState, pool: Pool, out: Effects) -> None:
    """Send reads away that no server of a region without the primary can serve."""
    primary = find_term_record(node, pool.database).primary
    for server in list_servers(node, pool):
        if server.name == primary:
            return
    if len(pool.queue) > SMALL_QUEUE and node.now < pool.redirects_at:
        return
    pool.redirects_at = node.now + REDIRECT_INTERVAL * len(pool.queue)
    servable: dict[tuple, bool] = {}
    for work in pool.queue:
        if not work.needs_primary and node.now - work.arrived < REDIRECT_AFTER:
            continue
        request = work.request
        key = (work.needs_primary, request.need, request.max_age_ms)
        if key not in servable:
            servable[key] = find_replica(node, pool, work) is not None
        if servable[key]:
            continue
        pool.queue.remove(work)
        redirect(node, work, "no_server_covers_read", out)


def _run(
    node: NodeState,
    work: Work,
    connection: connections.Connection,
    health: ServerHealth,
    out: Effects,
) -> None:
    request = work.request
    work.attempts += 1
    work.server = health.server.name
    work.connection = connection.number
    work.started = node.now
    work.term = health.status.term if health.status else 0
    out.append(Observe(metric="queue_seconds", value=node.now - work.arrived))
    connections.occupy(node, connection, work.id, long=work.long)
    if request.opens_transaction:
        _begin(node, work, connection, out)
        return
    run_statement(node, work, out)


def _begin(
    node: NodeState, work: Work, connection: connections.Connection, out: Effects
) -> None:
    identity = work.request.transaction
    connection.transaction = identity
    node.pools.transactions[identity] = Transaction(
        id=identity,
        connection=connection.number,
        server=work.server,
        origin=work.origin,
        database=work.request.database,
        region=work.region,
        used=node.now,
    )
    node.pools.begun.add(work.id)
    out.append(
        RunStatement(
            connection=connection.number,
            request=work.id,
            sql="START TRANSACTION",
            autocommit=False,
        )
    )


def run_statement(node: NodeState, work: Work, out: Effects) -> None:
    """Put a work's own statement on its connection."""
    request = work.request
    in_transaction = request.transaction is not None
    ends_write = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and not in_transaction
    )
    out.append(
        RunStatement(
            connection=work.connection,
            request=work.id,
            sql=request.sql,
            key=request.marks.key,
            autocommit=not in_transaction,
            want_position=ends_write,
        )
    )


def find_pool(node: NodeState, database: str, region: str) -> Pool | None:
    """Return a pool this VM has, owned or not."""
    return node.pools.pools.get((database, region))


def drain_database(node: NodeState, database: str, out: Effects) -> None:
    """Drain all pools of a database."""
    for (name, _), pool in list(node.pools.pools.items()):
        if name == database:
            drain(node, pool, out)


def requeue(node: NodeState, work: Work, out: Effects, *, cause: str) -> bool:
    """Put a work that may safely run again back into its queue.

    Returns:
        False if it has used up its attempts or its time, or this VM its retry
        budget; the work is unchanged then.
    """
    pool = find_pool(node, work.request.database, work.region)
    if pool is None or work.attempts >= MAX_ATTEMPTS or node.now >= work.deadline:
        return False
    if not spend_retry(node):
        return False
    record(
        out,
        "request_retried",
        cause=cause,
        database=work.request.database,
        server=work.server,
        request=work.id,
    )
    out.append(Observe(metric="retries_total", label=cause))
    work.server = ""
    work.connection = 0
    work.answered = None
    work.outcome = None
    if not pool.owned:
        redirect(node, work, cause, out)
        return True
    classify(node, work)
    pool.queue.push(work)
    return True


def measure_shape(sql: str) -> int:
    """Return the hash of a statement without its literals."""
    return shape(sql)


def primary_is_known(node: NodeState, database: str) -> bool:
    """Return whether a database has a primary that leads and answers."""
    health = find_primary(node, database)
    return health is not None and is_reachable(node, health)
