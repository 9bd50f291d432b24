"""What the store says, read at the least cost that keeps it fresh enough."""

import asyncio
import logging
from collections.abc import Callable

from ..direct import ConfigurationRead, Event, ServersRead, VmEntry
from ._client import HistoryGone, PlatformClient, StoreUnavailable
from ._clock import read_clock

WATCH_TIMEOUT = 2.5
"""Seconds that a watch on the configuration waits. A watch that was silently cut off is
noticed that soon, within the time that a configuration has to be in force."""

POLL_INTERVAL = 1.0
"""Seconds between two reads of the list of servers. A server that leaves is reported
seconds before it goes."""

FIRST_CHECK_DELAY = 0.01
"""Seconds until a VM that needs no servers looks again whether it does; doubled for
each further look, as the answer changes soon after the start, if ever."""

MAX_CHECK_DELAY = 0.2
"""Greatest number of seconds between two such looks."""

FIRST_RETRY_DELAY = 0.1
"""Seconds until a failed read is tried again; doubled for each further failure."""

MAX_RETRY_DELAY = 2.0
"""Greatest number of seconds until a failed read is tried again."""

_log = logging.getLogger(__name__)


class StoreHealth:
    """Which feeds of the store fail at present."""

    def __init__(self) -> None:
        self._failing: set[str] = set()

    @property
    def failing(self) -> bool:
        """Whether any feed fails."""
        return bool(self._failing)

    def mark(self, feed: str, *, fails: bool) -> None:
        """Take over the state of a feed."""
        if fails:
            self._failing.add(feed)
        else:
            self._failing.discard(feed)


class _RetryBackoff:
    """Pauses after failures, and one log line when a dependency is lost or is back."""

    def __init__(self, *, name: str, health: StoreHealth) -> None:
        self._name = name
        self._health = health
        self._failures = 0

    async def pause(self, error: Exception) -> None:
        """Wait after a failure."""
        if self._failures == 0:
            _log.warning("event=feed_lost feed=%s error=%s", self._name, error)
            self._health.mark(self._name, fails=True)
        delay = min(MAX_RETRY_DELAY, FIRST_RETRY_DELAY * 2 ** min(self._failures, 8))
        self._failures += 1
        await asyncio.sleep(delay)

    def record_success(self) -> None:
        """Note an answer."""
        if self._failures:
            _log.warning(
                "event=feed_regained feed=%s failures=%d", self._name, self._failures
            )
            self._health.mark(self._name, fails=False)
        self._failures = 0


async def follow_configuration(
    client: PlatformClient,
    emit: Callable[[Event], None],
    is_needed: Callable[[], bool],
    health: StoreHealth,
) -> None:
    """Report each configuration as soon as the store tells of it; never returns.

    Args:
        is_needed: whether it is needed.
        health: learns whether the store can be read.
    """
    backoff = _RetryBackoff(name="configuration", health=health)
    revision = None
    fresh = False
    while True:
        if not is_needed():
            await _wait_until_needed(is_needed)
            revision = None
        try:
            if revision is None:
                revision, configuration = await client.read_configuration(fresh=fresh)
                fresh = False
            else:
                revision, configuration = await client.watch_configuration(
                    revision, WATCH_TIMEOUT
                )
        except HistoryGone:
            # A read that may be old could lead to the same gap again.
            revision, fresh = None, True
            continue
        except StoreUnavailable as error:
            await backoff.pause(error)
            continue
        backoff.record_success()
        if configuration is not None:
            emit(ConfigurationRead(at=read_clock(), configuration=configuration))


async def _wait_until_needed(is_needed: Callable[[], bool]) -> None:
    """Wait until something is wanted."""
    pause = FIRST_CHECK_DELAY
    while not is_needed():
        await asyncio.sleep(pause)
        pause = min(MAX_CHECK_DELAY, 2 * pause)


async def follow_servers(
    client: PlatformClient,
    emit: Callable[[Event], None],
    is_needed: Callable[[], bool],
    health: StoreHealth,
) -> None:
    """Report the list of servers again and again; never returns.

    Args:
        is_needed: whether it is needed.
        health: learns whether the store can be read.
    """
    backoff = _RetryBackoff(name="servers", health=health)
    fresh = True
    while True:
        if not is_needed():
            await _wait_until_needed(is_needed)
            continue
        try:
            revision, entries = await client.list_servers(fresh=fresh)
        except StoreUnavailable as error:
            await backoff.pause(error)
            continue
        backoff.record_success()
        fresh = not entries
        emit(ServersRead(at=read_clock(), revision=revision, entries=entries))
        await asyncio.sleep(POLL_INTERVAL)


async def register_vm(
    client: PlatformClient, entry: VmEntry, health: StoreHealth
) -> None:
    """Enter this VM in the list of VMs, however long the store is away."""
    backoff = _RetryBackoff(name="registration", health=health)
    while True:
        try:
            await client.register_vm(entry)
        except StoreUnavailable as error:
            await backoff.pause(error)
            continue
        backoff.record_success()
        return
