"""How far replicas are behind, and whether they can serve a read in time.

It matters while replicas lag by seconds and their primary has to run all reads: those
that it has no time for are refused at once, as no replica will take them over.
"""

from ..model import Position
from ._server_state import Server
from ._state import Database, DirectState

RECENT_LAG_PERIOD = 3.0
"""Seconds after a replica's last refusal in which it is assumed to still lag."""


def estimate_catch_up(
    state: DirectState, database: Database, server: Server, after: Position | None
) -> float:
    """Return the seconds until a replica has probably applied the log up to `after`.

    It is 0 unless the replica refused a read recently. A replica is assumed to apply
    the log as fast as the primary wrote it, so the time depends on how long before
    `after` the primary was at the replica's position.
    """
    evidence = server.evidence
    if after is None or evidence is None or evidence.position >= after:
        return 0.0
    if state.now - server.lagging_until >= RECENT_LAG_PERIOD:
        return 0.0
    reached_at = _find_time(database, evidence.position)
    needed_at = _find_time(database, after)
    return max(0.0, needed_at - reached_at - (state.now - evidence.sent_at))


def _find_time(database: Database, position: Position) -> float:
    """Return about when the primary was at a position, as the known floors show it.

    For a position before all floors that is the time of the oldest one.
    """
    if not database.floors:
        return 0.0
    found = database.floors[0].at
    for floor in database.floors:
        if floor.position > position:
            break
        found = floor.at
    return found
