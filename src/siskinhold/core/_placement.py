"""Placement: which servers of a pool may run a job."""

from ..model import BackendServer, Role, covers
from . import _connections as connections
from ._admission import is_too_late
from ._health import find_term_record, is_fit, measure_age
from ._health_state import ServerHealth
from ._pool_state import Pool
from ._queue import Job
from ._state import NodeState

PRIMARY_HELP_DELAY = 0.02
"""Seconds that a read which a replica could serve waits before the primary may
serve it."""


def list_servers(node: NodeState, pool: Pool) -> list[BackendServer]:
    """Return the backend servers of a pool: those of its database and region."""
    found = node.config.databases.get(pool.database)
    if found is None:
        return []
    return [server for server in found[1].servers if server.region == pool.region]


def order_servers(node: NodeState, pool: Pool) -> list[ServerHealth]:
    """Return the pool's servers, the primary last: it serves reads left by replicas."""
    primary = find_term_record(node, pool.database).primary
    ordered = []
    last = []
    for server in list_servers(node, pool):
        health = node.health.servers.get(server.name)
        if health is not None:
            (last if server.name == primary else ordered).append(health)
    return ordered + last


def accepts(node: NodeState, pool: Pool, health: ServerHealth, job: Job) -> bool:
    """Return whether a server may run a waiting job now.

    The primary runs a read that a replica could serve only while two of its slots are
    free, and after `PRIMARY_HELP_DELAY` unless long jobs hold slots of replicas.
    """
    if is_too_late(node, job):
        return False
    is_primary = health.status.role is Role.PRIMARY
    if job.needs_primary:
        if not is_primary or pool.primary_paused:
            return False
        return job.request.need is None or can_read(node, health, job)
    if not can_read(node, health, job):
        return False
    if not is_primary:
        return True
    if not find_replica(node, pool, job):
        return True
    known = connections.get_server_connections(node, health.server.name)
    if known.running > health.server.slots - 2:
        return False
    waited = node.now - job.arrived
    return waited > PRIMARY_HELP_DELAY or _replicas_run_long(node, pool, health)


def _replicas_run_long(node: NodeState, pool: Pool, primary: ServerHealth) -> bool:
    """Return whether long jobs hold slots of replicas.

    The primary then serves reads without delay.
    """
    for server in list_servers(node, pool):
        known = connections.get_server_connections(node, server.name)
        if server.name != primary.server.name and known.running_long:
            return True
    return False


def can_read(node: NodeState, health: ServerHealth, job: Job) -> bool:
    """Return whether a server's data is recent enough for a job.

    It must cover the required position. Jobs that need the primary have no other
    condition; for reads, the age is limited, and replicas must be allowed.
    """
    request = job.request
    starts = find_term_record(node, request.database).starts
    if request.need is not None:
        if not covers(starts, health.status.position, request.need):
            return False
    if job.needs_primary:
        return True
    if health.status.role is not Role.PRIMARY and not allows_replicas(node, job):
        return False
    age = measure_age(node, health)
    return age is not None and age * 1000 <= request.max_age_ms


def allows_replicas(node: NodeState, job: Job) -> bool:
    """Return whether the routing rules allow replicas to serve the job."""
    found = node.config.databases.get(job.request.database)
    return found is not None and found[0].rules.replica_reads


def find_replica(node: NodeState, pool: Pool, job: Job) -> ServerHealth | None:
    """Return a fit replica of the pool that could serve a read, free slot or not."""
    for server in list_servers(node, pool):
        health = node.health.servers.get(server.name)
        if health is None or not is_fit(node, health):
            continue
        if health.status.role is Role.PRIMARY:
            continue
        if can_read(node, health, job):
            return health
    return None
