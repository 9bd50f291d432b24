"""The queue of one pool: what waits, and what goes next."""

import abc
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from ..model import Outcome, Position, Request, RequestId, StatementKind

PRIORITY_CLASS_COUNT = 4
"""Priority classes: marked writes, other writes, strong reads, browsing reads."""
SCAN_LIMIT = 64
"""Works of a lane that are offered to one server, which bounds a take's cost."""
SHORT_QUANTUM = 0.02
"""Seconds of service that a tenant gets a turn for short work."""
LONG_QUANTUM = 1.0
"""Seconds of service that a tenant gets a turn for long work."""
MAX_LONG_WAIT = 1.0
"""Seconds that the oldest long work waits before it goes before short work."""


@dataclass(slots=True, kw_only=True)
class Job:
    """A request in the hands of its pool owner.

    Args:
        request: what to run.
        origin: the entry VM that waits for the answer.
        region: the region of the pool that took it.
        arrived: when it was taken.
        deadline: when its caller gives up.
        shape: hash of the statement without its literals.
        attempts: how often it was given to a connection.
        server: the backend server it runs on; empty while it waits.
        connection: the connection it runs on; 0 while it waits.
        started: when it was last given to a connection.
        answered: when the backend server answered, None before.
        term: term of the server when the statement was given to it.
        outcome: the server's answer while it waits for confirmation.
        position: position of a write, read after it ran.
        may_have_run: whether an earlier attempt may have had an effect.
        expected: usual service time of its shape in seconds.
        long: whether it counts as long work while it waits.
    """

    request: Request
    origin: str
    region: str
    arrived: float
    deadline: float
    shape: int = 0
    attempts: int = 0
    server: str = ""
    connection: int = 0
    started: float = 0.0
    answered: float | None = None
    term: int = 0
    outcome: Outcome | None = None
    position: Position | None = None
    may_have_run: bool = False
    expected: float = 0.0
    long: bool = False

    @property
    def id(self) -> RequestId:
        """The request's identity."""
        return self.request.id

    @property
    def needs_primary(self) -> bool:
        """Whether only the primary may run it."""
        request = self.request
        return request.kind is not StatementKind.READ or request.transaction is not None


def find_priority_class(job: Job) -> int:
    """Return a work's priority class, 0 being the first to be served."""
    if job.request.marks.once:
        return 0
    if job.needs_primary:
        return 1
    if job.request.need is not None:
        return 2
    return 3


class Queue(abc.ABC):
    """Waiting work of one pool."""

    __slots__ = ()

    @abc.abstractmethod
    def push(self, job: Job) -> None:
        """Add a work."""

    @abc.abstractmethod
    def take(
        self,
        accept: Callable[[Job], bool],
        now: float,
        *,
        allow_long: bool = True,
        leads: bool = True,
    ) -> Job | None:
        """Remove and return the next work that `accept` allows, or None.

        Args:
            now: the time in seconds.
            allow_long: whether long work may be taken.
            leads: whether work that needs the primary may be taken.
        """

    @abc.abstractmethod
    def remove(self, job: Job) -> None:
        """Remove a work, if it waits."""

    @abc.abstractmethod
    def count_ahead(self, job: Job) -> int:
        """Return how many works would be served before a work pushed now."""

    @abc.abstractmethod
    def __iter__(self) -> Iterator[Job]:
        """Iterate over the waiting work; the queue may change meanwhile."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return how many works wait."""


@dataclass(slots=True, kw_only=True)
class Tenant:
    """The waiting work of one tenant in one lane, earliest deadline first.

    Args:
        jobs: (deadline, push number, work).
        deficit: seconds of service it may take before the next tenant's turn.
    """

    jobs: SortedList = field(default_factory=SortedList)
    deficit: float = 0.0


class Lane:
    """Waiting work that only differs in tenant and deadline.

    Deficit round robin over the tenants, by expected service time.

    Args:
        quantum: seconds of service that a tenant gets a turn; a single work's
            cost counts up to that, so that each turn serves at least one.
    """

    __slots__ = ("_quantum", "_tenants", "_count")

    def __init__(self, quantum: float) -> None:
        self._quantum = quantum
        self._tenants: OrderedDict[str, Tenant] = OrderedDict()
        self._count = 0

    def push(self, job: Job, number: int) -> None:
        """Add a work under its push number."""
        self._count += 1
        tenant = self._tenants.setdefault(job.request.tenant, Tenant())
        tenant.jobs.add((job.deadline, number, job))

    def remove(self, job: Job, number: int) -> None:
        """Remove a work that waits here."""
        self._count -= 1
        name = job.request.tenant
        tenant = self._tenants[name]
        tenant.jobs.remove((job.deadline, number, job))
        if not tenant.jobs:
            del self._tenants[name]

    def take(self, accept: Callable[[Job], bool]) -> Job | None:
        """Remove and return the next work that `accept` allows, or None.

        At most `SCAN_LIMIT` works are offered. Tenants without an acceptable
        one go to the end, so that the next call offers others.
        """
        left = SCAN_LIMIT
        for _ in range(len(self._tenants)):
            name, tenant = next(iter(self._tenants.items()))
            for index in range(min(left, len(tenant.jobs))):
                left -= 1
                job = tenant.jobs[index][2]
                if accept(job):
                    del tenant.jobs[index]
                    self._charge_tenant(name, tenant, job)
                    return job
            self._tenants.move_to_end(name)
            if left <= 0:
                break
        return None

    def _charge_tenant(self, name: str, tenant: Tenant, job: Job) -> None:
        self._count -= 1
        if not tenant.jobs:
            del self._tenants[name]
            return
        cost = min(job.expected, self._quantum)
        tenant.deficit -= cost
        if tenant.deficit < cost:
            tenant.deficit += self._quantum
            self._tenants.move_to_end(name)

    def __iter__(self) -> Iterator[Job]:
        for tenant in list(self._tenants.values()):
            for _, _, job in list(tenant.jobs):
                yield job

    def __len__(self) -> int:
        return self._count


class JobQueue(Queue):
    """Waiting work by priority class, fair between tenants in each.

    A class has lanes for long and for short work, and for work that needs the
    primary and other work. When the oldest long work has waited for
    `MAX_LONG_WAIT` it goes first.
    """

    __slots__ = ("_lanes", "_places", "_long_jobs", "_count")

    def __init__(self) -> None:
        self._lanes: dict[tuple[int, bool, bool], Lane] = {}
        for priority in range(PRIORITY_CLASS_COUNT):
            for long in (False, True):
                for primary in (True, False):
                    quantum = LONG_QUANTUM if long else SHORT_QUANTUM
                    self._lanes[priority, long, primary] = Lane(quantum)
        self._places: dict[RequestId, tuple[Lane, int]] = {}
        self._long_jobs: dict[RequestId, Job] = {}
        self._count = 0

    def push(self, job: Job) -> None:
        """Add a work."""
        self._count += 1
        lane = self._lanes[find_priority_class(job), job.long, job.needs_primary]
        lane.push(job, self._count)
        self._places[job.id] = (lane, self._count)
        if job.long:
            self._long_jobs[job.id] = job

    def take(
        self,
        accept: Callable[[Job], bool],
        now: float,
        *,
        allow_long: bool = True,
        leads: bool = True,
    ) -> Job | None:
        """Remove and return the next work that `accept` allows, or None."""
        if allow_long and self._long_jobs:
            oldest = next(iter(self._long_jobs.values()))
            if now - oldest.arrived > MAX_LONG_WAIT and accept(oldest):
                self.remove(oldest)
                return oldest
        for (_, long, primary), lane in self._lanes.items():
            if not len(lane) or (long and not allow_long):
                continue
            if primary and not leads:
                continue
            job = lane.take(accept)
            if job is not None:
                self._discard(job)
                return job
        return None

    def remove(self, job: Job) -> None:
        """Remove a work, if it waits."""
        place = self._places.get(job.id)
        if place is None:
            return
        place[0].remove(job, place[1])
        self._discard(job)

    def count_ahead(self, job: Job) -> int:
        """Return how many works of its class and better ones wait for its slots."""
        count = 0
        for priority in range(find_priority_class(job) + 1):
            count += len(self._lanes[priority, job.long, job.needs_primary])
        return count

    def _discard(self, job: Job) -> None:
        del self._places[job.id]
        self._long_jobs.pop(job.id, None)

    def __iter__(self) -> Iterator[Job]:
        for lane in self._lanes.values():
            yield from lane

    def __len__(self) -> int:
        return len(self._places)
