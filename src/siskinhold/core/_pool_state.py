"""What is kept of pools, works and transactions."""

from dataclasses import dataclass, field

from ..model import RequestId
from ._queue import Queue, Work, WorkQueue


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
        taken: when this VM took it over.
        owned: whether this VM owns it; if not it only finishes what it has.
        held: whether works that need the primary wait for a switchover to end.
        queue: the waiting work.
        pinned: waiting statements of open transactions.
        redirects_at: earliest time of the next search of a long queue for works
            that no server here can serve.
        demand: short work that any server may run, and that of the primary.
    """

    database: str
    region: str
    taken: float = 0.0
    owned: bool = True
    held: bool = False
    queue: Queue = field(default_factory=WorkQueue)
    pinned: list[Work] = field(default_factory=list)
    redirects_at: float = 0.0
    demand: tuple[Demand, Demand] = field(default_factory=lambda: (Demand(), Demand()))


@dataclass(slots=True, kw_only=True)
class PoolsState:
    """State of `_pools`.

    Args:
        pools: pools by (database, region).
        works: all works that are not yet answered, by request.
        begun: works whose START TRANSACTION has not been answered.
        transactions: open transactions by identity.
        unsettled: idempotency keys by database whose last attempt ended as
            unknown, with the time until which they are remembered.
    """

    pools: dict[tuple[str, str], Pool] = field(default_factory=dict)
    works: dict[RequestId, Work] = field(default_factory=dict)
    begun: set[RequestId] = field(default_factory=set)
    transactions: dict[RequestId, Transaction] = field(default_factory=dict)
    unsettled: dict[tuple[str, str], float] = field(default_factory=dict)
