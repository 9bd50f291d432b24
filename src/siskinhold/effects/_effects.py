"""Effect types. The runtime carries out effects in order through its adapters."""

from dataclasses import dataclass

from ..messages import Message
from ..model import BackendServer, Outcome, Position, RequestId
from ..store import StoreCall


@dataclass(slots=True, kw_only=True)
class ReplyCaller:
    """Send the outcome of a statement to its caller.

    Args:
        session: the caller's connection.
        request: identifier of the request.
        outcome: outcome of the statement.
        positions: the session's log positions by database name, for its token.
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
        connection: number of the new connection. It is never reused, so that late
            events of an earlier connection can be told apart.
        server: the backend server to connect to.
        database: default database.
    """

    connection: int
    server: BackendServer
    database: str


@dataclass(slots=True, kw_only=True)
class RunStatement:
    """Run a statement on an open connection that is idle or pinned to a transaction.

    Args:
        connection: number of the connection.
        request: identifier of the request.
        sql: the statement's text.
        key: idempotency key to insert in the same transaction; empty for none.
        autocommit: whether the statement is a transaction of its own.
        want_position: whether to read the log position after the statement.
    """

    connection: int
    request: RequestId
    sql: str
    key: str = ""
    autocommit: bool = True
    want_position: bool = False


@dataclass(slots=True, kw_only=True)
class CloseBackend:
    """Close a backend connection, even while it runs a statement. No event follows."""

    connection: int


@dataclass(slots=True, kw_only=True)
class QueryStatus:
    """Query the status of a backend server; answered by `StatusReported`.

    Args:
        server: the backend server.
        call: number of the query.
        fresh: whether to open a new control connection even if the existing one
            seems to work.
        timeout: timeout in seconds.
    """

    server: BackendServer
    call: int
    fresh: bool = False
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class QueryActivity:
    """Query whether a backend connection is executing a statement.

    The query uses a new control connection and is answered by `ActivityReported`.

    Args:
        connection: number of the backend connection.
        server: the backend server that it is connected to.
        timeout: timeout in seconds.
    """

    connection: int
    server: BackendServer
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class FenceServer:
    """Raise a server's term, so that it refuses log entries of lower terms.

    Answered by `ControlAnswered`.
    """

    server: BackendServer
    call: int
    term: int
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class PromoteServer:
    """Make a fenced server the primary of the term at which it was fenced.

    Answered by `ControlAnswered`.
    """

    server: BackendServer
    call: int
    term: int
    timeout: float = 0.6


@dataclass(slots=True, kw_only=True)
class FollowServer:
    """Make a server replicate from the primary of a term.

    Answered by `ControlAnswered`.
    """

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
    """Watch the store objects with a key prefix until `UnwatchStore`.

    Each delivery is a `StoreChanged`. The watch restarts by itself after a failure.
    It ends with a `StoreRestored` if the store's era is another one or its revision
    has gone back.

    Args:
        prefix: prefix of the keys.
        after: revision after which changes are delivered.
        era: the store's era of that revision.
    """

    prefix: str
    after: int
    era: int = 0


@dataclass(slots=True, kw_only=True)
class UnwatchStore:
    """End the store watch."""


@dataclass(slots=True, kw_only=True)
class ReadVmList:
    """Read the platform's list of VMs; answered by `VmListReported`."""


@dataclass(slots=True, kw_only=True)
class Record:
    """Append an event to the timeline.

    Fields that do not apply to the event keep their defaults.

    Args:
        name: event name, lower case with underscores.
        cause: the observation that led to the event.
        database: database name.
        server: backend server name.
        session: number of the caller's connection.
        request: identifier of the request.
        ticket: change ticket number.
        term: term.
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
        value: amount to add to a counter, or the observed value of a histogram.
        label: value of the metric's only label; empty for none.
    """

    metric: str
    value: float = 1.0
    label: str = ""


@dataclass(slots=True, kw_only=True)
class StopListening:
    """Stop accepting callers; connected callers stay connected."""


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
