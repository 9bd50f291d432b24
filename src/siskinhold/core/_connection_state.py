"""State of the connections to backend servers."""

import enum
from dataclasses import dataclass, field

from ..model import RequestId


class ConnectionState(enum.Enum):
    """State of a connection.

    `PINNED` connections belong to an open transaction and run no statement.
    """

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@dataclass(slots=True, kw_only=True)
class Connection:
    """One connection to a backend server.

    Args:
        number: its number, never reused, so late events of a closed connection
            match no other one.
        server: the backend server's name.
        state: its state.
        request: the statement that it runs, None without one.
        transaction: the transaction it is pinned to.
        since: when it entered its state.
        long: whether its statement counts as a long job.
        suspected: number of consecutive activity reports that the server executes
            nothing for the connection; the second one closes it.
        activity_requested: whether an activity query is unanswered.
        next_query_at: earliest time of the next activity query.
        query_interval: delay in seconds before the activity query is repeated; 0
            before the first query.
    """

    number: int
    server: str
    state: ConnectionState = ConnectionState.OPENING
    request: RequestId | None = None
    transaction: RequestId | None = None
    since: float = 0.0
    long: bool = False
    suspected: int = 0
    activity_requested: bool = False
    next_query_at: float = 0.0
    query_interval: float = 0.0


@dataclass(slots=True, kw_only=True)
class ServerConnections:
    """The connections of one server.

    Args:
        numbers: all connections.
        idle: the idle ones, most recently used last.
        opening: how many are opening.
        running: how many run a statement: the slots in use.
        running_long: how many of those run long jobs.
        reopen_after: earliest time of the next opening.
    """

    numbers: set[int] = field(default_factory=set)
    idle: list[int] = field(default_factory=list)
    opening: int = 0
    running: int = 0
    running_long: int = 0
    reopen_after: float = 0.0


@dataclass(slots=True, kw_only=True)
class ConnectionsState:
    """State of `_connections` and `_unresponsive`.

    Args:
        connections: all connections by number.
        servers: the connections of each server by its name.
        next_number: number of the next connection.
    """

    connections: dict[int, Connection] = field(default_factory=dict)
    servers: dict[str, ServerConnections] = field(default_factory=dict)
    next_number: int = 1
