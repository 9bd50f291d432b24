"""Recent starts of statements by priority.

Under overload, a waiting statement is overtaken by later arrivals of a higher priority.
Their share of the recent starts shows how much longer it will wait.
"""

import math

AVERAGING_PERIOD = 1.0
"""Seconds after which a start counts for about a third."""

MAX_SHARE = 0.8
"""Upper limit of the share, so that a low priority is not refused altogether."""


class StartCounts:
    """Decaying counts of started statements by priority; 0 is the highest priority."""

    __slots__ = ("_counts", "_decayed_at")

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._decayed_at = 0.0

    def record(self, priority: int, now: float) -> None:
        """Count the start of a statement."""
        self._decay(now)
        self._counts[priority] = self._counts.get(priority, 0.0) + 1.0

    def compute_share_above(self, priority: int) -> float:
        """Return the share of the recent starts that had a higher priority."""
        total = sum(self._counts.values())
        if total <= 0.0:
            return 0.0
        above = 0.0
        for other, count in self._counts.items():
            if other < priority:
                above += count
        return min(MAX_SHARE, above / total)

    def _decay(self, now: float) -> None:
        """Reduce the counts by the time since they were last reduced."""
        factor = math.exp((self._decayed_at - now) / AVERAGING_PERIOD)
        self._decayed_at = now
        for priority in self._counts:
            self._counts[priority] *= factor
