"""Timers, kept in the state as a heap of due times."""

import heapq
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class TimerAction:
    """Base class of scheduled actions.

    Each kind of timer is a subclass whose fields identify what it is for.
    """


@dataclass(slots=True)
class Timers:
    """Scheduled actions, returned in order of their due times.

    A timer can't be cancelled: its handler must check that it still applies.

    >>> timers = Timers()
    >>> timers.schedule(2.0, TimerAction())
    >>> timers.next_due()
    2.0
    >>> timers.pop_due(1.0), timers.pop_due(2.0)
    (None, TimerAction())
    """

    _heap: list[tuple[float, int, TimerAction]] = field(default_factory=list)
    _count: int = 0

    def schedule(self, at: float, action: TimerAction) -> None:
        """Schedule `action` for the time `at`, in seconds of the runtime's clock."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, action))

    def next_due(self) -> float | None:
        """Return the earliest due time, or None."""
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> TimerAction | None:
        """Remove and return one action that is due at `now`, or None."""
        if not self._heap or self._heap[0][0] > now:
            return None
        return heapq.heappop(self._heap)[2]
