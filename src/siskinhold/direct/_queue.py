"""Order of waiting statements, and refusal of those that can't be served.

Answers the load of the heaviest days, when more arrives than the servers run, and
the minutes without a primary. A statement that can't be served within its time is
refused at once, as not run, so that its caller may try elsewhere while there is
time. The most urgent route goes first and within it the earliest deadline.
"""

from ._connections import compute_connection_limit
from ._evidence import can_prove
from ._placement import accepts_leader_jobs, find_required_position
from ._state import Database, DirectState, Job

EXPECTED_DETECTION_TIME = 0.9
"""Seconds from the loss of a primary until its promotion is ordered, as a rule."""

EXPECTED_PROMOTION_TIME = 0.8
"""Seconds from the order until a promotion has taken effect, as a rule."""

OVERDUE_LEADER_TIMEOUT = 1.5
"""Seconds overdue after which no primary is expected soon: it can't be arranged."""

SERVICE_TIME_MARGIN = 1.5
"""Multiple of the usual time of a statement that must be left for it to begin."""

MIN_SERVICE_TIME = 0.001
"""Seconds that a statement takes at least, as far as estimates go."""

MAX_BURST_DURATION = 1.0
"""Seconds for which a queue may stand until it counts as more than a crest."""

OVERDUE_LEADER_DELAY = 0.5
"""Seconds that a primary is still waited for when the usual time is over."""


NO_PROOF = "no_proof"
"""Reason to refuse what needs a primary that can't be proved to lead."""


def order_queue(queue: list[Job]) -> list[Job]:
    """Return waiting statements in the order in which they are placed."""
    return sorted(queue, key=_sort_key)


def _sort_key(job: Job) -> tuple[int, float]:
    return (job.route.priority, job.deadline)


def list_unservable(state: DirectState, database: Database) -> list[tuple[Job, str]]:
    """Return waiting statements that can't be served in time, with the reason."""
    found = []
    leader_at = estimate_leader_time(state, database)
    provable = can_prove(state, database)
    waits: dict[bool, float] = {}
    for job in order_queue(database.queue):
        if job.leader_only and leader_at > job.deadline:
            found.append((job, "no_primary"))
            continue
        if leader_at > state.now:
            continue
        if not provable and (
            job.leader_only or find_required_position(database, job) is None
        ):
            found.append((job, NO_PROOF))
            continue
        start_interval, service_time = _estimate_service(
            state, database, job.leader_only
        )
        wait = waits.get(job.leader_only, 0.0)
        if state.now + wait + SERVICE_TIME_MARGIN * service_time > _find_latest_end(
            state, database, job
        ):
            found.append((job, "queue_full"))
            continue
        waits[job.leader_only] = wait + start_interval
    return found


def _find_latest_end(state: DirectState, database: Database, job: Job) -> float:
    """Return when a statement must have ended.

    A short crest is served late rather than not at all. When the queue stands for
    longer, statements that would be late give way to those that would not.
    """
    if state.now - database.queued_since < MAX_BURST_DURATION:
        return job.deadline
    return min(job.deadline, job.arrived_at + job.route.target)


def _estimate_service(
    state: DirectState, database: Database, leader_only: bool
) -> tuple[float, float]:
    """Return the time between two starts and the time of a statement, in seconds."""
    times = []
    rate = 0.0
    for server in state.members(database.name):
        if leader_only:
            if server is not state.leader_of(database):
                continue
        elif not server.usable or server.down_at is not None:
            continue
        connections = max(1, compute_connection_limit(state, server) - 1)
        time = max(server.estimate_service_time(state.now), MIN_SERVICE_TIME)
        times.append(time)
        rate += connections / time
    if not times:
        return 0.0, 0.0
    return 1.0 / rate, min(times)


def estimate_leader_time(state: DirectState, database: Database) -> float:
    """Return when the primary will take statements, as far as can be told."""
    leader = state.leader_of(database)
    if accepts_leader_jobs(state, leader) and leader.down_at is None:
        return state.now
    if leader is None:
        return _adjust_expected_time(state, database.leader_expected_at)
    since = state.now
    for moment in (leader.down_at, leader.draining_at, leader.gone_at):
        if moment is not None:
            since = min(since, moment)
    return _adjust_expected_time(
        state, since + EXPECTED_DETECTION_TIME + EXPECTED_PROMOTION_TIME
    )


def _adjust_expected_time(state: DirectState, expected: float) -> float:
    """Return the expected time of the next primary, later if it is overdue."""
    if state.now - expected >= OVERDUE_LEADER_TIMEOUT:
        return state.now + OVERDUE_LEADER_TIMEOUT
    return max(expected, state.now + OVERDUE_LEADER_DELAY)
