"""Pools: the jobs, transactions and queues of the databases owned by this VM.

A pool serves one database in one region. It dispatches waiting jobs to the
region's backend servers within their slots. `_confirmation` decides when the
answer of a server may be sent to the caller.
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
from ._queue import Job
from ._retries import record_request, spend_retry
from ._state import Effects, NodeState, record
from ._stragglers import allows_long, classify, reclassify_running
from ._timers import TimerAction

MAX_ATTEMPTS = 3
"""Attempts to run one request: the first one and two retries."""
REDIRECT_DELAY = 0.05
"""Seconds that a read waits in a region none of whose servers can serve it before
it is redirected."""
REDIRECT_INTERVAL = 25e-6
"""Seconds, for each waiting job, between two searches of a long queue for reads to
redirect. A search costs about 2 us a job, so searches take a tenth of a core at
most."""
SMALL_QUEUE_LENGTH = 100
"""Waiting jobs up to which the queue is searched at each event."""


@dataclass(slots=True, frozen=True)
class JobDeadline(TimerAction):
    """Deadline of a job."""

    request: RequestId


def submit(
    node: NodeState, pool: Pool, request: Request, origin: str, out: Effects
) -> None:
    """Queue a request in a pool, or refuse it at once if it can't be served.

    A request whose job this VM already has is ignored: it was sent twice. A request in
    an open transaction waits for that transaction's connection.
    """
    if request.id in node.pools.jobs:
        return
    job = Job(
        request=request,
        origin=origin,
        region=pool.region,
        arrived=node.now,
        deadline=node.now + request.budget_ms / 1000,
        shape=compute_shape(request.sql),
    )
    node.pools.jobs[request.id] = job
    if origin != node.identity.name:
        record_request(node)
    if request.transaction is not None and not request.opens_transaction:
        node.timers.schedule(job.deadline, JobDeadline(request.id))
        _submit_pinned(node, pool, job, out)
        return
    if refuse_if_position_lost(node, job, out):
        return
    classify(node, job)
    if not admits(node, pool, job):
        refuse(node, job, NotRunReason.OVERLOAD, out)
        return
    node.timers.schedule(job.deadline, JobDeadline(request.id))
    pool.queue.push(job)
    dispatch(node, pool, out)


def refuse_if_position_lost(node: NodeState, job: Job, out: Effects) -> bool:
    """Refuse a job if a promotion discarded a write that its session must see.

    The answer carries the position up to which the session's writes survived.
    The session continues from there, so it is refused only once.

    Returns:
        Whether the job was refused.
    """
    need = job.request.need
    starts = find_term_record(node, job.request.database).starts
    if need is None or not is_lost(starts, need):
        return False
    kept = min(start.offset for start in starts if start.term > need.term)
    refuse(
        node,
        job,
        NotRunReason.POSITION_LOST,
        out,
        position=Position(need.term, kept),
    )
    return True


def _submit_pinned(node: NodeState, pool: Pool, job: Job, out: Effects) -> None:
    """Queue a statement of an open transaction, or refuse it if that has ended."""
    transaction = node.pools.transactions.get(job.request.transaction)
    if transaction is None:
        refuse(node, job, NotRunReason.TRANSACTION_LOST, out)
        return
    transaction.used = node.now
    job.server = transaction.server
    job.connection = transaction.connection
    pool.pinned.append(job)
    dispatch(node, pool, out)


def answer(
    node: NodeState,
    job: Job,
    outcome: Outcome,
    out: Effects,
    *,
    position: Position | None = None,
) -> None:
    """Send a job's outcome to its entry VM and remove the job."""
    node.pools.jobs.pop(job.id, None)
    node.pools.beginning.discard(job.id)
    record = find_term_record(node, job.request.database)
    message = Answer(
        request=job.id,
        outcome=outcome,
        position=position,
        server=job.server,
        replica=bool(job.server) and job.server != record.primary,
    )
    out.append(Observe(metric="request_seconds", value=node.now - job.arrived))
    out.append(SendPeer(vm=job.origin, message=message))


def refuse(
    node: NodeState,
    job: Job,
    reason: NotRunReason,
    out: Effects,
    detail: str = "",
    *,
    position: Position | None = None,
) -> None:
    """Answer a job as not run, or as unknown if an earlier attempt may have run.

    The job must not be on a connection.

    Args:
        position: with `POSITION_LOST`, the position up to which the session's
            writes survived.
    """
    if job.may_have_run and job.request.kind is not StatementKind.READ:
        answer_unknown(node, job, UnknownReason.CONNECTION_LOST, out)
        return
    record(
        out,
        "request_refused",
        cause=reason.value,
        database=job.request.database,
        request=job.id,
        detail=(("waited_ms", round((node.now - job.arrived) * 1000)),),
    )
    out.append(Observe(metric="refused_total", label=reason.value))
    answer(node, job, NotRun(reason=reason, detail=detail), out, position=position)


def answer_unknown(
    node: NodeState, job: Job, reason: UnknownReason, out: Effects
) -> None:
    """Answer a job whose outcome can't be determined as unknown."""
    record(
        out,
        "request_unknown",
        cause=reason.value,
        database=job.request.database,
        server=job.server,
        request=job.id,
    )
    out.append(Observe(metric="unknown_total", label=reason.value))
    answer(node, job, Unknown(reason=reason), out)


def redirect(node: NodeState, job: Job, reason: str, out: Effects) -> None:
    """Return a job to its entry VM, which sends the request elsewhere."""
    node.pools.jobs.pop(job.id, None)
    message = Redirect(request=job.id, reason=reason, may_have_run=job.may_have_run)
    out.append(SendPeer(vm=job.origin, message=message))


def dispatch(node: NodeState, pool: Pool, out: Effects) -> None:
    """Start waiting jobs on the pool's servers as far as their slots allow.

    Jobs that no server of the region can serve may be redirected.
    """
    for health in order_servers(node, pool):
        while _dispatch_next(node, pool, health, out):
            continue
    _redirect_unservable(node, pool, out)


def _dispatch_next(
    node: NodeState, pool: Pool, health: ServerHealth, out: Effects
) -> bool:
    """Start one job on a server; return whether another one may follow.

    Statements of open transactions come first. If no connection is idle for the other
    jobs, connections are opened.
    """
    server = health.server
    known = connections.get_server_connections(node, server.name)
    if known.running >= server.slots:
        return False
    pinned = _pop_pinned(pool, server.name)
    if pinned is not None:
        connection = node.connections.connections[pinned.connection]
        _start_job(node, pinned, connection, health, out)
        return True
    if not len(pool.queue) or not is_fit(node, health):
        return False
    if known.running >= server.slots - _count_reserved_slots(node, server):
        return False
    connection = connections.find_idle(node, server.name)
    if connection is None:
        wanted = min(len(pool.queue), server.slots)
        connections.open_connections(node, server, pool.database, wanted, out)
        return False
    reclassify_running(node, server.name)
    job = pool.queue.take(
        lambda item: accepts(node, pool, health, item),
        node.now,
        allow_long=allows_long(node, pool, health, list_servers(node, pool)),
        allow_primary=health.status.role is Role.PRIMARY and not pool.primary_paused,
    )
    if job is None:
        return False
    _start_job(node, job, connection, health, out)
    return True


def _pop_pinned(pool: Pool, server: str) -> Job | None:
    """Remove and return the first pinned job for a server, None without one."""
    for index, job in enumerate(pool.pinned):
        if job.server == server:
            return pool.pinned.pop(index)
    return None


def _count_reserved_slots(node: NodeState, server: BackendServer) -> int:
    """Return the number of slots to keep free for open transactions of a server.

    An open transaction may hold locks that other statements wait for, so its next
    statement must not wait for a slot.
    """
    if server.slots < 2:
        return 0
    for transaction in node.pools.transactions.values():
        if transaction.server == server.name:
            return 1
    return 0


def _redirect_unservable(node: NodeState, pool: Pool, out: Effects) -> None:
    """Redirect jobs that no server of the pool's region can serve.

    A pool whose region has the primary keeps its jobs, and reads wait for
    `REDIRECT_DELAY` first. A job that needs the primary is also kept while a replica of
    the region has its required position. A long queue is not searched at each call.
    """
    primary = find_term_record(node, pool.database).primary
    for server in list_servers(node, pool):
        if server.name == primary:
            return
    if len(pool.queue) > SMALL_QUEUE_LENGTH and node.now < pool.next_search_at:
        return
    pool.next_search_at = node.now + REDIRECT_INTERVAL * len(pool.queue)
    servable: dict[tuple, bool] = {}
    for job in pool.queue:
        if not job.needs_primary and node.now - job.arrived < REDIRECT_DELAY:
            continue
        request = job.request
        key = (job.needs_primary, request.need, request.max_age_ms)
        if key not in servable:
            servable[key] = find_replica(node, pool, job) is not None
        if servable[key]:
            continue
        pool.queue.remove(job)
        redirect(node, job, "no_server_covers_read", out)


def _start_job(
    node: NodeState,
    job: Job,
    connection: connections.Connection,
    health: ServerHealth,
    out: Effects,
) -> None:
    """Start a job on a connection, with START TRANSACTION if it opens a transaction."""
    request = job.request
    job.attempts += 1
    job.server = health.server.name
    job.connection = connection.number
    job.started = node.now
    job.term = health.status.term if health.status else 0
    out.append(Observe(metric="queue_seconds", value=node.now - job.arrived))
    connections.acquire(node, connection, job.id, long=job.long)
    if request.opens_transaction:
        _begin_transaction(node, job, connection, out)
        return
    run_statement(node, job, out)


def _begin_transaction(
    node: NodeState, job: Job, connection: connections.Connection, out: Effects
) -> None:
    """Pin a connection to a transaction and open it on the server.

    The job's own statement runs when the server has answered.
    """
    identity = job.request.transaction
    connection.transaction = identity
    node.pools.transactions[identity] = Transaction(
        id=identity,
        connection=connection.number,
        server=job.server,
        origin=job.origin,
        database=job.request.database,
        region=job.region,
        used=node.now,
    )
    node.pools.beginning.add(job.id)
    out.append(
        RunStatement(
            connection=connection.number,
            request=job.id,
            sql="START TRANSACTION",
            autocommit=False,
        )
    )


def run_statement(node: NodeState, job: Job, out: Effects) -> None:
    """Run a job's own statement on its connection."""
    request = job.request
    in_transaction = request.transaction is not None
    ends_write = request.kind is StatementKind.COMMIT or (
        request.kind is StatementKind.WRITE and not in_transaction
    )
    out.append(
        RunStatement(
            connection=job.connection,
            request=job.id,
            sql=request.sql,
            key=request.marks.key,
            autocommit=not in_transaction,
            want_position=ends_write,
        )
    )


def find_pool(node: NodeState, database: str, region: str) -> Pool | None:
    """Return a pool that this VM owns or still serves, None without one."""
    return node.pools.pools.get((database, region))


def dispatch_database(node: NodeState, database: str, out: Effects) -> None:
    """Dispatch the waiting jobs of all pools of a database."""
    for (name, _), pool in list(node.pools.pools.items()):
        if name == database:
            dispatch(node, pool, out)


def requeue(node: NodeState, job: Job, out: Effects, *, cause: str) -> bool:
    """Put a job that is safe to run again back into its queue.

    If this VM no longer owns the pool, the job is redirected instead.

    Returns:
        False if the job's attempts or time or this VM's retry budget are used
        up, or its pool was removed; the job is unchanged then.
    """
    pool = find_pool(node, job.request.database, job.region)
    if pool is None or job.attempts >= MAX_ATTEMPTS or node.now >= job.deadline:
        return False
    if not spend_retry(node):
        return False
    record(
        out,
        "request_retried",
        cause=cause,
        database=job.request.database,
        server=job.server,
        request=job.id,
    )
    out.append(Observe(metric="retries_total", label=cause))
    job.server = ""
    job.connection = 0
    job.answered = None
    job.outcome = None
    if not pool.owned:
        redirect(node, job, cause, out)
        return True
    classify(node, job)
    pool.queue.push(job)
    return True


def compute_shape(sql: str) -> int:
    """Return the hash of a statement without its literals."""
    return shape(sql)


def is_primary_known(node: NodeState, database: str) -> bool:
    """Return whether a database has a known primary that is reachable."""
    health = find_primary(node, database)
    return health is not None and is_reachable(node, health)
