"""State of pools, their jobs and their transactions."""

from dataclasses import dataclass, field

from ..model import RequestId
from ._queue import Job, JobQueue, Queue


@dataclass(slots=True, kw_only=True)
class Transaction:
    """An open transaction, pinned to one backend connection.

    Args:
        id: request id of its BEGIN.
        connection: the connection.
        server: the backend server's name.
        origin: the entry VM.
        database: the database.
        region: the region of its pool.
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
    """Slot time used by short jobs, as an exponentially decaying sum.

    Args:
        seconds: the sum at the time `at`.
        count: number of statements in the sum, decayed in the same way.
        at: when it last changed.
    """

    seconds: float = 0.0
    count: float = 0.0
    at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Pool:
    """The pool of one database in one region.

    Args:
        database: database name.
        region: region name.
        owned: whether this VM owns it; if not it only finishes its jobs.
        primary_paused: whether jobs that need the primary wait for a switchover
            to end.
        queue: the waiting jobs, except those of open transactions.
        pinned: waiting statements of open transactions.
        next_search_at: earliest time of the next search of a long queue for jobs
            that no server of the region can serve.
        demand: demand of short jobs that any server may run, and of those that
            need the primary.
    """

    database: str
    region: str
    owned: bool = True
    primary_paused: bool = False
    queue: Queue = field(default_factory=JobQueue)
    pinned: list[Job] = field(default_factory=list)
    next_search_at: float = 0.0
    demand: tuple[Demand, Demand] = field(default_factory=lambda: (Demand(), Demand()))


@dataclass(slots=True, kw_only=True)
class PoolsState:
    """State of `_pools`, `_answers` and `_owners`.

    Args:
        pools: pools by (database, region).
        jobs: all unanswered jobs by request id.
        beginning: request ids of jobs whose START TRANSACTION is unanswered.
        transactions: open transactions by id.
    """

    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)
    jobs: dict[RequestId, Job] = field(default_factory=dict)
    beginning: set[RequestId] = field(default_factory=set)
    transactions: dict[RequestId, Transaction] = field(default_factory=dict)
