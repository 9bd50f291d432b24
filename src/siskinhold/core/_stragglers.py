"""Long jobs: their classification by service time and the limit on their slots.

The shape of a statement is its text without literals. Its average service time
classifies its jobs as long or short.
"""

import math

from ..model import BackendServer, Role
from . import _connections as connections
from ._connection_state import ConnectionState
from ._health import is_fit
from ._health_state import ServerHealth
from ._pool_state import Pool
from ._queue import Job
from ._scheduling_state import SchedulingState, ShapeTime
from ._state import NodeState

MAX_SHAPES = 2_048
"""Statement shapes whose service times are kept; the least recently used one is
evicted first."""
INITIAL_SHORT_SECONDS = 0.005
"""Assumed service time of short jobs in seconds until some were measured."""
SHAPE_WEIGHT = 0.1
"""Weight of the newest service time in a shape's average."""
SHORT_WEIGHT = 0.01
"""Weight of the newest service time in the average of short jobs."""
LONG_FACTOR = 10
"""Multiple of the average service time of short jobs above which a job is long."""
MIN_LONG_SECONDS = 0.03
"""Jobs that take fewer seconds than this don't delay others noticeably and are
never long."""
DEMAND_TIME_CONSTANT = 2.0
"""Time constant in seconds with which the measured demand of short jobs decays."""
SHORT_SLOT_FACTOR = 1.75
"""Slots kept for short jobs, as a multiple of those that they keep busy."""


def estimate_service_time(node: NodeState, shape: int) -> float:
    """Return the expected service time of a shape in seconds.

    It is the geometric mean, so that single stragglers among many short
    statements of a shape don't make the shape long.
    """
    scheduling = node.scheduling
    known = scheduling.shapes.get(shape)
    if known is None or not scheduling.rules.learn_shapes:
        return estimate_short_service_time(node)
    return math.exp(known.log_mean)


def estimate_short_service_time(node: NodeState) -> float:
    """Return the expected service time of short jobs in seconds."""
    return INITIAL_SHORT_SECONDS * math.exp(node.scheduling.short_log_mean)


def compute_long_threshold(node: NodeState) -> float:
    """Return the service time in seconds above which a job counts as long."""
    return max(MIN_LONG_SECONDS, LONG_FACTOR * estimate_short_service_time(node))


def classify(node: NodeState, job: Job) -> None:
    """Set a waiting job's expected service time and whether it is long."""
    job.expected = estimate_service_time(node, job.shape)
    job.long = job.expected > compute_long_threshold(node)


def record_service_time(node: NodeState, pool: Pool, job: Job, seconds: float) -> None:
    """Add a measured service time to the average of its shape.

    If it is short, it also counts for the average of short jobs and for the pool's
    demand.
    """
    scheduling = node.scheduling
    log = math.log(max(seconds, 1e-5))
    _record_shape(scheduling, job.shape, log, estimate_short_service_time(node))
    if seconds > compute_long_threshold(node):
        return
    change = log - math.log(INITIAL_SHORT_SECONDS) - scheduling.short_log_mean
    scheduling.short_log_mean += SHORT_WEIGHT * change
    _record_demand(node, pool, job, seconds)


def _record_shape(
    scheduling: SchedulingState, shape: int, log: float, short: float
) -> None:
    """Add a service time to a shape's average.

    Args:
        log: logarithm of the service time in seconds.
        short: seconds from which the average of a new shape starts.
    """
    known = scheduling.shapes.get(shape)
    if known is None:
        known = scheduling.shapes[shape] = ShapeTime(log_mean=math.log(short))
        if len(scheduling.shapes) > MAX_SHAPES:
            scheduling.shapes.popitem(last=False)
    scheduling.shapes.move_to_end(shape)
    known.count += 1
    # The first service times have more weight, so that a long shape is
    # identified after few statements.
    weight = max(SHAPE_WEIGHT, 1 / (known.count + 1))
    known.log_mean += weight * (log - known.log_mean)


def _record_demand(node: NodeState, pool: Pool, job: Job, seconds: float) -> None:
    """Add slot time to the demand, which decays with `DEMAND_TIME_CONSTANT`."""
    demand = pool.demand[job.needs_primary]
    decay = math.exp((demand.at - node.now) / DEMAND_TIME_CONSTANT)
    demand.seconds = demand.seconds * decay + seconds
    demand.count = demand.count * decay + 1
    demand.at = node.now


def estimate_busy_slots(node: NodeState, pool: Pool, primary: bool) -> float:
    """Return how many slots short jobs keep busy on average.

    Args:
        primary: whether to count jobs that need the primary instead of others.
    """
    demand = pool.demand[primary]
    decay = math.exp((demand.at - node.now) / DEMAND_TIME_CONSTANT)
    return demand.seconds * decay / DEMAND_TIME_CONSTANT


def compute_long_slot_limit(slots: int) -> int:
    """Return how many of a server's slots long jobs may hold.

    >>> [compute_long_slot_limit(slots) for slots in (1, 2, 5)]
    [1, 1, 3]
    """
    return max(1, slots * 3 // 5)


def allows_long(
    node: NodeState, pool: Pool, health: ServerHealth, servers: list[BackendServer]
) -> bool:
    """Return whether a server may start another long job.

    One long job may run in a pool even without spare slots, so that long jobs
    don't starve.

    Args:
        servers: the servers of the pool.
    """
    if not node.scheduling.rules.reserve_slots:
        return True
    known = connections.get_server_connections(node, health.server.name)
    if known.running_long >= compute_long_slot_limit(health.server.slots):
        return False
    leads = health.status.role is Role.PRIMARY
    spare, running = _count_long_slots(node, pool, leads, servers)
    if spare >= 1:
        return running < spare
    other_spare, other_running = _count_long_slots(node, pool, not leads, servers)
    return other_spare < 1 and not running and not other_running


def _count_long_slots(
    node: NodeState, pool: Pool, primary: bool, servers: list[BackendServer]
) -> tuple[int, int]:
    """Return the number of slots that long jobs may hold, and that they hold.

    Args:
        primary: whether to count slots of the primary instead of the replicas.
    """
    slots = running = 0
    for server in servers:
        health = node.health.servers.get(server.name)
        if health is None or not is_fit(node, health):
            continue
        if (health.status.role is Role.PRIMARY) is not primary:
            continue
        slots += server.slots
        running += connections.get_server_connections(node, server.name).running_long
    return (
        int(slots - SHORT_SLOT_FACTOR * estimate_busy_slots(node, pool, primary)),
        running,
    )


def reclassify_running(node: NodeState, server: str) -> None:
    """Mark running statements that have exceeded the threshold as long jobs."""
    if not node.scheduling.rules.reserve_slots:
        return
    threshold = compute_long_threshold(node)
    for number in connections.get_server_connections(node, server).numbers:
        connection = node.connections.connections[number]
        if connection.state is not ConnectionState.BUSY or connection.long:
            continue
        if node.now - connection.since > threshold:
            connections.mark_long(node, connection)
