"""Events of the direct core. Each carries `at`, in seconds of the runtime's clock."""

import enum
from dataclasses import dataclass, field

from ._copy_state import CopySource
from ._relays import RelayTerms
from ._types import (
    Answer,
    Configuration,
    LeaderRecord,
    Revision,
    ServerEntry,
    Statement,
    Suspicion,
    VmEntry,
)


@dataclass(slots=True, kw_only=True)
class CallerOpened:
    """A caller connected and named a database.

    Args:
        relayed: whether another VM relays it.
        terms: what that VM said of it, None if it said nothing.
        key: the key that identifies the caller, empty without one.
    """

    at: float
    session: int
    database: str
    relayed: bool = False
    terms: RelayTerms | None = None
    key: str = field(default="", repr=False)


@dataclass(slots=True, kw_only=True)
class CallerStatement:
    """A caller sent a statement; its previous one has been answered."""

    at: float
    session: int
    statement: Statement


@dataclass(slots=True, kw_only=True)
class CallerClosed:
    """A caller's connection ended."""

    at: float
    session: int


class LossReason(enum.Enum):
    """Why a connection to a backend server ended or could not be opened.

    Attributes:
        REFUSED: the host refused the TCP connection.
        SILENT: opening it timed out or failed with another network error, or the
            server's host stopped acknowledging data on it.
        CLOSED: it ended after it was established, or the server refused it for another
            reason.
        WRONG_SERVER: another server than the expected one answered.
        OVERLOAD: the server has too many connections.
        GARBLED: the server sent a line that is malformed, out of place or too long.
    """

    REFUSED = "refused"
    SILENT = "silent"
    CLOSED = "closed"
    WRONG_SERVER = "wrong_server"
    OVERLOAD = "overload"
    GARBLED = "garbled"


@dataclass(slots=True, kw_only=True)
class BackendOpened:
    """A connection to a backend server is ready for commands.

    Args:
        answer: the server's answer to the connect request, with its log position.
    """

    at: float
    connection: int
    answer: Answer


@dataclass(slots=True, kw_only=True)
class BackendAnswered:
    """A backend server answered the oldest outstanding command of a connection."""

    at: float
    connection: int
    answer: Answer


@dataclass(slots=True, kw_only=True)
class BackendLost:
    """A connection to a backend server ended or could not be opened."""

    at: float
    connection: int
    reason: LossReason


@dataclass(slots=True, kw_only=True)
class ConfigurationRead:
    """A configuration was read.

    Args:
        source: where it was read.
    """

    at: float
    configuration: Configuration
    source: CopySource = CopySource.STORE


@dataclass(slots=True, kw_only=True)
class ServersRead:
    """The store listed the backend servers.

    Args:
        revision: store revision that the list reflects.
        entries: all readable entries.
        read_at: when the read was sent if its data are up to date, None if they may be
            older.
    """

    at: float
    revision: Revision
    entries: tuple[ServerEntry, ...]
    read_at: float | None = None


@dataclass(slots=True, kw_only=True)
class VmsRead:
    """The store listed the VMs that have registered.

    Args:
        connections: published connection limit, the lowest one of any server; 0 if no
            VM has published it.
    """

    at: float
    vms: tuple[VmEntry, ...]
    connections: int = 0


@dataclass(slots=True, kw_only=True)
class HoldersUnavailable:
    """Some connection holders did not accept a relayed caller; another one may have.

    Args:
        silent: names of holders that did not answer.
        refused: names of holders that refused.
        session: the caller's session if no holder accepted it, else 0.
    """

    at: float
    silent: tuple[str, ...] = ()
    refused: tuple[str, ...] = ()
    session: int = 0


@dataclass(slots=True, kw_only=True)
class CallerMoved:
    """A connection holder told which VMs serve the account of a relayed caller.

    Args:
        vms: names of the VMs, the preferred one first.
    """

    at: float
    session: int
    vms: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class HolderVersionsSeen:
    """Connection holders told the versions of their configurations.

    Args:
        version: the newest one.
        unconfirmed: whether none of them could confirm that its copy is current.
    """

    at: float
    version: int
    unconfirmed: bool = False


@dataclass(slots=True, kw_only=True)
class ConfigurationChecked:
    """A check of the configuration has ended.

    Args:
        failed: whether the store did not answer it. After one that it did,
            `ConfigurationConfirmed` has come before.
    """

    at: float
    failed: bool


@dataclass(slots=True, kw_only=True)
class ConfigurationConfirmed:
    """The store showed that no newer configuration had been accepted before a time.

    Args:
        confirmed_at: that time, in seconds of the runtime's clock.
    """

    at: float
    confirmed_at: float


@dataclass(slots=True, kw_only=True)
class PresenceHeard:
    """Another connection holder reported that it runs.

    Args:
        vm: its name.
        serving: whether it serves client accounts.
        demands: operations a second that callers ask of it, of the accounts that come
            near their rate.
        heard: names of the holders whose reports it receives.
    """

    at: float
    vm: str
    serving: bool
    demands: dict[str, float] = field(default_factory=dict)
    heard: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class VmProbed:
    """A probe of another VM has ended.

    Args:
        vm: the entry of the VM that was probed.
        reached: whether its machine answered.
    """

    at: float
    vm: VmEntry
    reached: bool


@dataclass(slots=True, kw_only=True)
class VmsAsked:
    """Other VMs answered whether they reach a backend server.

    Args:
        call: number of the `AskVms` effect.
        reached: names of VMs that reach it.
        missed: names of VMs that don't.
    """

    at: float
    call: int
    reached: tuple[str, ...]
    missed: tuple[str, ...]


class StoreOutcome(enum.Enum):
    """How a store call ended.

    Attributes:
        DONE: the record was read or written.
        CONFLICT: not written, since the record's revision is not the expected one.
        ABSENT: the record does not exist.
        UNKNOWN: the store did not answer, or answered with an error; a write may have
            taken effect.
    """

    DONE = "done"
    CONFLICT = "conflict"
    ABSENT = "absent"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class LeaderRecordAnswered:
    """A call on a leader record was answered.

    Args:
        call: number of the call.
        outcome: after `CONFLICT`, `record` is the one in the store.
        record: the record, None if it is absent or unreadable.
        revision: the record's revision, with the number 0 if it is absent.
    """

    at: float
    call: int
    outcome: StoreOutcome
    record: LeaderRecord | None = None
    revision: Revision = Revision()


@dataclass(slots=True, kw_only=True)
class StoreEraBegan:
    """The store reported a newer era than before: its first one, or it was restored."""

    at: float
    era: int


@dataclass(slots=True, kw_only=True)
class SuspicionsAnswered:
    """The suspicions in the store were listed, None if the call failed."""

    at: float
    call: int
    suspicions: tuple[Suspicion, ...] | None


class PromotionOutcome(enum.Enum):
    """How the platform answered a promotion order.

    Attributes:
        ACCEPTED: the platform will promote the server.
        REJECTED: it will not.
        UNKNOWN: no usable answer arrived; the order may be carried out.
    """

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(slots=True, kw_only=True)
class PromotionAnswered:
    """A promotion order was answered."""

    at: float
    call: int
    outcome: PromotionOutcome


@dataclass(slots=True, kw_only=True)
class TimeAdvanced:
    """The periodic tick is due, see `compute_tick_delay`."""

    at: float


@dataclass(slots=True, kw_only=True)
class ShutdownRequested:
    """A graceful shutdown of the VM was requested.

    Args:
        requested_at: when it was, if that was before the VM had started.
    """

    at: float
    requested_at: float | None = None


Event = (
    CallerOpened
    | CallerStatement
    | CallerClosed
    | BackendOpened
    | BackendAnswered
    | BackendLost
    | ConfigurationRead
    | ServersRead
    | VmsRead
    | HoldersUnavailable
    | CallerMoved
    | ConfigurationConfirmed
    | ConfigurationChecked
    | HolderVersionsSeen
    | PresenceHeard
    | VmProbed
    | VmsAsked
    | LeaderRecordAnswered
    | StoreEraBegan
    | SuspicionsAnswered
    | PromotionAnswered
    | TimeAdvanced
    | ShutdownRequested
)
