"""The scheduling policies that are compared."""

from collections.abc import Callable, Iterator

from siskinhold.core import Queue, SchedulingRules, Work


class FifoQueue(Queue):
    """A single first-in-first-out queue without priority classes."""

    __slots__ = ("_works",)

    def __init__(self) -> None:
        self._works: dict[object, Work] = {}

    def push(self, work: Work) -> None:
        """Append a job."""
        self._works[work.id] = work

    def take(
        self,
        accept: Callable[[Work], bool],
        now: float,
        *,
        allow_long: bool = True,
        leads: bool = True,
    ) -> Work | None:
        """Remove and return the first job that `accept` allows, or None."""
        for work in self._works.values():
            if not accept(work):
                continue
            del self._works[work.id]
            return work
        return None

    def remove(self, work: Work) -> None:
        """Remove a job if it is in the queue."""
        self._works.pop(work.id, None)

    def count_ahead(self, work: Work) -> int:
        """Return the number of jobs in the queue."""
        return len(self._works)

    def __iter__(self) -> Iterator[Work]:
        return iter(list(self._works.values()))

    def __len__(self) -> int:
        return len(self._works)


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
