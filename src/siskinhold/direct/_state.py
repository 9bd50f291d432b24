"""State of one VM's direct core."""

import enum
import random
from dataclasses import dataclass, field

from ..model import Position
from ._account_state import AccountState
from ._copy_state import CopyState
from ._database_state import Database
from ._effects import Effect
from ._events import ServersRead
from ._pool_state import PoolState
from ._rate_state import RateState
from ._relays import RelayTerms
from ._server_state import Connection, Server
from ._settings import DEFAULT_DRAIN, CallerLimits
from ._speed_state import SpeedState
from ._stop_counts import StopCounts
from ._types import (
    Answer,
    Configuration,
    Revision,
    Route,
    Statement,
    TransactionState,
    VmEntry,
)

Effects = list[Effect]


@dataclass(slots=True, kw_only=True)
class Transaction:
    """A caller's open transaction.

    Args:
        began_at: when its `BEGIN` arrived.
        active_at: when its last statement arrived, else its `BEGIN`.
        connection: the connection it runs on, None before its first statement.
        failed: whether it has failed, so that it can only be rolled back.
        failure_unreported: whether its caller has yet to be told that it failed.
        wrote: whether a write was sent.
        leader_confirmed: whether the primary was proved to lead since `began_at`.
    """

    session: "Session"
    route: Route
    read_only: bool
    began_at: float
    active_at: float
    connection: Connection | None = None
    failed: bool = False
    failure_unreported: bool = False
    wrote: bool = False
    leader_confirmed: bool = False


@dataclass(slots=True, kw_only=True)
class Session:
    """A caller's connection.

    Args:
        values: acknowledged values of the session's variables.
        prepared: prepared statements by the caller's name: whether they write, and
            their text.
        position: log position of the session's last acknowledged commit.
        work: the statement under way.
        closing: whether to close the session once it has no open transaction.
        end_ordered: whether its connection is to be closed.
        active_at: when its last statement arrived or was answered.
        held: bytes of its values and prepared statements.
        account: name of its client account, empty without one.
        key: the key by which its caller was identified.
    """

    number: int
    database: str
    account: str = ""
    key: str = field(default="", repr=False)
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[bool, str]] = field(default_factory=dict)
    position: Position | None = None
    transaction: Transaction | None = None
    work: "Job | None" = None
    closing: bool = False
    end_ordered: bool = False
    active_at: float = 0.0
    held: int = 0

    @property
    def state(self) -> TransactionState:
        """State of its transaction, as reported to the caller."""
        if self.transaction is None:
            return TransactionState.NONE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN


class JobState(enum.Enum):
    """Progress of a job.

    Attributes:
        QUEUED: it waits for a connection.
        RUNNING: it was given to a connection, or to two.
        UNCONFIRMED: its answer waits for proof that the primary led.
        ENDED: it was answered, or its caller has disconnected.
    """

    QUEUED = "queued"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class Job:
    """A statement that a backend server has to run.

    Args:
        arrived_at: when it arrived.
        since: time whose acknowledged commits a read must see, before the staleness of
            the route: when its transaction began, else when it arrived.
        deadline: latest time of the answer to its caller.
        latest_end: latest expected end with which it is admitted to the queue; set when
            it is first queued.
        admitted: whether it was admitted, so that only its deadline counts.
        writes: whether it may change data; true for a `COMMIT`.
        leader_only: whether only the primary may run it.
        commits: whether it is a `COMMIT`.
        tried: servers that did not run it, with the time of their refusal.
        attempts: how often it was given to a connection.
        losses: connections that were lost while they had it.
        connections: connections on which it runs; several once it is hedged.
        placed_at: when it was last given to a first connection.
        after: log position that its server must have applied.
        sent_at: when it was last sent, 0 while its connection is set up.
        hedged: whether it was sent a second time.
        answer: the server's answer while it waits for proof.
        server: the server that last ran it.
        proof_since: the primary must be proved to have led at this time or later.
        proof_strict: whether the proof must also show that no other server accepted
            writes at that time.
    """

    session: Session
    statement: Statement
    route: Route
    arrived_at: float
    since: float
    deadline: float
    writes: bool
    leader_only: bool
    latest_end: float = 0.0
    admitted: bool = False
    commits: bool = False
    state: JobState = JobState.QUEUED
    tried: dict[str, float] = field(default_factory=dict)
    attempts: int = 0
    losses: int = 0
    connections: list[Connection] = field(default_factory=list)
    placed_at: float = 0.0
    after: Position | None = None
    sent_at: float = 0.0
    hedged: bool = False
    answer: Answer | None = None
    server: str = ""
    proof_since: float = 0.0
    proof_strict: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class PendingCaller:
    """A caller that has been neither accepted nor relayed yet.

    Args:
        at: when it connected.
        relayed: whether another VM relays it.
        terms: what that VM said of it, None if it said nothing.
        key: the key that identifies it.
        moves: how often a holder named other VMs for it.
        retry_at: earliest time of the next attempt to relay it.
    """

    database: str
    at: float
    relayed: bool
    terms: RelayTerms | None = None
    key: str = field(default="", repr=False)
    moves: int = 0
    retry_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class VmProbes:
    """This VM's probes of other VMs, by which it finds those that have left.

    Args:
        under_way: name of the VM whose probe has no result yet.
        sent_at: when the last probe was sent.
        suspect: name of a VM that did not answer, None without one.
        suspected_since: since when it has not answered.
        other_is_next: whether another VM than the suspect is probed next.
        reached_at: when another VM was last reached since then; -1 for not, or if one
            was not reached after it.
    """

    under_way: str | None = None
    sent_at: float = -100.0
    suspect: str | None = None
    suspected_since: float = 0.0
    other_is_next: bool = False
    reached_at: float = -1.0


@dataclass(slots=True, kw_only=True)
class DirectState:
    """State of one VM's direct core.

    Args:
        vm: this VM's name.
        zone: its availability zone.
        regions: region by availability zone.
        grace: time from SIGTERM to SIGKILL, in seconds.
        drain: seconds for which a server goes on after the store has accepted its
            report that it drains.
        session_limit: bytes that values and prepared statements of a session may take.
        kept_limit: the same for those that servers keep for all free connections.
        random: seeded generator for every random choice.
        store_era: the store's newest known era, 0 while it has reported none.
        store_era_since: when this VM learned of that era.
        restored_at: when this VM learned that the store was restored.
        registers_at: when it registers again for that, None if it has.
        servers_known: whether a list of servers has been applied.
        servers_revision: store revision of the newest list of servers.
        servers_read_at: when the newest list that was up to date was requested.
        servers_era_since: when the first list of its era was applied.
        deferred_servers: list of servers that arrived before the configuration.
        resumed_at: when this VM last continued after a pause.
        work_resumes_at: until when the periodic work is postponed after a pause.
        tick_skipped: whether the last tick was left out for that.
        newest_version: the newest version of the configuration that was applied.
        copy: how current the copy of the configuration is.
        connections_limit: lowest connection limit of any server, 0 if it is unknown.
        published_at: when this VM last published that limit.
        pending_callers: callers that wait until it is known which VM serves them.
        calls: purpose and database of each outstanding call to the store or the
            platform, by number.
        next_number: next unused number of a connection or a call.
        vms: the registered VMs.
        vms_known: whether the list of VMs has been read.
        vms_requested_at: when the list of VMs was last requested.
        vm_probes: probes of other VMs.
        holders: the connection holders, which are the VMs with connections to backend
            servers.
        is_holder: whether this VM is a connection holder.
        skipped_holders: holders that were unavailable, with the time of the next try.
        relayed: callers that are relayed to a holder, by session.
        accounts: what is known of client accounts beside the configuration.
        rates: counts of their operations.
        speeds: usual times of statements at the servers.
        pools: counts of what happens to connections to backend servers.
        ready: whether this VM was last reported as ready for callers.
        shutdown_at: when the shutdown was requested, None before.
        stop_grace: the grace period when it was requested.
        ending_at: when all statements were answered for its end, None before.
        stop_counts: what has happened since then.
        stopped: whether the end of the process was ordered.
        pending_updates: names of databases whose queue and unconfirmed answers have to
            be reconsidered.
    """

    vm: str
    zone: str
    regions: dict[str, str]
    grace: float
    random: random.Random
    drain: float = DEFAULT_DRAIN
    session_limit: int = CallerLimits().session
    kept_limit: int = CallerLimits().kept
    now: float = 0.0
    started_at: float = 0.0
    configuration: Configuration | None = None
    store_era: int = 0
    store_era_since: float = 0.0
    restored_at: float = -100.0
    registers_at: float | None = None
    servers: dict[str, Server] = field(default_factory=dict)
    servers_revision: Revision = Revision(number=-1)
    servers_read_at: float = -100.0
    servers_era_since: float = -100.0
    servers_known: bool = False
    deferred_servers: ServersRead | None = None
    resumed_at: float = -100.0
    work_resumes_at: float = -100.0
    tick_skipped: bool = False
    newest_version: int = 0
    copy: CopyState = field(default_factory=CopyState)
    connections_limit: int = 0
    published_at: float = -100.0
    pending_callers: dict[int, PendingCaller] = field(default_factory=dict)
    databases: dict[str, Database] = field(default_factory=dict)
    sessions: dict[int, Session] = field(default_factory=dict)
    connections: dict[int, Connection] = field(default_factory=dict)
    calls: dict[int, tuple[str, str]] = field(default_factory=dict)
    next_number: int = 1
    vms: tuple[VmEntry, ...] = ()
    vms_known: bool = False
    vm_probes: VmProbes = field(default_factory=VmProbes)
    holders: list[VmEntry] = field(default_factory=list)
    is_holder: bool = True
    skipped_holders: dict[str, float] = field(default_factory=dict)
    relayed: dict[int, PendingCaller] = field(default_factory=dict)
    accounts: AccountState = field(default_factory=AccountState)
    rates: RateState = field(default_factory=RateState)
    speeds: SpeedState = field(default_factory=SpeedState)
    pools: PoolState = field(default_factory=PoolState)
    vms_requested_at: float = -100.0
    ready: bool = False
    shutdown_at: float | None = None
    stop_grace: float = 0.0
    ending_at: float | None = None
    stop_counts: StopCounts = field(default_factory=StopCounts)
    stopped: bool = False
    pending_updates: set[str] = field(default_factory=set)

    @property
    def region(self) -> str:
        """The region of this VM."""
        return self.regions.get(self.zone, "")

    def allocate_number(self) -> int:
        """Return an unused number for a connection or a call."""
        number = self.next_number
        self.next_number += 1
        return number

    def members(self, service: str) -> list[Server]:
        """Return the known servers of a database, including draining and lost ones."""
        found = []
        for server in self.servers.values():
            if server.entry.service == service:
                found.append(server)
        return found

    def leader_of(self, database: Database) -> Server | None:
        """Return the server of the database's leader, None if it is unknown."""
        if database.leader is None:
            return None
        return self.servers.get(database.leader.server)
