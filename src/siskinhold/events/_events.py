"""Event types.

The `at` attribute of each event is the time at which it occurred, in seconds of the
runtime's monotonic clock.
"""

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
        database: default database given at connection time; empty for none.
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
    """A caller presented a valid session token.

    Args:
        session: the caller's connection.
        positions: the token's log positions by database name.
    """

    at: float
    session: int
    positions: dict[str, Position]


@dataclass(slots=True, kw_only=True)
class StatementReceived:
    """A caller sent a statement.

    Args:
        session: the caller's connection.
        kind: kind of the statement.
        sql: the statement's text.
        marks: the caller's execution hints.
    """

    at: float
    session: int
    kind: StatementKind
    sql: str
    marks: Marks


@dataclass(slots=True, kw_only=True)
class PeerReceived:
    """A message from another VM arrived."""

    at: float
    envelope: Envelope


@dataclass(slots=True, kw_only=True)
class BackendOpened:
    """A connection to a backend server is ready."""

    at: float
    connection: int


@dataclass(slots=True, kw_only=True)
class BackendClosed:
    """A connection to a backend server could not be opened, or closed while idle."""

    at: float
    connection: int
    failure: ControlFailure


@dataclass(slots=True, kw_only=True)
class BackendLost:
    """A connection to a backend server closed while it ran a statement.

    Args:
        connection: number of the connection.
        request: the statement's request.
        sent: whether any byte of the statement may have reached the server.
    """

    at: float
    connection: int
    request: RequestId
    sent: bool


@dataclass(slots=True, kw_only=True)
class BackendAnswered:
    """A backend server answered a statement.

    Args:
        connection: number of the connection.
        request: the statement's request.
        outcome: `Done` or `Failed`.
        position: the server's log position after a write; otherwise None.
        in_transaction: whether a transaction is open on the connection.
    """

    at: float
    connection: int
    request: RequestId
    outcome: Outcome | Failed
    position: Position | None = None
    in_transaction: bool = False


@dataclass(slots=True, kw_only=True)
class StatusReported:
    """A status query ended, with a report or with a failure.

    Args:
        server: the backend server's name.
        call: number of the query.
        status: the status report; None on failure.
        failure: why the query failed; None on success.
    """

    at: float
    server: str
    call: int
    status: ServerStatus | None
    failure: ControlFailure | None = None


@dataclass(slots=True, kw_only=True)
class ActivityReported:
    """An activity query over a new control connection ended.

    Args:
        connection: number of the connection that the query was about.
        executing: whether that connection executes a statement; None if the query
            failed.
    """

    at: float
    connection: int
    executing: bool | None


@dataclass(slots=True, kw_only=True)
class ControlAnswered:
    """A fence, promote or follow command ended, with a status or with a failure.

    Args:
        server: the backend server's name.
        call: number of the command.
        status: the server's status after the command; None on failure.
        failure: why the command failed; None on success.
    """

    at: float
    server: str
    call: int
    status: ServerStatus | None
    failure: ControlFailure | None = None


@dataclass(slots=True, kw_only=True)
class StoreAnswered:
    """A call to the store ended, with an answer or with a failure."""

    at: float
    call: int
    result: StoreResult


@dataclass(slots=True, kw_only=True)
class StoreChanged:
    """The store watch delivered changes.

    Args:
        objects: the changed objects, in ascending order of revision.
        revision: the revision up to which the watch has delivered.
        era: the store's era of these versions and revisions.
    """

    at: float
    objects: tuple[StoredObject, ...]
    revision: int
    era: int = 0


@dataclass(slots=True, kw_only=True)
class StoreRestored:
    """The store has gone back to an older copy, which ended the watch.

    Args:
        era: the store's era since then; 0 if the store has no eras.
    """

    at: float
    era: int


@dataclass(slots=True, kw_only=True)
class VmListReported:
    """The platform's list of VMs was read. The list may be out of date."""

    at: float
    live: tuple[VmAddress, ...]
    leaving: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class TimeAdvanced:
    """The next due timer may have been reached."""

    at: float


@dataclass(slots=True, kw_only=True)
class Started:
    """The process is ready: its adapters are listening."""

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
    | StoreRestored
    | VmListReported
    | TimeAdvanced
    | Started
    | ShutdownRequested
)
