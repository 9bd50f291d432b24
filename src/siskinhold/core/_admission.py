"""Admission: work that can't be served in time is refused at once."""

from ..model import Role
from ._connections import server_connections
from ._health import is_fit
from ._pool_state import Pool
from ._queue import Work, rank
from ._state import NodeState
from ._stragglers import estimate_short

MAX_WAITING = 10_000
"""Works that may wait in a pool; marked writes may be twice as many."""
MAX_READ_WAIT = 0.4
"""Longest expected wait of a short read in seconds. What waits when a crest ends
must be served beside the usual load before latencies are normal again."""
FIRST_READ_CLASS = 2
"""Priority classes from this one on hold reads."""
BUDGET_SHARE = 0.9
"""Share of the time left that wait and service may be expected to take."""


def admits(node: NodeState, pool: Pool, work: Work) -> bool:
    """Return whether a work may wait in the queue.

    Works are let in while no fit server is known, as during a failover: the
    service rate is not known then, and only the queue's bound counts.
    """
    if not node.scheduling.rules.admit:
        return True
    waiting = len(pool.queue)
    if waiting >= MAX_WAITING and (rank(work) or waiting >= 2 * MAX_WAITING):
        return False
    ahead = pool.queue.count_ahead(work)
    if not ahead:
        return True
    wait = _estimate_wait(node, pool, work, ahead)
    if not work.long and rank(work) >= FIRST_READ_CLASS and wait > MAX_READ_WAIT:
        return False
    return wait + work.expected <= BUDGET_SHARE * (work.deadline - node.now)


def is_too_late(node: NodeState, work: Work) -> bool:
    """Return whether a waiting work would probably end after its deadline."""
    if not node.scheduling.rules.admit:
        return False
    return node.now + work.expected > work.deadline


def _estimate_wait(node: NodeState, pool: Pool, work: Work, ahead: int) -> float:
    slots = _count_slots(node, pool, work)
    if not slots:
        return 0.0
    seconds = work.expected if work.long else _measure_mean(node, pool, work)
    return ahead * seconds / slots


def _measure_mean(node: NodeState, pool: Pool, work: Work) -> float:
    """Return the mean slot time of short work in seconds."""
    demand = pool.demand[work.needs_primary]
    return demand.seconds / demand.count if demand.count else estimate_short(node)


def _count_slots(node: NodeState, pool: Pool, work: Work) -> int:
    """Count the slots that may serve a work; 0 if no fit server is known.

    Replicas serve reads; the primary serves them too if there is no replica.
    """
    replicas = primary = 0
    for server, health in node.health.servers.items():
        if health.database != pool.database or health.server.region != pool.region:
            continue
        if not is_fit(node, health):
            continue
        known = server_connections(node, server)
        # Long work leaves its slots to nobody for a while.
        slots = 1 if work.long else max(1, health.server.slots - known.running_long)
        if health.status.role is Role.PRIMARY:
            primary += slots
        else:
            replicas += slots
    if work.needs_primary:
        return primary
    return replicas or primary
