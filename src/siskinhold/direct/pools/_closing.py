"""End of connections to backend servers."""

from .._connection_life import ConnectionState
from .._effects import CloseBackend, Log
from .._server_state import Connection
from .._state import DirectState, Effects


def remove_connection(state: DirectState, connection: Connection) -> None:
    """Remove a connection that has ended from the state; its jobs are not handled."""
    connection.advance(ConnectionState.CLOSED)
    connection.server.connections.pop(connection.number, None)
    state.connections.pop(connection.number, None)


def close_connection(
    state: DirectState, connection: Connection, out: Effects, reason: str
) -> None:
    """Close a connection; the server rolls back its transaction, if any.

    Jobs on it are not handled here, see `handle_connection_loss`.
    """
    remove_connection(state, connection)
    out.append(CloseBackend(connection=connection.number))
    out.append(
        Log(
            event="backend_closed",
            fields=(("server", connection.server.entry.server), ("reason", reason)),
        )
    )
