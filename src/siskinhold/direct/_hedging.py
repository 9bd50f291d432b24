"""A second run of reads whose answer stays away.

Answers days on which servers lose answers or one of them turns slow. A read that takes
many times longer than usual is also sent to another server, and the first answer
counts. A budget keeps the second runs a small share, so that they don't add to the load
when all servers are slow.
"""

from ._server_state import Server
from ._state import Database, DirectState, Work, WorkState

HEDGE_FACTOR = 8.0
"""Multiple of a server's usual time after which a read is sent a second time."""

HEDGE_LEAST = 0.12
"""Seconds before which no read is sent a second time: several round trips to the other
region."""

HEDGE_SHARE = 0.05
"""Share of statements that may be sent a second time."""

HEDGE_BURST = 10.0
"""Second runs that may follow each other at once."""


def earn_hedge(database: Database) -> None:
    """Count a statement that was sent."""
    database.hedges = min(HEDGE_BURST, database.hedges + HEDGE_SHARE)


def list_overdue(state: DirectState, database: Database) -> list[Work]:
    """Return the reads to be sent a second time, as far as the budget goes."""
    found = []
    for session in state.sessions.values():
        work = session.work
        if work is None or work.route.service != database.name:
            continue
        if work.state is not WorkState.RUNNING or work.hedged or work.writes:
            continue
        if session.transaction is not None or not work.connections:
            continue
        limit = find_hedge_time(work.connections[0].server)
        if state.now - work.sent_at < limit:
            continue
        if database.hedges < len(found) + 1:
            break
        found.append(work)
    return found


def find_hedge_time(server: Server) -> float:
    """Return after how many seconds a read on a server is overdue."""
    return max(HEDGE_LEAST, HEDGE_FACTOR * server.service_time)
