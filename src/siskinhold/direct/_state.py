"""The state of one VM's direct core."""

import enum
import random
from collections import deque
from dataclasses import dataclass, field

from ..model import Position
from ._effects import Effect
from ._events import ServersRead
from ._promotion_state import Completion, Promotion
from ._server_state import Connection, Server
from ._types import Answer, Configuration, Route, Statement, TransactionState, VmEntry

Effects = list[Effect]


@dataclass(slots=True, kw_only=True, frozen=True)
class Leadership:
    """This VM's belief about a database's primary.

    Args:
        since: when it was established, in seconds of the runtime's clock.
    """

    server: str
    term: int
    since: float


@dataclass(slots=True, kw_only=True)
class Floor:
    """A log position that held every commit acknowledged before `at`."""

    at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class Database:
    """A replicated database, called service on its servers.

    Args:
        leader: the believed primary.
        previous_leader: the last believed primary once `leader` was dropped.
        leaderless_since: since when none is known.
        min_term: a term that a primary has surely reached.
        leader_expected_at: when the next one is expected, while none is known.
        floors: in ascending order of time.
        queue: statements that wait for a connection.
        queued_since: since when there were always some.
        hedge_budget: reads that may be sent a second time now.
        unconfirmed: answers that wait for proof that the primary led.
        store_confirmed_at: the leader's term was current at this time.
        store_call: number of the confirming store call, 0 for none.
        store_failed_at: when the last one failed.
        store_retry_at: earliest time of the next one.
        probed_at: when servers were last asked who leads.
        positions_requested_at: when positions were last asked for.
        promotion: this VM's promotion of it.
        completion: the record of this VM's last promotion until it is complete.
        claim_revision: revision of the leader record while another VM promotes.
        claim_seen_at: when that revision was first seen.
    """

    name: str
    leader: Leadership | None = None
    previous_leader: Leadership | None = None
    leaderless_since: float = 0.0
    min_term: int = 0
    leader_expected_at: float = 0.0
    floors: deque[Floor] = field(default_factory=deque)
    queue: list["Job"] = field(default_factory=list)
    queued_since: float = 0.0
    hedge_budget: float = 2.0
    unconfirmed: list["Job"] = field(default_factory=list)
    store_confirmed_at: float = -1.0
    store_call: int = 0
    store_sent_at: float = 0.0
    store_failed_at: float = -100.0
    store_retry_at: float = 0.0
    probed_at: float = -1.0
    positions_requested_at: float = -1.0
    last_read_at: float = -100.0
    lagging_seen_at: float = -100.0
    promotion: Promotion | None = None
    completion: Completion | None = None
    claim_revision: int = -1
    claim_seen_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Transaction:
    """A caller's open transaction.

    Args:
        began_at: when its first byte arrived.
        connection: the one it runs on, None before its first statement.
        failed: whether it can only be ended.
        failure_unreported: whether its caller has yet to learn that it failed.
        wrote: whether a write was sent.
        leader_confirmed: whether the primary was shown to lead since `began_at`.
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
        values: session values that were acknowledged.
        prepared: prepared statements by the caller's name.
        position: the session's last acknowledged commit.
        work: the statement under way.
    """

    number: int
    database: str
    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, tuple[bool, str]] = field(default_factory=dict)
    position: Position | None = None
    transaction: Transaction | None = None
    work: "Job | None" = None
    closing: bool = False
    active_at: float = 0.0

    @property
    def state(self) -> TransactionState:
        """State of its transaction, as the caller is told."""
        if self.transaction is None:
            return TransactionState.NONE
        if self.transaction.failed:
            return TransactionState.FAILED
        return TransactionState.OPEN


class JobState(enum.Enum):
    """Where a statement stands."""

    QUEUED = "queued"
    RUNNING = "running"
    UNCONFIRMED = "unconfirmed"
    ENDED = "ended"


@dataclass(slots=True, kw_only=True)
class Job:
    """A statement that a backend server has to run.

    Args:
        arrived_at: when it arrived; its transaction's time if it belongs to one.
        deadline: when its caller is answered at the latest.
        writes: whether it may change data, a commit included.
        leader_only: whether only the primary may run it.
        tried: servers that did not run it, with the refusal.
        sent_at: when it was last sent.
        answer: the server's answer while it awaits proof.
        proof_since: the primary must be shown to lead at this time or later.
        proof_strict: whether it must be shown that no other server took writes then.
        hedge: connections beside the first one on which a read runs.
    """

    session: Session
    statement: Statement
    route: Route
    arrived_at: float
    since: float
    deadline: float
    writes: bool
    leader_only: bool
    commits: bool = False
    state: JobState = JobState.QUEUED
    tried: dict[str, float] = field(default_factory=dict)
    attempts: int = 0
    connections: list[Connection] = field(default_factory=list)
    sent_at: float = 0.0
    hedged: bool = False
    answer: Answer | None = None
    server: str = ""
    proof_since: float = 0.0
    proof_strict: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class PendingCaller:
    """A caller that has not been greeted yet.

    Args:
        at: when it connected.
        relayed: whether another VM relays it.
    """

    database: str
    at: float
    relayed: bool


@dataclass(slots=True, kw_only=True)
class DirectState:
    """All that one VM's direct core remembers.

    Args:
        vm: this VM's name.
        zone: its availability zone.
        regions: region by availability zone.
        grace: time from the request to leave to the kill, in seconds.
        random: seeded generator for every random choice.
        vms: the registered VMs.
        holders: those that hold connections to backend servers.
        is_holder: whether this VM does.
        skipped_holders: until when holders that can't be reached are passed over.
        relayed: sessions that are relayed to a holder.
        servers_revision: store revision of the newest list of servers.
        deferred_servers: a list of servers that came before the configuration.
        connections_limit: least number of connections that a server takes, 0 if it is
            not known.
        published_at: when this VM last published that number.
        pending_callers: callers that wait until it is known who serves them.
        pending_updates: databases whose waiting statements are looked at again.
    """

    vm: str
    zone: str
    regions: dict[str, str]
    grace: float
    random: random.Random
    now: float = 0.0
    started_at: float = 0.0
    configuration: Configuration | None = None
    servers: dict[str, Server] = field(default_factory=dict)
    servers_revision: int = -1
    servers_known: bool = False
    deferred_servers: ServersRead | None = None
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
    holders: list[VmEntry] = field(default_factory=list)
    is_holder: bool = True
    skipped_holders: dict[str, float] = field(default_factory=dict)
    relayed: set[int] = field(default_factory=set)
    vms_requested_at: float = -100.0
    ready: bool = False
    shutdown_at: float | None = None
    pending_updates: set[str] = field(default_factory=set)

    @property
    def region(self) -> str:
        """The region of this VM."""
        return self.regions.get(self.zone, "")

    def allocate_number(self) -> int:
        """Return a number for a connection or call, never used before."""
        number = self.next_number
        self.next_number += 1
        return number

    def members(self, service: str) -> list[Server]:
        """Return the known servers of a database, leaving ones included."""
        found = []
        for server in self.servers.values():
            if server.entry.service == service:
                found.append(server)
        return found

    def leader_of(self, database: Database) -> Server | None:
        """Return the believed primary if its server is known."""
        if database.leader is None:
            return None
        return self.servers.get(database.leader.server)
