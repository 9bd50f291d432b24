"""Order of waiting statements, and refusal of those that can't be served.

Answers the load of the heaviest days, when more arrives than the servers run, and
the minutes without a primary. A statement that can't be served within its time is
refused at once, as not run, so that its caller may try elsewhere while there is
time. The most urgent route goes first and within it the earliest deadline.
"""

from ._connections import limit_connections
from ._evidence import can_prove
from ._placement import find_need, takes_leader_work
from ._state import Database, DirectState, Work

DETECTION_TIME = 0.9
"""Seconds from the loss of a primary until its promotion is ordered, as a rule."""

PROMOTION_TIME = 0.8
"""Seconds from the order until a promotion has taken effect, as a rule."""

HOPELESS_TIME = 1.5
"""Seconds overdue after which no primary is expected soon: it can't be arranged."""

RUN_MARGIN = 1.5
"""Multiple of the usual time of a statement that must be left for it to begin."""

LEAST_TIME = 0.001
"""Seconds that a statement takes at least, as far as estimates go."""

CREST_TIME = 1.0
"""Seconds for which a queue may stand until it counts as more than a crest."""

OVERDUE_TIME = 0.5
"""Seconds that a primary is still waited for when the usual time is over."""


NO_PROOF = "no_proof"
"""Reason to refuse what needs a primary that can't be proved to lead."""


def order_queue(queue: list[Work]) -> list[Work]:
    """Return waiting statements in the order in which they are placed."""
    return sorted(queue, key=_rank)


def _rank(work: Work) -> tuple[int, float]:
    return (work.route.priority, work.deadline)


def list_hopeless(state: DirectState, database: Database) -> list[tuple[Work, str]]:
    """Return waiting statements that can't be served in time, with the reason."""
    found = []
    leader_at = estimate_leader(state, database)
    provable = can_prove(state, database)
    waits: dict[bool, float] = {}
    for work in order_queue(database.queue):
        if work.leader_only and leader_at > work.deadline:
            found.append((work, "no_primary"))
            continue
        if leader_at > state.now:
            continue
        if not provable and (work.leader_only or find_need(database, work) is None):
            found.append((work, NO_PROOF))
            continue
        slot, usual = _measure_service(state, database, work.leader_only)
        wait = waits.get(work.leader_only, 0.0)
        if state.now + wait + RUN_MARGIN * usual > _find_limit(state, database, work):
            found.append((work, "queue_full"))
            continue
        waits[work.leader_only] = wait + slot
    return found


def _find_limit(state: DirectState, database: Database, work: Work) -> float:
    """Return when a statement must have ended.

    A short crest is served late rather than not at all. When the queue stands for
    longer, statements that would be late give way to those that would not.
    """
    if state.now - database.queued_since < CREST_TIME:
        return work.deadline
    return min(work.deadline, work.arrived_at + work.route.target)


def _measure_service(
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
        connections = max(1, limit_connections(state, server) - 1)
        time = max(server.estimate_time(state.now), LEAST_TIME)
        times.append(time)
        rate += connections / time
    if not times:
        return 0.0, 0.0
    return 1.0 / rate, min(times)


def estimate_leader(state: DirectState, database: Database) -> float:
    """Return when the primary will take statements, as far as can be told."""
    leader = state.leader_of(database)
    if takes_leader_work(state, leader) and leader.down_at is None:
        return state.now
    if leader is None:
        return _find_expected(state, database.expected_at)
    since = state.now
    for moment in (leader.down_at, leader.draining_at, leader.gone_at):
        if moment is not None:
            since = min(since, moment)
    return _find_expected(state, since + DETECTION_TIME + PROMOTION_TIME)


def _find_expected(state: DirectState, expected: float) -> float:
    """Return the expected time of the next primary, later if it is overdue."""
    if state.now - expected >= HOPELESS_TIME:
        return state.now + HOPELESS_TIME
    return max(expected, state.now + OVERDUE_TIME)
