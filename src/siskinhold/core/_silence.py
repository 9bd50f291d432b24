"""Silent connections: found by asking the server over a fresh connection.

A statement that runs for suspiciously long is either a straggler or on a
connection on which nothing arrives any more (docs/design.md, section 8).
"""

from dataclasses import dataclass

from ..effects import QueryActivity
from ..events import ActivityReported, Started
from . import _connections as connections
from ._answers import lose_connection
from ._connection_state import Connection, ConnectionState
from ._health import request_status
from ._pools import drain_database
from ._state import Effects, NodeState, record
from ._stragglers import estimate
from ._timers import TimerAction

CHECK_INTERVAL = 0.1
"""Seconds between two looks at all connections."""
MIN_SUSPICION = 0.5
"""Seconds that any statement may run without suspicion."""
SUSPICION_FACTOR = 8
"""Multiple of a shape's usual time from which a statement is suspicious."""
CONFIRM_AFTER = 0.2
"""Seconds between the two reports that call a connection idle: an answer under
way at the first one has arrived by the second."""
MAX_ASK_INTERVAL = 8.0
"""Longest time in seconds between two questions about a straggler."""
IDLE_LIFETIME = 30.0
"""Seconds after which an idle connection is replaced: it may be silent."""


@dataclass(slots=True, frozen=True)
class SilenceCheck(TimerAction):
    """All connections are to be looked at."""


def _start(node: NodeState, event: Started, out: Effects) -> None:
    node.timers.schedule(node.now + CHECK_INTERVAL, SilenceCheck())


def _check(node: NodeState, action: SilenceCheck, out: Effects) -> None:
    node.timers.schedule(node.now + CHECK_INTERVAL, SilenceCheck())
    renewed: set[str] = set()
    for connection in list(node.connections.connections.values()):
        if connection.state is ConnectionState.BUSY:
            _suspect(node, connection, out)
        elif connection.state is ConnectionState.IDLE:
            _renew(node, connection, renewed, out)


def _suspect(node: NodeState, connection: Connection, out: Effects) -> None:
    if connection.asked_activity or node.now < connection.ask_at:
        return
    if node.now - connection.since < _measure_patience(node, connection):
        return
    health = node.health.servers.get(connection.server)
    if health is None:
        return
    connection.asked_activity = True
    connection.ask_interval = min(
        max(MIN_SUSPICION, 2 * connection.ask_interval), MAX_ASK_INTERVAL
    )
    out.append(QueryActivity(connection=connection.number, server=health.server))


def _measure_patience(node: NodeState, connection: Connection) -> float:
    work = node.pools.works.get(connection.request)
    if work is None or work.id in node.pools.begun:
        return MIN_SUSPICION
    return max(MIN_SUSPICION, SUSPICION_FACTOR * estimate(node, work.shape))


def _renew(
    node: NodeState, connection: Connection, renewed: set[str], out: Effects
) -> None:
    """Close an old idle connection, one a server at a time."""
    server = connection.server
    if node.now - connection.since < IDLE_LIFETIME or server in renewed:
        return
    renewed.add(server)
    connections.close(node, connection.number, out)
    health = node.health.servers.get(server)
    if health is not None:
        known = connections.server_connections(node, server)
        wanted = len(known.idle) + known.opening + 1
        connections.open_more(node, health.server, health.database, wanted, out)


def _take_report(node: NodeState, event: ActivityReported, out: Effects) -> None:
    connection = node.connections.connections.get(event.connection)
    if connection is None or not connection.asked_activity:
        return
    connection.asked_activity = False
    if event.executing is None:
        connection.ask_at = node.now + connection.ask_interval
        request_status(node, connection.server, out, fresh=True)
        return
    if event.executing:
        connection.suspected = 0
        connection.ask_at = node.now + connection.ask_interval
        return
    connection.suspected += 1
    if connection.suspected == 1:
        connection.ask_at = node.now + CONFIRM_AFTER
        return
    _give_up(node, connection, out)


def _give_up(node: NodeState, connection: Connection, out: Effects) -> None:
    record(
        out,
        "connection_silent",
        cause="the server does not execute its statement",
        server=connection.server,
        request=connection.request,
        detail=(("ran_ms", round((node.now - connection.since) * 1000)),),
    )
    connections.close(node, connection.number, out)
    _close_unproved(node, connection, out)
    lose_connection(node, connection, out, sent=True, cause="connection_silent")
    drain_database(node, _find_database(node, connection.server), out)


def _close_unproved(node: NodeState, silent: Connection, out: Effects) -> None:
    """Close the database's idle connections that are no younger than a silent one.

    What made one connection silent often did so to others, and a retry on
    another silent one would lose as much time again.
    """
    database = _find_database(node, silent.server)
    for connection in list(node.connections.connections.values()):
        if connection.state is not ConnectionState.IDLE:
            continue
        if connection.since > silent.since:
            continue
        if _find_database(node, connection.server) != database:
            continue
        connections.close(node, connection.number, out)


def _find_database(node: NodeState, server: str) -> str:
    health = node.health.servers.get(server)
    return health.database if health is not None else ""


EVENTS = {Started: _start, ActivityReported: _take_report}
MESSAGES: dict = {}
TIMERS = {SilenceCheck: _check}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
