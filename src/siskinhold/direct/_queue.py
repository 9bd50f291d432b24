"""Order of waiting statements, and refusal of those that can't be served.

Answers the load of the heaviest days, when more arrives than the servers run, and
the minutes without a primary. A statement that can't be served within its time is
refused at once, as not run, so that its caller may try elsewhere while there is
time. The most urgent route goes first and within it the earliest deadline.
"""

from ._connections import limit_connections
from ._placement import takes_leader_work
from ._state import Database, DirectState, Work

DETECTION_TIME = 0.9
"""Seconds from the loss of a primary until its promotion is ordered, as a rule."""

PROMOTION_TIME = 0.8
"""Seconds from the order until a promotion has taken effect, as a rule."""

OVERDUE_TIME = 0.5
"""Seconds that a primary is still waited for when the usual time is over."""


def order_queue(queue: list[Work]) -> list[Work]:
    """Return waiting statements in the order in which they are placed."""
    return sorted(queue, key=_rank)


def _rank(work: Work) -> tuple[int, float]:
    return (work.route.priority, work.deadline)


def list_hopeless(state: DirectState, database: Database) -> list[tuple[Work, str]]:
    """Return waiting statements that can't be served in time, with the reason."""
    found = []
    leader_at = estimate_leader(state, database)
    waits: dict[bool, float] = {}
    for work in order_queue(database.queue):
        if work.leader_only and leader_at > work.deadline:
            found.append((work, "no_primary"))
            continue
        if leader_at > state.now:
            continue
        wait = waits.get(work.leader_only, 0.0)
        if state.now + wait > work.deadline:
            found.append((work, "queue_full"))
            continue
        waits[work.leader_only] = wait + _slot_time(state, database, work.leader_only)
    return found


def _slot_time(state: DirectState, database: Database, leader_only: bool) -> float:
    """Return the mean time between two statements that begin, in seconds."""
    rate = 0.0
    for server in state.members(database.name):
        if leader_only:
            if server is not state.leader_of(database):
                continue
        elif not server.usable or server.down_at is not None:
            continue
        connections = max(1, limit_connections(state, server) - 1)
        rate += connections / max(server.service_time, 0.001)
    if rate <= 0:
        return 0.0
    return 1.0 / rate


def estimate_leader(state: DirectState, database: Database) -> float:
    """Return when the primary will take statements, as far as can be told."""
    leader = state.leader_of(database)
    if takes_leader_work(state, leader) and leader.down_at is None:
        return state.now
    if leader is None:
        return max(database.expected_at, state.now + OVERDUE_TIME)
    since = state.now
    for moment in (leader.down_at, leader.draining_at, leader.gone_at):
        if moment is not None:
            since = min(since, moment)
    expected = since + DETECTION_TIME + PROMOTION_TIME
    return max(expected, state.now + OVERDUE_TIME)
