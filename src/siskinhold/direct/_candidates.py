"""Servers that may take over as primary, and their order.

A VM proves reads by the answers of the servers in its list. So a server is promoted
only once every list that is still valid contains it.
"""

from ..model import Position
from ._evidence import NEW_SERVER_PERIOD
from ._log_proof import count_acknowledging
from ._promotion_state import Promotion
from ._promotion_steps import is_due, is_planned
from ._server_state import Server
from ._state import Database, DirectState
from .pools import find_control_connection


def list_candidates(state, database: Database, promotion: Promotion) -> list[Server]:
    """Return the servers that are up and may take over.

    Where commits are acknowledged by replicas, one that is leaving may be the only one
    that has them, or the primary itself after it was stopped. Elsewhere the primary to
    be replaced is included if the work is planned and can wait, as it leads again if no
    replica has all of its commits.
    """
    needs_logs = count_acknowledging(state, database) > 0
    found = []
    for server in state.members(database.name):
        if server.down_at is not None:
            continue
        if server.entry.server == promotion.leader:
            stopped = server.entry.server in promotion.fenced
            goes_on = is_planned(state, promotion) and not is_due(state, promotion)
            if goes_on or needs_logs and stopped:
                found.append(server)
            continue
        if server.usable or needs_logs and find_control_connection(server) is not None:
            found.append(server)
    return found


def is_listed_long(state: DirectState, server: Server) -> bool:
    """Return whether every valid list of servers contains a server."""
    return state.now - server.listed_at >= NEW_SERVER_PERIOD


def find_promotable_time(
    state: DirectState, database: Database, promotion: Promotion
) -> float:
    """Return when the first candidate may be promoted; now if there is none at all."""
    candidates = []
    for server in list_candidates(state, database, promotion):
        if server.entry.server != promotion.leader:
            candidates.append(server)
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
    log, then not being new, then not leaving, then not being the old primary, then not
    failing statements, then being in the old primary's region.
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
        server.usable,
        server is not old,
        works,
        same_region,
        server.entry.server,
    )
