"""A second run of reads whose answer stays away.

Answers days on which servers lose answers or one of them turns slow. A read that takes
many times longer than usual is also sent to another server, and the first answer
counts. A budget keeps the second runs a small share, so that they don't add to the load
when all servers are slow.
"""

from ._server_state import Server
from ._state import Database, DirectState, Job, JobState

HEDGE_DELAY_FACTOR = 8.0
"""Multiple of a server's usual time after which a read is sent a second time."""

MIN_HEDGE_DELAY = 0.12
"""Seconds before which no read is sent a second time: several round trips to the other
region."""

HEDGE_RATIO = 0.05
"""Share of statements that may be sent a second time."""

MAX_HEDGE_BUDGET = 10.0
"""Second runs that may follow each other at once."""


def replenish_hedge_budget(database: Database) -> None:
    """Count a statement that was sent."""
    database.hedge_budget = min(MAX_HEDGE_BUDGET, database.hedge_budget + HEDGE_RATIO)


def list_overdue_reads(state: DirectState, database: Database) -> list[Job]:
    """Return the reads to be sent a second time, as far as the budget goes."""
    found = []
    for session in state.sessions.values():
        job = session.work
        if job is None or job.route.service != database.name:
            continue
        if job.state is not JobState.RUNNING or job.hedged or job.writes:
            continue
        if session.transaction is not None or not job.connections:
            continue
        limit = compute_hedge_delay(job.connections[0].server)
        if state.now - job.sent_at < limit:
            continue
        if database.hedge_budget < len(found) + 1:
            break
        found.append(job)
    return found


def compute_hedge_delay(server: Server) -> float:
    """Return after how many seconds a read on a server is overdue."""
    return max(MIN_HEDGE_DELAY, HEDGE_DELAY_FACTOR * server.service_time)
