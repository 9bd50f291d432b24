"""Servers that may take over as primary, and their order.

A VM proves reads by the answers of the servers in its list. So a server is promoted
only once every list that is still valid contains it.
"""

from ..model import Position
from ._evidence import NEW_SERVER_PERIOD
from ._promotion_state import Promotion
from ._promotion_steps import SWITCHOVER_CAUSE
from ._server_state import Server
from ._state import Database, DirectState


def list_candidates(state, database: Database, promotion: Promotion) -> list[Server]:
    """Return the usable servers that are up, without the primary to be replaced.

    In a switchover it is included, as it leads again if no replica has all commits.
    """
    found = []
    for server in state.members(database.name):
        replaced = server.entry.server == promotion.leader
        if replaced and promotion.cause != SWITCHOVER_CAUSE:
            continue
        if not server.usable or server.down_at is not None:
            continue
        found.append(server)
    return found


def is_listed_long(state: DirectState, server: Server) -> bool:
    """Return whether every valid list of servers contains a server."""
    return state.now - server.listed_at >= NEW_SERVER_PERIOD


def find_promotable_time(
    state: DirectState, database: Database, promotion: Promotion
) -> float:
    """Return when the first candidate may be promoted; now if there is none at all."""
    candidates = list_candidates(state, database, promotion)
    listed_at = min((s.listed_at for s in candidates), default=-NEW_SERVER_PERIOD)
    return max(state.now, listed_at + NEW_SERVER_PERIOD)


def was_rolled_back(database: Database, position: Position) -> bool:
    """Return whether a log goes on beyond the place where a newer term began.

    Such a server was a primary whose last commits a promotion has rolled back: if it
    were promoted, they would be back, and those of the newer term gone.
    """
    for start in database.term_starts:
        if start.term > position.term and position > start.position:
            return True
    return False


def rank_candidate(state: DirectState, database: Database, server: Server) -> tuple:
    """Return the sort key of a candidate; the greatest is the best.

    Not having commits that were rolled back counts first, then the end of the received
    log, then not being new, then not being the old primary, then not failing
    statements, then being in the old primary's region.
    """
    promotion = database.promotion
    old = state.servers.get(promotion.leader)
    zone = old.entry.zone if old is not None else state.zone
    same_region = state.regions.get(server.entry.zone) == state.regions.get(zone)
    position = promotion.positions.get(server.entry.server, Position(0, 0))
    works = state.now >= server.failing_until
    listed = is_listed_long(state, server)
    return (
        not was_rolled_back(database, position),
        position,
        listed,
        server is not old,
        works,
        same_region,
        server.entry.server,
    )
