"""Order of waiting statements, and choice of those to refuse as not servable.

It matters under overload and while there is no primary. A statement that can't be
served before its deadline is refused at once as not run, so that its caller has time to
retry elsewhere. Jobs are ordered by priority of the route, then by the latest end that
admitted them.
"""

from ._evidence import STORE_UNAVAILABLE_PERIOD, can_prove
from ._lag import estimate_catch_up
from ._lease import find_claim_time
from ._placement import accepts_leader_jobs, find_required_position
from ._server_state import Server
from ._state import Database, DirectState, Job
from .pools import compute_connection_limit
from .room import estimate_slowdown

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
    """Return the key that sorts jobs by priority, then by the latest expected end.

    With the deadline in its place, a statement with a long one would be overtaken by
    later arrivals until it is refused.
    """
    return (job.route.priority, job.latest_end)


def find_latest_end(state: DirectState, database: Database, job: Job) -> float:
    """Return the latest expected end with which a statement is admitted to the queue.

    During a short burst that is its deadline: late answers are better than refusals.
    Once the queue persists, it is also limited by the target latency, so that
    statements that would be late don't delay the others. Once admitted, it is refused
    only if it can't meet its deadline: its caller would have waited in vain.
    """
    if state.now - database.queued_since < MAX_BURST_DURATION:
        return job.deadline
    return min(job.deadline, job.arrived_at + job.route.target)


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
    schedule = _Schedule(state=state, database=database)
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
        servers = _list_servers_in_time(state, database, job)
        wait = schedule.place(servers, job)
        if wait is not None:
            found.append((job, QUEUE_FULL, wait))
    return found


class _Schedule:
    """Expected starts of waiting jobs, which are placed one after the other.

    Jobs of several kinds wait for each other at the servers that may run both.
    """

    def __init__(self, *, state: DirectState, database: Database) -> None:
        self._state = state
        self._starts = database.starts
        self._waits: dict[str, float] = {}

    def place(self, servers: list[Server], job: Job) -> float | None:
        """Place a job on the server that starts it first, if it can end in time.

        A job that is not admitted yet must also allow for later arrivals of a higher
        priority.

        Returns:
            None if it was placed or no server is known; otherwise the seconds after
            which a server would start it.
        """
        first = None
        soonest = 0.0
        for server in servers:
            name = server.entry.server
            if name not in self._waits:
                self._waits[name] = self._estimate_first_start(server)
            start = self._waits[name] + self._estimate_excess(server)
            if first is None or start < soonest:
                first, soonest = server, start
        if first is None:
            return None
        wait = self._waits[first.entry.server]
        latest_end = job.deadline
        if not job.admitted:
            share = self._starts.compute_share_above(job.route.priority)
            wait /= 1.0 - share
            latest_end = job.latest_end
        time = self._estimate_time(first)
        if self._state.now + wait + SERVICE_TIME_MARGIN * time > latest_end:
            return wait
        self._waits[first.entry.server] += time / self._count_connections(first)
        return None

    def _estimate_first_start(self, server: Server) -> float:
        """Return the seconds until a connection to a server is free."""
        for connection in server.connections.values():
            if connection.idle and not connection.control:
                return 0.0
        limit = compute_connection_limit(self._state, server)
        if len(server.connections) < limit:
            return 0.0
        return self._estimate_time(server) / self._count_connections(server)

    def _estimate_time(self, server: Server) -> float:
        """Return the expected seconds that a server takes for a statement."""
        return max(server.estimate_service_time(self._state.now), MIN_SERVICE_TIME)

    def _estimate_excess(self, server: Server) -> float:
        """Return the seconds that a slowed server takes beyond the usual time.

        A statement would wait that long elsewhere: a slowed server is often idle.
        """
        time = self._estimate_time(server)
        return time - time / estimate_slowdown(self._state, server)

    def _count_connections(self, server: Server) -> int:
        """Return the number of connections that run this VM's statements."""
        return max(1, compute_connection_limit(self._state, server) - 1)


def _list_servers_in_time(
    state: DirectState, database: Database, job: Job
) -> list[Server]:
    """Return the servers that a job may wait for.

    A replica that lags counts if it will probably have applied what a read needs by
    the deadline, or by the latest end that admits the job.
    """
    if job.leader_only:
        leader = state.leader_of(database)
        return [leader] if leader is not None else []
    after = find_required_position(database, job)
    latest_end = job.deadline if job.admitted else job.latest_end
    found = []
    for server in state.members(database.name):
        if not server.usable or server.down_at is not None:
            continue
        catch_up = estimate_catch_up(state, database, server, after)
        if state.now + catch_up <= latest_end:
            found.append(server)
    return found


def estimate_leader_time(state: DirectState, database: Database) -> float:
    """Return when a primary is expected to accept statements; now if one does."""
    leader = state.leader_of(database)
    if accepts_leader_jobs(state, leader) and leader.down_at is None:
        if state.now >= leader.failing_until:
            return state.now
    claims_at = find_claim_time(state, database)
    if leader is None:
        expected = database.leader_expected_at
        if database.promotion is not None and claims_at > state.now:
            expected = claims_at + EXPECTED_PROMOTION_TIME
        return _adjust_expected_time(state, expected)
    since = state.now
    failing_since = leader.failing_since if state.now < leader.failing_until else None
    moments = (leader.down_at, leader.draining_at, leader.gone_at, failing_since)
    for moment in moments:
        if moment is not None:
            since = min(since, moment)
    claimed = max(since + EXPECTED_DETECTION_TIME, claims_at)
    return _adjust_expected_time(state, claimed + EXPECTED_PROMOTION_TIME)


def _adjust_expected_time(state: DirectState, expected: float) -> float:
    """Return `expected`, the time of the next primary, postponed if it is overdue."""
    if state.now - expected >= OVERDUE_LEADER_TIMEOUT:
        return state.now + OVERDUE_LEADER_TIMEOUT
    return max(expected, state.now + OVERDUE_LEADER_DELAY)
