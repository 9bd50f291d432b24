"""Stalls of the soak's own process, which look like the silence of a VM."""

import asyncio
import time

CHECK_INTERVAL = 0.01
"""Seconds between two looks at the clock."""


class StallWatch:
    """Records when the event loop has not run for longer than it was asked to wait."""

    def __init__(self) -> None:
        self._stalls: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Record stalls until the task is cancelled."""
        while True:
            due_at = time.monotonic() + CHECK_INTERVAL
            await asyncio.sleep(CHECK_INTERVAL)
            self.record(due_at, time.monotonic())

    def record(self, began: float, ended: float) -> None:
        """Record a stall, if it is longer than a look at the clock takes."""
        if ended - began > CHECK_INTERVAL:
            self._stalls.append((began, ended))

    def measure(self, began: float, ended: float) -> float:
        """Return the seconds of a period in which the process stood still."""
        total = 0.0
        for start, end in self._stalls:
            total += max(0.0, min(end, ended) - max(start, began))
        return total
