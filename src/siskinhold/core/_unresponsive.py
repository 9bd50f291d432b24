"""Detection of unresponsive (half-open) connections to backend servers.

On an unresponsive connection nothing arrives any more, although it has not closed;
the timeline calls it `connection_silent`. A statement that runs for suspiciously
long is either a straggler or on such a connection. An activity query to the server
over a fresh connection tells which (docs/design.md, section 8).
"""

from dataclasses import dataclass

from ..effects import QueryActivity
from ..events import ActivityReported, Started
from . import _connections as connections
from ._answers import handle_connection_loss
from ._connection_state import Connection, ConnectionState
from ._health import request_status
from ._pools import dispatch_database
from ._state import Effects, NodeState, record
from ._stragglers import estimate_service_time
from ._timers import TimerAction

CHECK_INTERVAL = 0.1
"""Seconds between two checks of all connections."""
MIN_SUSPICION_DELAY = 0.5
"""Seconds that any statement may run before it is suspicious."""
SUSPICION_FACTOR = 8
"""Multiple of the expected service time of a statement's shape (its text without
literals) after which it is suspicious."""
CONFIRM_DELAY = 0.2
"""Seconds between the two reports that the server executes nothing for a connection,
which are needed to close it: an answer in flight at the first one has arrived by
the second."""
MAX_QUERY_INTERVAL = 8.0
"""Longest delay in seconds between two activity queries about a straggler."""
MAX_IDLE_TIME = 30.0
"""Seconds that a connection may stay idle before it is replaced, as it may be
unresponsive."""


@dataclass(slots=True, frozen=True)
class ConnectionCheck(TimerAction):
    """Due time of the next check of all connections."""


def _start(node: NodeState, event: Started, out: Effects) -> None:
    node.timers.schedule(node.now + CHECK_INTERVAL, ConnectionCheck())


def _check_connections(node: NodeState, action: ConnectionCheck, out: Effects) -> None:
    """Check the busy connections, and replace old idle ones."""
    node.timers.schedule(node.now + CHECK_INTERVAL, ConnectionCheck())
    replaced: set[str] = set()
    for connection in list(node.connections.connections.values()):
        if connection.state is ConnectionState.BUSY:
            _check_busy(node, connection, out)
        elif connection.state is ConnectionState.IDLE:
            _replace_idle(node, connection, replaced, out)


def _check_busy(node: NodeState, connection: Connection, out: Effects) -> None:
    """Query whether the server executes a statement that runs suspiciously long."""
    if connection.activity_requested or node.now < connection.next_query_at:
        return
    if node.now - connection.since < _compute_suspicion_delay(node, connection):
        return
    health = node.health.servers.get(connection.server)
    if health is None:
        return
    connection.activity_requested = True
    connection.query_interval = min(
        max(MIN_SUSPICION_DELAY, 2 * connection.query_interval), MAX_QUERY_INTERVAL
    )
    out.append(QueryActivity(connection=connection.number, server=health.server))


def _compute_suspicion_delay(node: NodeState, connection: Connection) -> float:
    """Return the seconds after which a connection's statement is suspicious."""
    job = node.pools.jobs.get(connection.request)
    if job is None or job.id in node.pools.beginning:
        return MIN_SUSPICION_DELAY
    return max(
        MIN_SUSPICION_DELAY, SUSPICION_FACTOR * estimate_service_time(node, job.shape)
    )


def _replace_idle(
    node: NodeState, connection: Connection, replaced: set[str], out: Effects
) -> None:
    """Replace an old idle connection, at most one of each server per check."""
    server = connection.server
    if node.now - connection.since < MAX_IDLE_TIME or server in replaced:
        return
    replaced.add(server)
    connections.close(node, connection.number, out)
    health = node.health.servers.get(server)
    if health is not None:
        known = connections.get_server_connections(node, server)
        wanted = len(known.idle) + known.opening + 1
        connections.open_connections(node, health.server, health.database, wanted, out)


def _handle_activity(node: NodeState, event: ActivityReported, out: Effects) -> None:
    """Handle the report whether the server executes a connection's statement.

    The second report in a row that it does not shows that the connection is
    unresponsive.
    """
    connection = node.connections.connections.get(event.connection)
    if connection is None or not connection.activity_requested:
        return
    connection.activity_requested = False
    if event.executing is None:
        # The activity query failed, so a status query checks the server.
        connection.next_query_at = node.now + connection.query_interval
        request_status(node, connection.server, out, fresh=True)
        return
    if event.executing:
        connection.suspected = 0
        connection.next_query_at = node.now + connection.query_interval
        return
    connection.suspected += 1
    if connection.suspected == 1:
        connection.next_query_at = node.now + CONFIRM_DELAY
        return
    _handle_unresponsive(node, connection, out)


def _handle_unresponsive(node: NodeState, connection: Connection, out: Effects) -> None:
    """Close an unresponsive connection and older idle ones of its database.

    The job that ran on it is retried or answered, and waiting jobs of the database are
    dispatched.
    """
    record(
        out,
        "connection_silent",
        cause="the server does not execute its statement",
        server=connection.server,
        request=connection.request,
        detail=(("ran_ms", round((node.now - connection.since) * 1000)),),
    )
    connections.close(node, connection.number, out)
    _close_older_idle(node, connection, out)
    handle_connection_loss(node, connection, out, sent=True, cause="connection_silent")
    dispatch_database(node, _find_database(node, connection.server), out)


def _close_older_idle(node: NodeState, unresponsive: Connection, out: Effects) -> None:
    """Close idle connections of the database that may be unresponsive too.

    The cause often affects several connections, and a retry on another
    unresponsive one would lose as much time again. Connections that became idle
    after the statement on the unresponsive one had started are kept.
    """
    database = _find_database(node, unresponsive.server)
    for connection in list(node.connections.connections.values()):
        if connection.state is not ConnectionState.IDLE:
            continue
        if connection.since > unresponsive.since:
            continue
        if _find_database(node, connection.server) != database:
            continue
        connections.close(node, connection.number, out)


def _find_database(node: NodeState, server: str) -> str:
    """Return the name of a server's database, empty if the server is unknown."""
    health = node.health.servers.get(server)
    return health.database if health is not None else ""


EVENTS = {Started: _start, ActivityReported: _handle_activity}
MESSAGES: dict = {}
TIMERS = {ConnectionCheck: _check_connections}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
