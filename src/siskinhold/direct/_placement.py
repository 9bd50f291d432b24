"""Choice of the backend server that runs a statement.

Normally every server has spare capacity and the nearest one is the fastest. When
servers are slow, lag or are lost, the remaining ones take over their reads.
"""

from ..model import Position
from ._evidence import find_floor
from ._server_state import Server
from ._state import Database, DirectState, Job
from .room import defer_slowed_servers, was_judged

REMOTE_READ_DELAY = 0.03
"""Seconds a read waits for a server of its region before it may go to another region:
about the two round trips that it would take there."""

SERVER_RETRY_DELAY = 0.05
"""Seconds until a server that refused a statement unrun or lost its connection is tried
again for it."""

LAGGING_RETRY_DELAY = 0.075
"""Seconds for which reads that need a later position skip a lagging replica."""

LAGGING_TRIAL_PERIOD = 1.0
"""Seconds after that delay in which a replica gets one such read at a time, to see
whether it has caught up."""

GONE_LEADER_PERIOD = 3.0
"""Seconds for which a primary without an entry still gets statements, unless another
server is promoted before."""

LEAVING_MARGIN = 0.3
"""Seconds before a draining primary leaves from which it gets no statements, as some
are on their way."""


def accepts_leader_jobs(state: DirectState, server: Server | None) -> bool:
    """Return whether a leader may get statements, going by its entry in the store.

    It may until its entry has been missing for `GONE_LEADER_PERIOD`, and while it
    drains until it leaves.
    """
    if server is None:
        return False
    if server.gone_at is not None and state.now - server.gone_at >= GONE_LEADER_PERIOD:
        return False
    return server.leaves_at is None or state.now < server.leaves_at - LEAVING_MARGIN


def measure_distance(state: DirectState, server: Server) -> int:
    """Return 0 for a server of this availability zone, 1 of this region, else 2."""
    if server.entry.zone == state.zone:
        return 0
    if state.regions.get(server.entry.zone) == state.region:
        return 1
    return 2


def find_required_position(database: Database, job: Job) -> Position | None:
    """Return the log position that a read must see, None if no floor is known.

    It is the later one of the floor and the session's own last commit.
    """
    floor = find_floor(database, job.since - job.route.staleness)
    if floor is None:
        return None
    own = job.session.position
    if own is not None and own > floor:
        return own
    return floor


def may_have_applied(
    state: DirectState, server: Server, after: Position | None
) -> bool:
    """Return whether a server may have applied the log up to `after`.

    It is assumed to have done so unless it lagged recently. A lagging replica is
    skipped for a while after each refusal: without that, it would refuse thousands of
    statements per second under load.
    """
    if after is None or state.now >= server.lagging_until or server.evidence is None:
        return True
    return server.evidence.position >= after


def postpone_next_trial(
    state: DirectState, server: Server, after: Position | None
) -> None:
    """Skip a replica that lagged recently while the read to be sent tests it.

    So only one read at a time tests whether the replica has caught up.

    Args:
        after: log position that the read to be sent requires.
    """
    if after is None or server.evidence is None or server.evidence.position >= after:
        return
    if state.now - server.lagging_until < LAGGING_TRIAL_PERIOD:
        server.lagging_until = state.now + LAGGING_RETRY_DELAY


def list_candidates(
    state: DirectState, database: Database, job: Job, after: Position | None
) -> list[Server]:
    """Return the servers that may run a statement, best first.

    A statement for the primary has at most one candidate. Reads prefer servers that
    don't lag, then fast ones, near ones, and replicas over the primary. Servers that
    fail statements are used for reads if there is no other one.

    Args:
        after: log position that the server must have applied.
    """
    leader = state.leader_of(database)
    if job.leader_only:
        if not accepts_leader_jobs(state, leader) or state.now < leader.failing_until:
            return []
        return [leader]
    ranked = []
    for server in state.members(database.name):
        if not server.usable or server.down_at is not None:
            continue
        tried_at = job.tried.get(server.entry.server)
        if tried_at is not None and state.now - tried_at < SERVER_RETRY_DELAY:
            continue
        if not may_have_applied(state, server, after):
            continue
        distance = measure_distance(state, server)
        if distance == 2 and state.now - job.arrived_at < REMOTE_READ_DELAY:
            if tried_at is None and _has_server_in_region(state, database):
                continue
        failing = state.now < server.failing_until
        lagging = state.now < server.lagging_until
        slow = server.service_time > 4 * _find_shortest_service_time(state, database)
        slow = slow and not was_judged(state, server)
        rank = (failing, lagging, slow, distance, server is leader)
        ranked.append((*rank, server.entry.server))
    ranked.sort()
    if ranked and not ranked[0][0]:
        # Failing servers get statements only if there is no other one.
        ranked = [entry for entry in ranked if not entry[0]]
    servers = [state.servers[entry[-1]] for entry in ranked]
    return defer_slowed_servers(state, job, servers)


def _has_server_in_region(state: DirectState, database: Database) -> bool:
    """Return whether this region has a usable server that is up and doesn't lag."""
    for server in state.members(database.name):
        if not server.usable or server.down_at is not None:
            continue
        if state.now < server.lagging_until:
            continue
        if measure_distance(state, server) < 2:
            return True
    return False


def _find_shortest_service_time(state: DirectState, database: Database) -> float:
    """Return the shortest service time of any server, in seconds, at least 0.002."""
    best = 10.0
    for server in state.members(database.name):
        best = min(best, server.service_time)
    return max(best, 0.002)
