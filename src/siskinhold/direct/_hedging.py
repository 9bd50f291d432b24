"""Hedged reads: a second run of reads whose answer is overdue.

It limits the damage when a server loses answers or becomes slow. A read that takes many
times longer than usual is also sent to another server, and the first answer is used. A
budget limits the share of second runs, so that they don't add load when all servers are
slow.
"""

from ._server_state import Server
from ._state import Database, DirectState, Job, JobState
from .room import estimate_slowdown

HEDGE_DELAY_FACTOR = 8.0
"""Multiple of a server's service time after which a read is hedged."""

MIN_HEDGE_DELAY = 0.12
"""Seconds before which no read is hedged: several round trips to the other region."""

HEDGE_RATIO = 0.05
"""Share of statements that may be hedged."""

MAX_HEDGE_BUDGET = 10.0
"""Number of reads that may be hedged in a burst."""


def replenish_hedge_budget(database: Database) -> None:
    """Increase the hedge budget after a statement was sent."""
    database.hedge_budget = min(MAX_HEDGE_BUDGET, database.hedge_budget + HEDGE_RATIO)


def list_overdue_reads(state: DirectState, database: Database) -> list[Job]:
    """Return the reads to hedge, as many as the budget allows."""
    found = []
    for session in state.sessions.values():
        job = session.work
        if job is None or job.route.service != database.name:
            continue
        if job.state is not JobState.RUNNING or job.hedged or job.writes:
            continue
        if session.transaction is not None or not job.connections:
            continue
        limit = compute_hedge_delay(state, job.connections[0].server)
        if state.now - job.placed_at < limit:
            continue
        if database.hedge_budget < len(found) + 1:
            break
        found.append(job)
    return found


def compute_hedge_delay(state: DirectState, server: Server) -> float:
    """Return after how many seconds a read on a server is overdue.

    A slowed server's reads are overdue after as long as they were before.
    """
    usual = server.service_time / estimate_slowdown(state, server)
    return max(MIN_HEDGE_DELAY, HEDGE_DELAY_FACTOR * usual)
