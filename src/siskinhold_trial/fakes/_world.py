"""The simulated environment shared by all fakes: time, randomness and links."""

import asyncio
import heapq
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ._server import FakeServer

TIMER_TOLERANCE_SECONDS = 1e-6
"""Seconds by which a timer of the loop may fire early."""


class Endpoint(Protocol):
    """Name and location of a VM, a server or the store.

    `VmAddress` and `BackendServer` satisfy it.
    """

    name: str
    region: str
    availability_zone: str


class FakeWorld:
    """Schedules calls in a fixed order and simulates latencies and cut links.

    Args:
        loop: the event loop whose clock is used.
        seed: seed of the only random generator.
        zone_delay: one-way delay within an availability zone in seconds.
        region_delay: one-way delay between zones of a region in seconds.
        link_delay: one-way delay between regions in seconds.

    Attributes:
        errors: exceptions of scheduled calls; the loop only logs them, so a
            test should check that there are none.
        servers: backend servers by name, registered by their databases.
    """

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        seed: int = 0,
        zone_delay: float = 0.0002,
        region_delay: float = 0.001,
        link_delay: float = 0.008,
    ) -> None:
        self.loop = loop
        self.random = random.Random(seed)
        self.servers: dict[str, "FakeServer"] = {}
        self.errors: list[Exception] = []
        self._delays = (zone_delay, region_delay, link_delay)
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._last_number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._before_change: list[Callable[[], None]] = []
        self._after_change: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.loop.time()

    def call_later(self, delay: float, call: Callable, *args: object) -> None:
        """Call after `delay` seconds; equal times run in order of scheduling."""
        self._last_number += 1
        due = self.now() + max(0.0, delay)
        heapq.heappush(self._heap, (due, self._last_number, call, args))
        if self._heap[0][1] == self._last_number:
            self._schedule_timer()

    def measure_delay(self, one: Endpoint, other: Endpoint) -> float:
        """Return the one-way delay between two endpoints in seconds."""
        zone, region, link = self._delays
        if one.region != other.region:
            return link
        if one.availability_zone != other.availability_zone:
            return region
        return zone

    def is_open(self, one: Endpoint, other: Endpoint) -> bool:
        """Return whether a message sent now between two endpoints arrives."""
        if not self._cuts and not self._isolated:
            return True
        if one.name in self._isolated or other.name in self._isolated:
            return False
        for left in (one.name, one.region):
            for right in (other.name, other.region):
                if frozenset((left, right)) in self._cuts:
                    return False
        return True

    def cut(self, one: str, other: str) -> None:
        """Cut the link between two named VMs, servers or regions."""
        self._change_links(lambda: self._cuts.add(frozenset((one, other))))

    def heal(self, one: str, other: str) -> None:
        """Restore a link that was cut by `cut`."""
        self._change_links(lambda: self._cuts.discard(frozenset((one, other))))

    def isolate(self, name: str) -> None:
        """Cut all links of a VM or server."""
        self._change_links(lambda: self._isolated.add(name))

    def rejoin(self, name: str) -> None:
        """Restore all links of a VM or server, also those cut by `cut`."""

        def change() -> None:
            self._isolated.discard(name)
            self._cuts = {pair for pair in self._cuts if name not in pair}

        self._change_links(change)

    def observe_links(
        self, before: Callable[[], None], after: Callable[[], None]
    ) -> None:
        """Register functions to call before and after each change of links."""
        self._before_change.append(before)
        self._after_change.append(after)

    def _change_links(self, change: Callable[[], None]) -> None:
        for call in self._before_change:
            call()
        change()
        for call in self._after_change:
            call()

    def _schedule_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self.loop.call_at(self._heap[0][0], self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        limit = self.now() + TIMER_TOLERANCE_SECONDS
        try:
            while self._heap and self._heap[0][0] <= limit:
                _, _, call, args = heapq.heappop(self._heap)
                call(*args)
        except Exception as error:
            self.errors.append(error)
            raise
        finally:
            if self._heap:
                self._schedule_timer()
