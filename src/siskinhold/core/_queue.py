"""The queue of one pool: jobs by priority class, fair between tenants."""

import abc
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from ..model import Outcome, Position, Request, RequestId, StatementKind

PRIORITY_CLASS_COUNT = 4
"""Priority classes, highest first: marked writes (`once`), other jobs for the
primary, reads with a required position, other reads."""
SCAN_LIMIT = 64
"""Jobs of a lane that are offered to one server; bounds the cost of `take`."""
SHORT_QUANTUM = 0.02
"""Seconds of service for short jobs that a tenant is granted per turn."""
LONG_QUANTUM = 1.0
"""Seconds of service for long jobs that a tenant is granted per turn."""
MAX_LONG_WAIT = 1.0
"""Seconds after which the oldest long job takes precedence over short jobs."""


@dataclass(slots=True, kw_only=True)
class Job:
    """A request that is queued or running at its pool owner.

    Args:
        request: what to run.
        origin: the entry VM that waits for the answer.
        region: the region of its pool.
        arrived: when it arrived here.
        deadline: when it expires.
        shape: hash of the statement's shape, its text without literals.
        attempts: number of times it was started on a connection.
        server: the backend server it runs on; empty while it waits.
        connection: the connection it runs on; 0 while it waits.
        started: when it was last started on a connection.
        answered: when the backend server answered, None before.
        term: term of the server when the job was last started.
        outcome: the server's answer while it waits for confirmation.
        position: log position of a write, read after it ran.
        may_have_run: whether an earlier attempt may have had an effect.
        expected: usual service time of its shape in seconds.
        long: whether it counts as a long job while it waits.
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
    """Return a job's priority class, 0 being the highest."""
    if job.request.marks.once:
        return 0
    if job.needs_primary:
        return 1
    if job.request.need is not None:
        return 2
    return 3


class Queue(abc.ABC):
    """Interface of the waiting jobs of one pool."""

    __slots__ = ()

    @abc.abstractmethod
    def push(self, job: Job) -> None:
        """Add a job."""

    @abc.abstractmethod
    def take(
        self,
        accept: Callable[[Job], bool],
        now: float,
        *,
        allow_long: bool = True,
        allow_primary: bool = True,
    ) -> Job | None:
        """Remove and return the next job that `accept` allows, or None.

        Args:
            now: the time in seconds.
            allow_long: whether long jobs may be taken.
            allow_primary: whether jobs that need the primary may be taken.
        """

    @abc.abstractmethod
    def remove(self, job: Job) -> None:
        """Remove a job; it has no effect if the job does not wait."""

    @abc.abstractmethod
    def count_ahead(self, job: Job) -> int:
        """Return how many jobs would be served before `job` if it were added now."""

    @abc.abstractmethod
    def __iter__(self) -> Iterator[Job]:
        """Iterate over the waiting jobs; the queue may change during the iteration."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting jobs."""


@dataclass(slots=True, kw_only=True)
class Tenant:
    """The waiting jobs of one tenant in one lane, earliest deadline first.

    Args:
        jobs: tuples of deadline, push number and job.
        deficit: seconds of service left in its turn.
    """

    jobs: SortedList = field(default_factory=SortedList)
    deficit: float = 0.0


class Lane:
    """Waiting jobs that differ only in tenant and deadline.

    Tenants are served by deficit round robin, weighted by expected service time.

    Args:
        quantum: seconds of service that a tenant is granted per turn. A single
            job is charged at most that much, so each turn serves at least one.
    """

    __slots__ = ("_quantum", "_tenants", "_count")

    def __init__(self, quantum: float) -> None:
        self._quantum = quantum
        self._tenants: OrderedDict[str, Tenant] = OrderedDict()
        self._count = 0

    def push(self, job: Job, number: int) -> None:
        """Add a job under its push number."""
        self._count += 1
        tenant = self._tenants.setdefault(job.request.tenant, Tenant())
        tenant.jobs.add((job.deadline, number, job))

    def remove(self, job: Job, number: int) -> None:
        """Remove a job that waits in this lane."""
        self._count -= 1
        name = job.request.tenant
        tenant = self._tenants[name]
        tenant.jobs.remove((job.deadline, number, job))
        if not tenant.jobs:
            del self._tenants[name]

    def take(self, accept: Callable[[Job], bool]) -> Job | None:
        """Remove and return the next job that `accept` allows, or None.

        At most `SCAN_LIMIT` jobs are offered. Tenants without an acceptable job
        move to the end, so that the next call offers the jobs of others.
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
        """Count a job as taken, and charge its expected time to the tenant's turn."""
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
    """A queue by priority class that is fair between the tenants of each class.

    Each class has separate lanes for long and short jobs, each split into jobs
    that need the primary and others. Once the oldest long job has waited for
    `MAX_LONG_WAIT` seconds, it is served first, so that long jobs don't starve.
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
        """Add a job."""
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
        allow_primary: bool = True,
    ) -> Job | None:
        """Remove and return the next job that `accept` allows, or None."""
        if allow_long and self._long_jobs:
            oldest = next(iter(self._long_jobs.values()))
            if now - oldest.arrived > MAX_LONG_WAIT and accept(oldest):
                self.remove(oldest)
                return oldest
        for (_, long, primary), lane in self._lanes.items():
            if not len(lane) or (long and not allow_long):
                continue
            if primary and not allow_primary:
                continue
            job = lane.take(accept)
            if job is not None:
                self._discard(job)
                return job
        return None

    def remove(self, job: Job) -> None:
        """Remove a job; it has no effect if the job does not wait."""
        place = self._places.get(job.id)
        if place is None:
            return
        place[0].remove(job, place[1])
        self._discard(job)

    def count_ahead(self, job: Job) -> int:
        """Return how many comparable jobs wait in its class or a higher one.

        They are long if `job` is long, and need the primary if `job` needs it.
        """
        count = 0
        for priority in range(find_priority_class(job) + 1):
            count += len(self._lanes[priority, job.long, job.needs_primary])
        return count

    def _discard(self, job: Job) -> None:
        """Remove a job that has left its lane from the indexes."""
        del self._places[job.id]
        self._long_jobs.pop(job.id, None)

    def __iter__(self) -> Iterator[Job]:
        for lane in self._lanes.values():
            yield from lane

    def __len__(self) -> int:
        return len(self._places)
