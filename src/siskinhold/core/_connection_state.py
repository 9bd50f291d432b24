"""What is kept of connections to backend servers."""

import enum
from dataclasses import dataclass, field

from ..model import RequestId


class ConnectionState(enum.Enum):
    """What a connection is doing. `PINNED` ones belong to a transaction."""

    OPENING = "opening"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"


@dataclass(slots=True, kw_only=True)
class Connection:
    """One connection to a backend server.

    Args:
        number: its number, never reused: it tells generations apart.
        server: the backend server's name.
        state: what it is doing.
        request: the statement on it, None without one.
        transaction: the transaction it is pinned to.
        since: when it entered its state.
        long: whether the statement on it counts as long work.
        suspected: how often the server said that it is not executing.
        activity_requested: whether the server is being asked.
        next_query_at: earliest time of the next question about the statement.
        query_interval: seconds between the last two questions; 0 before the first.
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
        running_long: how many of those run long work.
        reopen_after: no opening before this time.
    """

    numbers: set[int] = field(default_factory=set)
    idle: list[int] = field(default_factory=list)
    opening: int = 0
    running: int = 0
    running_long: int = 0
    reopen_after: float = 0.0


@dataclass(slots=True, kw_only=True)
class ConnectionsState:
    """State of `_connections`.

    Args:
        connections: all connections by number.
        servers: the connections of each server by its name.
        next_number: number of the next connection.
    """

    connections: dict[int, Connection] = field(default_factory=dict)
    servers: dict[str, ServerConnections] = field(default_factory=dict)
    next_number: int = 1
