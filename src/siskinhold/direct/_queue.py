"""Order of waiting statements, and choice of those to refuse as not servable.

It matters under overload and while there is no primary. A statement that can't be
served before its deadline is refused at once as not run, so that its caller has time to
retry elsewhere. Jobs are ordered by priority of the route, then by deadline.
"""

from ._connections import compute_connection_limit
from ._evidence import STORE_UNAVAILABLE_PERIOD, can_prove
from ._lag import estimate_catch_up
from ._placement import accepts_leader_jobs, find_required_position
from ._server_state import Server
from ._state import Database, DirectState, Job

EXPECTED_DETECTION_TIME = 0.9
"""Usual number of seconds from the loss of a primary to the promotion order."""

EXPECTED_PROMOTION_TIME = 0.8
"""Usual number of seconds from the promotion order until it takes effect."""

OVERDUE_LEADER_TIMEOUT = 1.5
"""Seconds by which a primary may be overdue; it is then expected no sooner than that
time from now, as the VMs probably can't get one promoted."""

SERVICE_TIME_MARGIN = 1.5
"""Multiple of the service time that must remain before the deadline at the start."""

MIN_SERVICE_TIME = 0.001
"""Lower bound of the estimated service time, in seconds."""

MAX_BURST_DURATION = 1.0
"""Seconds for which a queue counts as caused by a short burst."""

OVERDUE_LEADER_DELAY = 0.5
"""Lower limit of the seconds until a missing primary is expected."""


NO_PROOF = "no_proof"
"""Refusal reason of statements whose primary can't be proved to lead."""

QUEUE_FULL = "queue_full"
"""Refusal reason of statements that would wait too long for a server."""


def order_queue(queue: list[Job]) -> list[Job]:
    """Return waiting jobs in the order in which they are placed."""
    return sorted(queue, key=_sort_key)


def _sort_key(job: Job) -> tuple[int, float]:
    """Return the key that sorts jobs by priority, then by deadline."""
    return (job.route.priority, job.deadline)


def list_unservable(
    state: DirectState, database: Database
) -> list[tuple[Job, str, float]]:
    """Return the waiting jobs that can't be served in time.

    These are jobs for the primary that it can't run before their deadline, jobs that
    need a proof which seems impossible, and jobs that would wait too long in the queue.

    Returns:
        each job with the reason, and the seconds after which a retry may succeed.
    """
    found = []
    leader_at = estimate_leader_time(state, database)
    provable = can_prove(state, database)
    waits: dict[tuple[str, ...], float] = {}
    for job in order_queue(database.queue):
        if job.leader_only and leader_at > job.deadline:
            found.append((job, "no_primary", leader_at - state.now))
            continue
        if leader_at > state.now:
            continue
        if not provable and (
            job.leader_only or find_required_position(database, job) is None
        ):
            found.append((job, NO_PROOF, STORE_UNAVAILABLE_PERIOD))
            continue
        latest_end = _find_latest_end(state, database, job)
        servers = _list_servers_in_time(state, database, job, latest_end)
        start_interval, service_time = _estimate_service(state, servers)
        # Jobs that the same servers have to run wait for each other.
        key = tuple(server.entry.server for server in servers)
        wait = waits.get(key, 0.0)
        if state.now + wait + SERVICE_TIME_MARGIN * service_time > latest_end:
            found.append((job, QUEUE_FULL, wait))
            continue
        waits[key] = wait + start_interval
    return found


def _find_latest_end(state: DirectState, database: Database, job: Job) -> float:
    """Return the latest acceptable end of a statement.

    During a short burst that is its deadline: late answers are better than refusals.
    Once the queue persists, it is also limited by the target latency, so that
    statements that would be late don't delay the others.
    """
    if state.now - database.queued_since < MAX_BURST_DURATION:
        return job.deadline
    return min(job.deadline, job.arrived_at + job.route.target)


def _list_servers_in_time(
    state: DirectState, database: Database, job: Job, latest_end: float
) -> list[Server]:
    """Return the servers that a job may wait for.

    A replica that lags counts if it will probably have applied what a read needs by
    `latest_end`.
    """
    if job.leader_only:
        leader = state.leader_of(database)
        return [leader] if leader is not None else []
    after = find_required_position(database, job)
    found = []
    for server in state.members(database.name):
        if not server.usable or server.down_at is not None:
            continue
        catch_up = estimate_catch_up(state, database, server, after)
        if state.now + catch_up <= latest_end:
            found.append(server)
    return found


def _estimate_service(state: DirectState, servers: list[Server]) -> tuple[float, float]:
    """Return the interval between two starts, and the service time, in seconds.

    Both are estimated for the servers together, and are 0 without one.
    """
    times = []
    rate = 0.0
    for server in servers:
        connections = max(1, compute_connection_limit(state, server) - 1)
        time = max(server.estimate_service_time(state.now), MIN_SERVICE_TIME)
        times.append(time)
        rate += connections / time
    if not times:
        return 0.0, 0.0
    return 1.0 / rate, min(times)


def estimate_leader_time(state: DirectState, database: Database) -> float:
    """Return when a primary is expected to accept statements; now if one does."""
    leader = state.leader_of(database)
    if accepts_leader_jobs(state, leader) and leader.down_at is None:
        if state.now >= leader.failing_until:
            return state.now
    if leader is None:
        return _adjust_expected_time(state, database.leader_expected_at)
    since = state.now
    failing_since = leader.failing_since if state.now < leader.failing_until else None
    moments = (leader.down_at, leader.draining_at, leader.gone_at, failing_since)
    for moment in moments:
        if moment is not None:
            since = min(since, moment)
    return _adjust_expected_time(
        state, since + EXPECTED_DETECTION_TIME + EXPECTED_PROMOTION_TIME
    )


def _adjust_expected_time(state: DirectState, expected: float) -> float:
    """Return `expected`, the time of the next primary, postponed if it is overdue."""
    if state.now - expected >= OVERDUE_LEADER_TIMEOUT:
        return state.now + OVERDUE_LEADER_TIMEOUT
    return max(expected, state.now + OVERDUE_LEADER_DELAY)
