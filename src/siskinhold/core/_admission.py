"""Admission control: jobs that can't be served in time are refused at once."""

from ..model import Role
from ._connections import get_server_connections
from ._health import is_fit
from ._pool_state import Pool
from ._queue import Job, find_priority_class
from ._state import NodeState
from ._stragglers import estimate_short_service_time

MAX_WAITING_JOBS = 10_000
"""Jobs that may wait in a pool; marked writes are admitted up to twice as many."""
MAX_READ_WAIT = 0.4
"""Longest expected wait of a short read in seconds. Jobs that still wait when a load
peak ends have to be served beside the usual load, which delays the return to
normal latencies."""
FIRST_READ_CLASS = 2
"""First of the priority classes that hold reads only."""
BUDGET_SHARE = 0.9
"""Share of the time to the deadline that the expected wait and service may take."""


def admits(node: NodeState, pool: Pool, job: Job) -> bool:
    """Return whether a job may wait in the queue.

    The queue is bounded. A job behind others is also refused if it is a short read and
    its expected wait exceeds `MAX_READ_WAIT`, or if its wait and service would probably
    take more than `BUDGET_SHARE` of its time. While no fit server is known, as during a
    failover, the service rate is unknown too, and the wait counts as 0.
    """
    if not node.scheduling.rules.admit:
        return True
    waiting = len(pool.queue)
    if waiting >= MAX_WAITING_JOBS and (
        find_priority_class(job) or waiting >= 2 * MAX_WAITING_JOBS
    ):
        return False
    ahead = pool.queue.count_ahead(job)
    if not ahead:
        return True
    wait = _estimate_wait(node, pool, job, ahead)
    if (
        not job.long
        and find_priority_class(job) >= FIRST_READ_CLASS
        and wait > MAX_READ_WAIT
    ):
        return False
    return wait + job.expected <= BUDGET_SHARE * (job.deadline - node.now)


def is_too_late(node: NodeState, job: Job) -> bool:
    """Return whether a waiting job would probably end after its deadline."""
    if not node.scheduling.rules.admit:
        return False
    return node.now + job.expected > job.deadline


def _estimate_wait(node: NodeState, pool: Pool, job: Job, ahead: int) -> float:
    """Return the expected seconds until `ahead` jobs have started, 0 if unknown."""
    slots = _count_slots(node, pool, job)
    if not slots:
        return 0.0
    seconds = job.expected if job.long else _estimate_short_slot_time(node, pool, job)
    return ahead * seconds / slots


def _estimate_short_slot_time(node: NodeState, pool: Pool, job: Job) -> float:
    """Return the mean slot time of short jobs in seconds."""
    demand = pool.demand[job.needs_primary]
    return (
        demand.seconds / demand.count
        if demand.count
        else estimate_short_service_time(node)
    )


def _count_slots(node: NodeState, pool: Pool, job: Job) -> int:
    """Return the number of slots that may serve a job, 0 without a fit server.

    Reads count the slots of replicas, or those of the primary without a replica. A
    long job counts one slot per server.
    """
    replicas = primary = 0
    for server, health in node.health.servers.items():
        if health.database != pool.database or health.server.region != pool.region:
            continue
        if not is_fit(node, health):
            continue
        known = get_server_connections(node, server)
        # The slots of running long jobs won't become free soon.
        slots = 1 if job.long else max(1, health.server.slots - known.running_long)
        if health.status.role is Role.PRIMARY:
            primary += slots
        else:
            replicas += slots
    if job.needs_primary:
        return primary
    return replicas or primary
