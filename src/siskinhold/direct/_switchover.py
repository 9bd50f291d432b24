"""Planned switchover of an overloaded database whose replicas are seconds behind.

It answers a load of reads that exceeds the primary's capacity while no replica has
applied what the reads need, so that the primary runs all of them. A replica that is
promoted leads with its whole received log at once, and the old primary, whose log is
applied, serves as a replica that is up to date. Writes wait for about a second. Without
that, the replicas would stay unused until they have applied their backlog.
"""

from ..model import Position
from ._server_state import Backlog, Purpose, Server
from ._state import Database, DirectState, Effects
from ._types import Answer, Command, CommandKind
from .pools import find_control_connection, send

OVERLOAD_PERIOD = 1.0
"""Seconds of refusals without a gap of that length after which a primary counts as
overloaded: a short burst is over by then."""

MIN_BACKLOG = 4.0
"""Seconds that every replica needs to catch up before a switchover is worth the time
for which it stops writes and most reads."""

BACKLOG_INTERVAL = 0.4
"""Seconds between two queries of a replica's backlog."""

BACKLOG_MAX_AGE = 1.0
"""Seconds for which a reported backlog is taken into account."""

MAX_RECEIVE_DELAY = 0.5
"""Seconds within which a replica that may take over receives the primary's log."""

MIN_LEADERSHIP = 5.0
"""Seconds for which a primary has to lead before a switchover, so that a load which
exceeds the capacity of all servers doesn't cause one after the other."""


def record_overload(state: DirectState, database: Database) -> None:
    """Record that statements were refused because the servers have no time for them."""
    if state.now - database.overloaded_at > OVERLOAD_PERIOD:
        database.overloaded_since = state.now
    database.overloaded_at = state.now


def request_backlogs(state: DirectState, database: Database, out: Effects) -> None:
    """Query the backlog of the replicas of an overloaded database; called at each tick.

    A status query takes a slot of the replica, which is mostly idle then.
    """
    if state.now - database.overloaded_at > OVERLOAD_PERIOD:
        return
    for server in _list_replicas(state, database):
        backlog = server.backlog
        if backlog is not None and state.now - backlog.sent_at < BACKLOG_INTERVAL:
            continue
        control = find_control_connection(server)
        if control is None or control.pending:
            continue
        status = Command(kind=CommandKind.STATUS)
        send(state, control, status, Purpose.BACKLOG, out)


def handle_backlog_answer(server: Server, sent_at: float, answer: Answer) -> None:
    """Record a replica's backlog; a primary or a report without one has none."""
    status = answer.status
    if status is None or status.leads or status.backlog is None:
        server.backlog = None
        return
    server.backlog = Backlog(
        sent_at=sent_at, seconds=status.backlog, received=status.received
    )


def needs_switchover(state: DirectState, database: Database) -> bool:
    """Return whether a replica should take over from an overloaded primary.

    Every replica has to be behind for long, and one of them must receive the primary's
    log without delay, so that it soon has all commits once the primary has stopped.
    """
    leader = state.leader_of(database)
    if leader is None:
        return False
    if state.now - database.leader.since < MIN_LEADERSHIP:
        return False
    if state.now - database.overloaded_at > OVERLOAD_PERIOD:
        return False
    if database.overloaded_at - database.overloaded_since < OVERLOAD_PERIOD:
        return False
    complete = False
    for server in _list_replicas(state, database):
        backlog = server.backlog
        if backlog is None or state.now - backlog.sent_at > BACKLOG_MAX_AGE:
            return False
        if backlog.seconds < MIN_BACKLOG:
            return False
        needed = _find_position(database, backlog.sent_at - MAX_RECEIVE_DELAY)
        if needed is not None and backlog.received >= needed:
            complete = True
    return complete


def _list_replicas(state: DirectState, database: Database) -> list[Server]:
    """Return the usable servers that are up, without the primary."""
    leader = state.leader_of(database)
    found = []
    for server in state.members(database.name):
        if server is leader or not server.usable or server.down_at is not None:
            continue
        found.append(server)
    return found


def _find_position(database: Database, at: float) -> Position | None:
    """Return the last position that the primary is known to have had by a time."""
    found = None
    for floor in database.floors:
        if floor.at > at:
            break
        found = floor.position
    return found
