"""Which backend server runs a statement.

Answers the load of a normal day, where every server has room and the nearest one
serves best, and that of a day on which servers are slow, lag or are lost, where
the others take over what they can.
"""

from ..model import Position
from ._evidence import find_floor
from ._server_state import Server
from ._state import Database, DirectState, Job

REMOTE_READ_DELAY = 0.03
"""Seconds that a read waits for a server of its region: about two round trips to
the other region, which it would spend there instead."""

SERVER_RETRY_DELAY = 0.05
"""Seconds until a server that did not run a statement is tried again."""

LAGGING_RETRY_DELAY = 0.075
"""Seconds for which reads that need more than a replica has shown pass it over."""

LAGGING_TRIAL_PERIOD = 1.0
"""Seconds after such a pause in which a replica gets one such read at a time."""

DRAINING_LEADER_PERIOD = 3.0
"""Seconds for which a primary that leaves still takes statements, unless another is
promoted before: less than the time after which it may get none."""


def accepts_leader_jobs(state: DirectState, server: Server | None) -> bool:
    """Return whether a primary may be sent statements, as far as its entry tells."""
    if server is None:
        return False
    for left_at in (server.draining_at, server.gone_at):
        if left_at is not None and state.now - left_at >= DRAINING_LEADER_PERIOD:
            return False
    return True


def measure_distance(state: DirectState, server: Server) -> int:
    """Return 0 for a server of this availability zone, 1 of this region, else 2."""
    if server.entry.zone == state.zone:
        return 0
    if state.regions.get(server.entry.zone) == state.region:
        return 1
    return 2


def find_required_position(database: Database, job: Job) -> Position | None:
    """Return the position that a read must see, None if it is not known yet."""
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
    """Return whether a server may hold a log position, as far as it was seen lately.

    A replica that lags is asked again now and then only: asked for each statement, it
    would refuse thousands of times a second on a busy day.
    """
    if after is None or state.now >= server.lagging_until or server.evidence is None:
        return True
    return server.evidence.position >= after


def mark_trial(state: DirectState, server: Server, after: Position | None) -> None:
    """Let one statement find out whether a replica that lagged lately has caught up."""
    if after is None or server.evidence is None or server.evidence.position >= after:
        return
    if state.now - server.lagging_until < LAGGING_TRIAL_PERIOD:
        server.lagging_until = state.now + LAGGING_RETRY_DELAY


def list_candidates(
    state: DirectState, database: Database, job: Job, after: Position | None
) -> list[Server]:
    """Return the servers that may run a statement, best first.

    A statement for the primary has one candidate at most. A read prefers near
    servers that keep up, and replicas to the primary.

    Args:
        after: log position that the server must have applied.
    """
    leader = state.leader_of(database)
    if job.leader_only:
        return [leader] if accepts_leader_jobs(state, leader) else []
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
        lagging = state.now < server.lagging_until
        slow = server.service_time > 4 * _find_shortest_service_time(state, database)
        ranked.append((lagging, slow, distance, server is leader, server.entry.server))
    ranked.sort()
    return [state.servers[entry[-1]] for entry in ranked]


def _has_server_in_region(state: DirectState, database: Database) -> bool:
    for server in state.members(database.name):
        if not server.usable or server.down_at is not None:
            continue
        if state.now < server.lagging_until:
            continue
        if measure_distance(state, server) < 2:
            return True
    return False


def _find_shortest_service_time(state: DirectState, database: Database) -> float:
    best = 10.0
    for server in state.members(database.name):
        best = min(best, server.service_time)
    return max(best, 0.002)
