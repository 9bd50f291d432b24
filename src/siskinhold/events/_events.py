"""The events. Each carries `at`, in seconds of the runtime's monotonic clock."""

from dataclasses import dataclass

from ..messages import Envelope
from ..model import (
    ControlFailure,
    Failed,
    Marks,
    Outcome,
    Position,
    RequestId,
    ServerStatus,
    StatementKind,
    VmAddress,
)
from ..store import StoredObject, StoreResult


@dataclass(slots=True, kw_only=True)
class CallerOpened:
    """A caller connected.

    Args:
        session: number of the caller's connection on this VM, never reused.
        user: authenticated user name.
        database: database named at connection time; empty for none.
    """

    at: float
    session: int
    user: str
    database: str


@dataclass(slots=True, kw_only=True)
class CallerClosed:
    """A caller's connection ended."""

    at: float
    session: int


@dataclass(slots=True, kw_only=True)
class DatabaseSelected:
    """A caller chose its default database."""

    at: float
    session: int
    database: str


@dataclass(slots=True, kw_only=True)
class TokenPresented:
    """A caller presented a session token that passed its check.

    Args:
        positions: position by database name.
    """

    at: float
    session: int
    positions: dict[str, Position]


@dataclass(slots=True, kw_only=True)
class StatementReceived:
    """A caller sent a statement.

    Args:
        session: the caller's connection.
        kind: what the statement needs.
        sql: its text.
        marks: what the caller said about it.
    """

    at: float
    session: int
    kind: StatementKind
    sql: str
    marks: Marks


@dataclass(slots=True, kw_only=True)
class PeerReceived:
    """Another VM sent a message."""

    at: float
    envelope: Envelope


@dataclass(slots=True, kw_only=True)
class BackendOpened:
    """A connection to a backend server is ready."""

    at: float
    connection: int


@dataclass(slots=True, kw_only=True)
class BackendClosed:
    """A connection to a backend server failed to open, or closed while idle."""

    at: float
    connection: int
    failure: ControlFailure


@dataclass(slots=True, kw_only=True)
class BackendLost:
    """The connection closed while a statement was on it.

    Args:
        sent: whether any byte of the statement may have reached the server.
    """

    at: float
    connection: int
    request: RequestId
    sent: bool


@dataclass(slots=True, kw_only=True)
class BackendAnswered:
    """A statement ended on a backend connection.

    Args:
        outcome: `Done` or `Failed`.
        position: the server's log position after a write, else None.
        in_transaction: whether the connection has an open transaction.
    """

    at: float
    connection: int
    request: RequestId
    outcome: Outcome | Failed
    position: Position | None = None
    in_transaction: bool = False


@dataclass(slots=True, kw_only=True)
class StatusReported:
    """A control connection answered a status query, or failed to.

    Args:
        server: the backend server's name.
        call: number of the query.
        status: the report, None on failure.
        failure: why there is none.
    """

    at: float
    server: str
    call: int
    status: ServerStatus | None
    failure: ControlFailure | None = None


@dataclass(slots=True, kw_only=True)
class ActivityReported:
    """A fresh control connection told whether a connection is executing.

    Args:
        connection: the connection asked about.
        executing: None if the server could not be asked.
    """

    at: float
    connection: int
    executing: bool | None


@dataclass(slots=True, kw_only=True)
class ControlAnswered:
    """A fence, promotion or follow order was answered.

    Args:
        server: the backend server's name.
        call: number of the order.
        status: the server's status after the order, None on failure.
        failure: why there is none.
    """

    at: float
    server: str
    call: int
    status: ServerStatus | None
    failure: ControlFailure | None = None


@dataclass(slots=True, kw_only=True)
class StoreAnswered:
    """The store answered a call, or the call failed."""

    at: float
    call: int
    result: StoreResult


@dataclass(slots=True, kw_only=True)
class StoreChanged:
    """A watch delivered changes.

    Args:
        objects: the changed objects, ascending by revision.
        revision: the revision up to which the watch has delivered.
    """

    at: float
    objects: tuple[StoredObject, ...]
    revision: int


@dataclass(slots=True, kw_only=True)
class VmListReported:
    """The platform's list of VMs was read; it lags."""

    at: float
    live: tuple[VmAddress, ...]
    leaving: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class TimeAdvanced:
    """The next due timer may have been reached."""

    at: float


@dataclass(slots=True, kw_only=True)
class Started:
    """The process is ready: adapters listen."""

    at: float


@dataclass(slots=True, kw_only=True)
class ShutdownRequested:
    """The process was asked to shut down gracefully."""

    at: float


Event = (
    CallerOpened
    | CallerClosed
    | DatabaseSelected
    | TokenPresented
    | StatementReceived
    | PeerReceived
    | BackendOpened
    | BackendClosed
    | BackendLost
    | BackendAnswered
    | StatusReported
    | ActivityReported
    | ControlAnswered
    | StoreAnswered
    | StoreChanged
    | VmListReported
    | TimeAdvanced
    | Started
    | ShutdownRequested
)
