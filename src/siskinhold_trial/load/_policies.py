"""The scheduling policies that are compared."""

from collections.abc import Callable, Iterator

from siskinhold.core import Job, Queue, SchedulingRules


class FifoQueue(Queue):
    """A single first-in-first-out queue without priority classes."""

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[object, Job] = {}

    def push(self, job: Job) -> None:
        """Append a job."""
        self._jobs[job.id] = job

    def take(
        self,
        accept: Callable[[Job], bool],
        now: float,
        *,
        allow_long: bool = True,
        allow_primary: bool = True,
    ) -> Job | None:
        """Remove and return the first job that `accept` allows, or None."""
        for job in self._jobs.values():
            if not accept(job):
                continue
            del self._jobs[job.id]
            return job
        return None

    def remove(self, job: Job) -> None:
        """Remove a job if it is in the queue."""
        self._jobs.pop(job.id, None)

    def count_ahead(self, job: Job) -> int:
        """Return the number of jobs in the queue."""
        return len(self._jobs)

    def __iter__(self) -> Iterator[Job]:
        return iter(list(self._jobs.values()))

    def __len__(self) -> int:
        return len(self._jobs)


def make_policy() -> SchedulingRules:
    """Return the default policy."""
    return SchedulingRules()


def make_baseline() -> SchedulingRules:
    """Return the baseline: first come, first served with the same slots."""
    return SchedulingRules(
        make_queue=FifoQueue,
        learn_shapes=False,
        reserve_slots=False,
        admit=False,
    )
