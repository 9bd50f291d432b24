"""Statements, commands and answers of the line protocol, without its wire names."""

import enum
from dataclasses import dataclass, field

from ..model import Position


class StatementKind(enum.Enum):
    """Kind of a caller's statement."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET = "set"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"
    MALFORMED = "malformed"


class Refusal(enum.Enum):
    """Why a statement has no result; `NOT_RUN` lists those with a safe retry.

    Attributes:
        ABORTED: its transaction failed and was not committed.
        LAGGING: the server has not applied the log up to the required position.
        READ_ONLY: the server is a replica, and the statement writes.
        WRONG_SERVER: another server than the expected one answered.
        NO_STATEMENT: no prepared statement has that name.
        IN_DOUBT: it may have been committed.
        UNRECOGNIZED: the server sent an unknown reason.
        DENIED: the caller's key belongs to no client account.
        MOVED: another VM serves the caller's account; VMs tell each other only.
        BEHIND: the VM can't confirm its configuration; VMs tell each other only.
    """

    BUSY = "busy"
    ABORTED = "aborted"
    LAGGING = "lagging"
    READ_ONLY = "read_only"
    WRONG_SERVER = "wrong_server"
    OVERLOAD = "overload"
    NO_STATEMENT = "no_statement"
    NO_DATABASE = "no_database"
    MALFORMED = "malformed"
    FAILED = "failed"
    TIMEOUT = "timeout"
    IN_DOUBT = "in_doubt"
    UNRECOGNIZED = "unrecognized"
    DENIED = "denied"
    MOVED = "moved"
    BEHIND = "behind"


NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.LAGGING,
        Refusal.READ_ONLY,
        Refusal.WRONG_SERVER,
        Refusal.OVERLOAD,
    }
)
"""Refusals by a backend server that ran nothing, so that a retry is safe."""


class TransactionState(enum.Enum):
    """State of a connection's transaction."""

    NONE = "none"
    OPEN = "open"
    FAILED = "failed"


@dataclass(slots=True, kw_only=True, frozen=True)
class Statement:
    """A caller's statement.

    Args:
        request: the request id that the caller chose.
        text: the text as the caller sent it.
        name: variable of `SET`, else name of a prepared statement.
        value: value of `SET`, else arguments of `EXECUTE`.
        shape: text of a prepared statement, without its arguments.
        writes: whether it writes; for `PREPARE`, whether the prepared statement does.
        read_only: for `BEGIN`, whether the transaction only reads.
    """

    request: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    shape: str = ""
    writes: bool = False
    read_only: bool = False


class CommandKind(enum.Enum):
    """Kind of a command to a backend server."""

    RUN = "run"
    EXECUTE = "execute"
    BEGIN = "begin"
    BEGIN_READ = "begin_read"
    ROLLBACK = "rollback"
    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"
    DEALLOCATE = "deallocate"
    STATUS = "status"
    STEP_DOWN = "step_down"
    SUSPEND = "suspend"
    RESUME = "resume"


@dataclass(slots=True, kw_only=True, frozen=True)
class Command:
    """A command to a backend server.

    Args:
        request: the caller's request id; empty for a command of the proxy itself.
        text: for `RUN`, the caller's text.
        name: variable, or name of a prepared statement on this connection.
        value: value of the variable, arguments, or shape to prepare.
        writes: for `PREPARE`, whether the statement writes.
        after: log position that the server must have applied.
        term: for `STEP_DOWN` and `SUSPEND`, the term of the next primary.
    """

    kind: CommandKind
    request: str = ""
    text: str = ""
    name: str = ""
    value: str = ""
    writes: bool = False
    after: Position | None = None
    term: int = 0


@dataclass(slots=True, kw_only=True, frozen=True)
class Answer:
    """A complete answer, from a backend server or to a caller.

    Args:
        rows: the rows as sent.
        signature: the server's proof that it ran the statement, `-` for none.
        refusal: None on success.
        detail: text that accompanies the refusal.
        transaction: state of the connection after the answer.
        position: end of the server's applied log.
        status: the server's status report; only for `STATUS`, `STEP_DOWN`, `SUSPEND`
            and `RESUME`.
    """

    rows: tuple[str, ...] = ()
    signature: str = "-"
    refusal: Refusal | None = None
    detail: str = ""
    transaction: TransactionState = TransactionState.NONE
    position: Position | None = None
    status: "ServerReport | None" = None


@dataclass(slots=True, kw_only=True, frozen=True)
class ServerReport:
    """A backend server's status report.

    Args:
        leads: whether it is the primary.
        term: its term. A new primary's applied log shows an older one until it has
            applied all that it had received.
        received: end of the log that it has received.
        suspended_term: term for which it has suspended replication from primaries of
            older terms, 0 for none.
        backlog: estimated seconds until it has applied its received log, None if that
            was not reported.
    """

    leads: bool
    term: int
    received: Position
    suspended_term: int = 0
    backlog: float | None = None


class Consistency(enum.Enum):
    """Consistency of a route's reads."""

    PRIMARY = "primary"
    BOUNDED_AGE = "bounded_age"
    READ_YOUR_WRITES = "read_your_writes"


@dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """How statements on one database name are handled.

    Args:
        database: the name that callers connect to.
        service: the replicated database that serves it.
        timeout: longest time of a single statement, in seconds.
        target: target latency, in seconds.
        priority: 0 is the most urgent.
        staleness: greatest age of commits that a read may miss, in seconds; without
            effect on routes to the primary.
        anonymous: whether callers need no key.
    """

    database: str
    service: str
    consistency: Consistency
    timeout: float
    target: float
    priority: int
    staleness: float
    anonymous: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class Account:
    """A client account.

    Args:
        rate: operations a second in the whole fleet; None for no limit.
        burst: operations that it may run at once after a pause.
    """

    name: str
    rate: float | None = None
    burst: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class Configuration:
    """The configuration in force.

    Args:
        version: increases with each change.
        routes: the routes by database name.
        connections: connection limit of a single server, by service.
        acknowledging: replicas that must have received a commit before it is
            acknowledged, by service; 0 for a service that is missing.
        idle_transaction: time after which an idle transaction may be ended, in
            seconds.
        accounts: the client accounts by name, None if callers have no keys.
        keys: name of the account that each key belongs to.
    """

    version: int
    routes: dict[str, Route]
    connections: dict[str, int]
    idle_transaction: float
    accounts: dict[str, Account] | None = None
    keys: dict[str, str] = field(default_factory=dict, repr=False)
    acknowledging: dict[str, int] = field(default_factory=dict)


FIRST_ERA = 1
"""Era of a store that was never restored; one that reports no eras counts as such."""

REVISION_BITS = 40
"""Bits of a fence token for the number of a revision; the eras since the first take the
bits above."""


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class Revision:
    """A revision of the store's data; that of a newer era is the greater one.

    A store that is restored from a copy gives out again the numbers since that copy, in
    a new era.

    Args:
        era: the store's era, 0 if it reports none.
        number: the store's count of changes in that era.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"

    def to_token(self) -> int:
        """Return a fence token: a number that is greater for a greater revision.

        In the first era it is the revision's number, as VMs of older versions use it.
        """
        eras = max(self.era, FIRST_ERA) - FIRST_ERA
        return eras << REVISION_BITS | self.number


@dataclass(slots=True, kw_only=True, frozen=True)
class ServerEntry:
    """A backend server's entry in the platform's store, written by the server.

    Args:
        server: its id.
        service: the database whose instance it is.
        host: its IP address.
        port: its port.
        zone: its availability zone.
        slots: statements that it runs concurrently.
        draining: whether it is about to shut down.
        leads: whether it considers itself the primary.
        started: when it started, in milliseconds since the epoch.
    """

    server: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    leads: bool
    started: int


@dataclass(slots=True, kw_only=True, frozen=True)
class VmEntry:
    """A VM's entry in the store, written by the VM.

    Args:
        host: its IP address.
        relay_port: port for callers that other VMs relay; the preceding port serves
            the metrics and the requests of other VMs.
        zone: its availability zone.
        size: its CPU share, in thousandths of a core.
        takes_terms: whether it takes `RelayTerms` with the callers that it is sent; VMs
            of older versions don't.
    """

    name: str
    host: str
    relay_port: int
    zone: str
    size: int
    takes_terms: bool = False

    @property
    def information_port(self) -> int:
        """Port of the metrics and of the requests of other VMs."""
        return self.relay_port - 1


class LeaderState(enum.Enum):
    """State of a database's newest promotion."""

    STABLE = "stable"
    PROMOTING = "promoting"


@dataclass(slots=True, kw_only=True, frozen=True)
class TermStart:
    """Where a term began: what its primary had received when it was promoted.

    Logs of older terms that go on beyond that place were rolled back.
    """

    term: int
    position: Position


@dataclass(slots=True, kw_only=True, frozen=True, order=True)
class ServerPlace:
    """A backend server and the address under which it is or was listed."""

    server: str
    host: str
    port: int


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaderRecord:
    """The record of a database's newest promotion in the store.

    Args:
        server: the primary; while promoting, the primary to be replaced.
        term: its term.
        vm: the VM that wrote the record.
        attempt: random id of the promotion.
        holder: the VM that ordered the newest completed promotion, empty if no lease
            of it has to be waited out.
        starts: where the newest terms began, the oldest first.
        servers: the servers that may hold acknowledged commits, where replicas have to
            acknowledge them.
    """

    state: LeaderState
    server: str
    term: int
    vm: str
    attempt: str
    holder: str
    starts: tuple[TermStart, ...] = ()
    servers: tuple[ServerPlace, ...] = ()


@dataclass(slots=True, kw_only=True, frozen=True)
class Suspicion:
    """One VM's report that it can't reach a primary.

    Args:
        service: the database.
        server: the primary, empty if none is known.
        term: its term, 0 once the suspicion is withdrawn.
        vm: the VM that reports it.
        era: the store's era in which it counts.
    """

    service: str
    server: str
    term: int
    vm: str
    era: int = 0
