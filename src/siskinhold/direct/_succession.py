"""When a promotion may be claimed: what must be in place before its primary stops.

Planned work costs no commit. A primary that drains, or is overloaded, is only stopped
once another server follows it closely; until then it goes on. If that server doesn't
receive the rest in time, the primary is promoted again.

A primary that is lost is only replaced while enough servers can be reached to show all
acknowledged commits, see `_log_proof`.
"""

from ._candidates import is_listed_long
from ._lease import delay_promotion
from ._log_proof import count_logs_needed, list_log_servers, list_reachable_logs
from ._promotion_state import Promotion
from ._promotion_steps import DRAINING_CAUSE, is_due, is_planned
from ._server_state import Purpose, Server
from ._state import Database, DirectState, Effects
from ._types import Command, CommandKind
from .pools import find_control_connection, send

REFERENCE_AGE = 0.5
"""Seconds after which a later position of the primary has to be reached: within twice
that time a successor receives what the primary commits."""

PROGRESS_INTERVAL = 0.2
"""Seconds between two queries of the servers' positions."""

RETURN_PERIOD = 1.0
"""Seconds for which a draining primary leads before it is to be replaced."""


def may_claim(
    state: DirectState, database: Database, promotion: Promotion, out: Effects
) -> bool:
    """Return whether a promotion may go on to its claim; log why not."""
    needed = count_logs_needed(state, database)
    reachable = len(list_reachable_logs(state, database))
    if reachable < needed:
        delay_promotion(
            state,
            database,
            None,
            out,
            logs=reachable,
            needed=needed,
            servers=len(list_log_servers(state, database)),
        )
        return False
    if promotion.cause != DRAINING_CAUSE or not is_planned(state, promotion):
        return True
    leader = state.servers[promotion.leader]
    if not needed and is_due(state, promotion):
        return True
    if _has_successor(state, database, promotion, leader, out):
        return True
    delay_promotion(state, database, leader.leaves_at, out, successor="behind")
    return False


def _has_successor(
    state: DirectState,
    database: Database,
    promotion: Promotion,
    leader: Server,
    out: Effects,
) -> bool:
    """Return whether a server follows a primary closely, and query the positions."""
    if state.now - database.leader.since < RETURN_PERIOD:
        return False
    if state.now - promotion.reference_at >= REFERENCE_AGE:
        evidence = leader.evidence
        if evidence is None or state.now - evidence.sent_at >= REFERENCE_AGE:
            _query(state, leader, promotion, out)
            return False
        promotion.reference = evidence.position
        promotion.reference_at = state.now
    found = False
    for server in state.members(database.name):
        if server is leader or not server.usable or server.down_at is not None:
            continue
        if state.now < server.failing_until or not is_listed_long(state, server):
            continue
        if _has_received(server, promotion):
            found = True
    if not found and state.now - promotion.queried_at >= PROGRESS_INTERVAL:
        promotion.queried_at = state.now
        for server in state.members(database.name):
            if server is not leader and server.usable:
                _query(state, server, promotion, out)
    return found


def _has_received(server: Server, promotion: Promotion) -> bool:
    """Return whether a server is known to have received the primary's position."""
    ends = [server.received]
    if server.evidence is not None:
        ends.append(server.evidence.position)
    for end in ends:
        if end is not None and end >= promotion.reference:
            return True
    return False


def _query(
    state: DirectState, server: Server, promotion: Promotion, out: Effects
) -> None:
    """Query the end of a server's received log."""
    control = find_control_connection(server)
    if control is not None and not control.pending:
        status = Command(kind=CommandKind.STATUS)
        send(state, control, status, Purpose.PROBE, out)
