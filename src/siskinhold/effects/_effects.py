"""The effects. The runtime carries them out in order through its adapters."""

from dataclasses import dataclass

from ..messages import Message
from ..model import BackendServer, Outcome, Position, RequestId
from ..store import StoreCall


@dataclass(slots=True, kw_only=True)
class ReplyCaller:
    """Answer the statement that a caller waits for.

    Args:
        session: the caller's connection.
        request: the statement's identity.
        outcome: how it ended.
        positions: the session's position by database, for its token.
    """

    session: int
    request: RequestId
    outcome: Outcome
    positions: dict[str, Position]


@dataclass(slots=True, kw_only=True)
class CloseCaller:
    """Close a caller's connection."""

    session: int
    reason: str


@dataclass(slots=True, kw_only=True)
class SendPeer:
    """Send a message to another VM."""

    vm: str
    message: Message


@dataclass(slots=True, kw_only=True)
class OpenBackend:
    """Open a connection to a backend server.

    Args:
        connection: number of the new connection, never reused, so it tells
            generations apart.
        server: where to connect.
        database: default database.
    """

    connection: int
    server: BackendServer
    database: str


@dataclass(slots=True, kw_only=True)
class RunStatement:
    """Run a statement on an open, idle or pinned connection.

    Args:
        connection: where to run it.
        request: the request's identity.
        sql: the text.
        key: idempotency key to insert in the same transaction; empty for none.
        autocommit: whether the statement is a transaction of its own.
        want_position: whether to read the log position afterwards.
    """

    connection: int
    request: RequestId
    sql: str
    key: str = ""
    autocommit: bool = True
    want_position: bool = False


@dataclass(slots=True, kw_only=True)
class CloseBackend:
    """Close a backend connection, whatever is on it. No event follows."""

    connection: int


@dataclass(slots=True, kw_only=True)
class QueryStatus:
    """Ask a backend server for its status on its control connection.

    Args:
        server: whom to ask.
        call: number of the query.
        fresh: use a new connection even if the old one looks healthy.
        timeout: in seconds.
    """

    server: BackendServer
    call: int
    fresh: bool = False
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class QueryActivity:
    """Ask over a fresh control connection whether a connection is executing.

    Args:
        connection: the connection asked about.
        server: the server it is open to.
        timeout: in seconds.
    """

    connection: int
    server: BackendServer
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class FenceServer:
    """Raise a server's term so that it refuses log entries of lower terms."""

    server: BackendServer
    call: int
    term: int
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class PromoteServer:
    """Make a fenced server the primary of the term it was fenced at."""

    server: BackendServer
    call: int
    term: int
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class FollowServer:
    """Make a server follow the primary of a term."""

    server: BackendServer
    call: int
    term: int
    primary: BackendServer
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class CallStore:
    """Call the platform's store; answered by `StoreAnswered`."""

    call: int
    operation: StoreCall
    timeout: float = 2.0


@dataclass(slots=True, kw_only=True)
class WatchStore:
    """Watch all objects from a revision on, until `UnwatchStore`.

    Each delivery is a `StoreChanged`. The watch restarts by itself after a
    failure.
    """

    prefix: str
    after: int


@dataclass(slots=True, kw_only=True)
class UnwatchStore:
    """End the watch."""


@dataclass(slots=True, kw_only=True)
class ReadVmList:
    """Read the platform's list of VMs; answered by `VmListReported`."""


@dataclass(slots=True, kw_only=True)
class Record:
    """Append an event to the time line.

    Args:
        name: event name, lower case with underscores.
        cause: what was seen that led to it.
        database: database name, if one is concerned.
        server: backend server name, if one is concerned.
        session: caller's connection number, if one is concerned.
        request: request identity, if one is concerned.
        ticket: change ticket number, if one is concerned.
        term: term, if one is concerned.
        detail: further key=value pairs.
    """

    name: str
    cause: str = ""
    database: str = ""
    server: str = ""
    session: int = 0
    request: RequestId | None = None
    ticket: int = 0
    term: int = 0
    detail: tuple[tuple[str, str | int | float], ...] = ()


@dataclass(slots=True, kw_only=True)
class Observe:
    """Add a value to a metric.

    Args:
        metric: name without the `siskinhold_` prefix.
        value: amount to add to a counter or value for a histogram.
        label: value of the metric's one label; empty for none.
    """

    metric: str
    value: float = 1.0
    label: str = ""


@dataclass(slots=True, kw_only=True)
class StopListening:
    """Take no new callers; connected ones stay."""


@dataclass(slots=True, kw_only=True)
class Stop:
    """End the process: the graceful shutdown is complete."""


Effect = (
    ReplyCaller
    | CloseCaller
    | SendPeer
    | OpenBackend
    | RunStatement
    | CloseBackend
    | QueryStatus
    | QueryActivity
    | FenceServer
    | PromoteServer
    | FollowServer
    | CallStore
    | WatchStore
    | UnwatchStore
    | ReadVmList
    | Record
    | Observe
    | StopListening
    | Stop
)
