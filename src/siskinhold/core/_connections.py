"""Connections to backend servers: opening, acquiring, releasing, closing."""

from ..effects import CloseBackend, Observe, OpenBackend
from ..model import BackendServer, RequestId
from ._connection_state import Connection, ConnectionState, ServerConnections
from ._state import Effects, NodeState

MAX_OPENING = 4
"""Connections that may be opening to one server at once; each one costs the server
12 ms."""
RESERVED_CONNECTIONS = 5
"""Connections of a server's limit left free for control connections and for a second
pool owner."""
REOPEN_DELAY = 0.1
"""Seconds from a failed opening to the next attempt at the same server."""


def get_server_connections(node: NodeState, server: str) -> ServerConnections:
    """Return the connections of a server, creating the entry if needed."""
    known = node.connections.servers.get(server)
    if known is None:
        known = node.connections.servers[server] = ServerConnections()
    return known


def open_connections(
    node: NodeState, server: BackendServer, database: str, wanted: int, out: Effects
) -> None:
    """Open connections until `wanted` are idle or opening, within the limits."""
    known = get_server_connections(node, server.name)
    if node.now < known.reopen_after:
        return
    limit = max(server.slots, server.connections - RESERVED_CONNECTIONS)
    while (
        len(known.idle) + known.opening < wanted
        and known.opening < MAX_OPENING
        and len(known.numbers) < limit
    ):
        number = node.connections.next_number
        node.connections.next_number += 1
        connection = Connection(number=number, server=server.name, since=node.now)
        node.connections.connections[number] = connection
        known.numbers.add(number)
        known.opening += 1
        out.append(OpenBackend(connection=number, server=server, database=database))
        out.append(Observe(metric="backend_connections_opened_total"))


def mark_opened(node: NodeState, number: int) -> Connection | None:
    """Mark an opened connection as idle and return it; None if it is not opening."""
    connection = node.connections.connections.get(number)
    if connection is None or connection.state is not ConnectionState.OPENING:
        return None
    known = node.connections.servers[connection.server]
    known.opening -= 1
    _make_idle(node, connection)
    return connection


def acquire(
    node: NodeState, connection: Connection, request: RequestId, *, long: bool
) -> None:
    """Assign a statement to a connection, which uses one of the server's slots."""
    known = node.connections.servers[connection.server]
    if connection.state is ConnectionState.IDLE:
        known.idle.remove(connection.number)
    connection.state = ConnectionState.BUSY
    connection.request = request
    connection.long = long
    connection.since = node.now
    connection.suspected = 0
    connection.activity_requested = False
    connection.next_query_at = 0.0
    connection.query_interval = 0.0
    known.running += 1
    known.running_long += long


def mark_long(node: NodeState, connection: Connection) -> None:
    """Mark the running statement of a connection as a long job."""
    if connection.long or connection.request is None:
        return
    connection.long = True
    node.connections.servers[connection.server].running_long += 1


def release(node: NodeState, connection: Connection) -> None:
    """Remove the ended statement from a connection and free its slot.

    The connection becomes idle, or pinned if a transaction is still open.
    """
    known = node.connections.servers[connection.server]
    known.running -= 1
    known.running_long -= connection.long
    connection.request = None
    connection.long = False
    if connection.transaction is not None:
        connection.state = ConnectionState.PINNED
        connection.since = node.now
        return
    _make_idle(node, connection)


def find_idle(node: NodeState, server: str) -> Connection | None:
    """Return the most recently used idle connection, None without one.

    The connection stays idle until `acquire` is called.
    """
    known = node.connections.servers.get(server)
    if known is None or not known.idle:
        return None
    return node.connections.connections[known.idle[-1]]


def remove_connection(
    node: NodeState, number: int, *, failed: bool = False
) -> Connection | None:
    """Remove a connection that has closed; return it if it was known.

    Args:
        failed: whether it failed to open or closed by itself, which delays the next
            opening by `REOPEN_DELAY`.
    """
    connection = node.connections.connections.pop(number, None)
    if connection is None:
        return None
    known = node.connections.servers[connection.server]
    known.numbers.discard(number)
    if connection.state is ConnectionState.OPENING:
        known.opening -= 1
    if connection.state is ConnectionState.IDLE:
        known.idle.remove(number)
    if connection.request is not None:
        known.running -= 1
        known.running_long -= connection.long
    if failed:
        known.reopen_after = node.now + REOPEN_DELAY
    return connection


def close(node: NodeState, number: int, out: Effects) -> Connection | None:
    """Close a connection in any state; return it if it was known."""
    connection = remove_connection(node, number)
    if connection is not None:
        out.append(CloseBackend(connection=number))
    return connection


def close_idle(node: NodeState, server: str, out: Effects) -> None:
    """Close the idle and opening connections of a server that gets no new jobs."""
    known = node.connections.servers.get(server)
    if known is None:
        return
    for number in list(known.numbers):
        state = node.connections.connections[number].state
        if state in (ConnectionState.IDLE, ConnectionState.OPENING):
            close(node, number, out)


def _make_idle(node: NodeState, connection: Connection) -> None:
    """Mark a connection as idle, and as its server's most recently used one."""
    connection.state = ConnectionState.IDLE
    connection.since = node.now
    node.connections.servers[connection.server].idle.append(connection.number)
