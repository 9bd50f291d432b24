"""The surroundings that all fakes of one test share: time, chance and links."""

import asyncio
import heapq
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ._server import FakeServer

TIME_TOLERANCE = 1e-6
"""Seconds by which a loop's timer may be early."""


class Place(Protocol):
    """Where something is; `VmAddress` and `BackendServer` are places."""

    name: str
    region: str
    availability_zone: str


class FakeWorld:
    """Schedules calls in a fixed order, and knows latencies and cut links.

    Args:
        loop: the event loop whose clock is used.
        seed: seed of the only random generator.
        zone_delay: one way within an availability zone, in seconds.
        region_delay: one way between zones of a region, in seconds.
        link_delay: one way between regions, in seconds.

    Attributes:
        errors: what scheduled calls raised; the loop only logs it, so a test
            should check that there is none.
        servers: backend servers by name, entered by their databases.
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
        self._count = 0
        self._armed: asyncio.TimerHandle | None = None
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._before: list[Callable[[], None]] = []
        self._after: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self.loop.time()

    def later(self, delay: float, call: Callable, *args: object) -> None:
        """Call after `delay` seconds; equal times run in order of scheduling."""
        self._count += 1
        due = self.now() + max(0.0, delay)
        heapq.heappush(self._heap, (due, self._count, call, args))
        if self._heap[0][1] == self._count:
            self._arm()

    def measure_delay(self, one: Place, other: Place) -> float:
        """Return the one-way delay between two places in seconds."""
        zone, region, link = self._delays
        if one.region != other.region:
            return link
        if one.availability_zone != other.availability_zone:
            return region
        return zone

    def is_open(self, one: Place, other: Place) -> bool:
        """Return whether anything sent now between two places arrives."""
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
        self._change(lambda: self._cuts.add(frozenset((one, other))))

    def mend(self, one: str, other: str) -> None:
        """Restore a link that `cut` cut."""
        self._change(lambda: self._cuts.discard(frozenset((one, other))))

    def isolate(self, name: str) -> None:
        """Cut all links of a VM or server."""
        self._change(lambda: self._isolated.add(name))

    def rejoin(self, name: str) -> None:
        """Restore all links of a VM or server, those cut singly too."""

        def change() -> None:
            self._isolated.discard(name)
            self._cuts = {pair for pair in self._cuts if name not in pair}

        self._change(change)

    def observe_links(
        self, before: Callable[[], None], after: Callable[[], None]
    ) -> None:
        """Have functions called before and after each change of a link."""
        self._before.append(before)
        self._after.append(after)

    def _change(self, change: Callable[[], None]) -> None:
        for call in self._before:
            call()
        change()
        for call in self._after:
            call()

    def _arm(self) -> None:
        if self._armed is not None:
            self._armed.cancel()
        self._armed = self.loop.call_at(self._heap[0][0], self._run_due)

    def _run_due(self) -> None:
        self._armed = None
        limit = self.now() + TIME_TOLERANCE
        try:
            while self._heap and self._heap[0][0] <= limit:
                _, _, call, args = heapq.heappop(self._heap)
                call(*args)
        except Exception as error:
            self.errors.append(error)
            raise
        finally:
            if self._heap:
                self._arm()
