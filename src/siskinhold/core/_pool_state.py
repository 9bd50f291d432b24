"""What is kept of pools, works and transactions."""

from dataclasses import dataclass, field

from ..model import RequestId
from ._queue import Job, JobQueue, Queue


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction, pinned to one backend connection.

    Args:
        id: the identity of its BEGIN.
        connection: the connection.
        server: the backend server's name.
        origin: the entry VM.
        database: the database.
        region: the region of the pool it is in.
        used: when a statement of it last began or ended.
    """

    id: RequestId
    connection: int
    server: str
    origin: str
    database: str
    region: str
    used: float


@dataclass(slots=True, kw_only=True)
class Demand:
    """Slot time of short work, a sum that decays.

    Args:
        seconds: the sum at the time `at`.
        count: number of statements in the sum, which decays likewise.
        at: when it last changed.
    """

    seconds: float = 0.0
    count: float = 0.0
    at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Pool:
    """The queue of one database in one region.

    Args:
        database: database name.
        region: region name.
        taken_at: when this VM took it over.
        owned: whether this VM owns it; if not it only finishes what it has.
        primary_paused: whether jobs that need the primary wait for a switchover
            to end.
        queue: the waiting work.
        pinned: waiting statements of open transactions.
        next_search_at: earliest time of the next search of a long queue for works
            that no server here can serve.
        demand: short work that any server may run, and that of the primary.
    """

    database: str
    region: str
    taken_at: float = 0.0
    owned: bool = True
    primary_paused: bool = False
    queue: Queue = field(default_factory=JobQueue)
    pinned: list[Job] = field(default_factory=list)
    next_search_at: float = 0.0
    demand: tuple[Demand, Demand] = field(default_factory=lambda: (Demand(), Demand()))


@dataclass(slots=True, kw_only=True)
class PoolsState:
    """State of `_pools`.

    Args:
        pools: pools by (database, region).
        jobs: all works that are not yet answered, by request.
        beginning: works whose START TRANSACTION has not been answered.
        transactions: open transactions by identity.
        unresolved_keys: idempotency keys by database whose last attempt ended as
            unknown, with the time until which they are remembered.
    """

    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)
    jobs: dict[RequestId, Job] = field(default_factory=dict)
    beginning: set[RequestId] = field(default_factory=set)
    transactions: dict[RequestId, Transaction] = field(default_factory=dict)
    unresolved_keys: dict[tuple[str, str], float] = field(default_factory=dict)
