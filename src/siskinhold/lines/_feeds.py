"""Tasks that follow the store's configuration and server list.

They use the cheapest calls that keep the data fresh enough.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from ..direct import (
    Configuration,
    ConfigurationChecked,
    ConfigurationConfirmed,
    ConfigurationRead,
    CopySource,
    DirectState,
    Event,
    Revision,
    ServersRead,
    VmEntry,
    compute_confirmed_period,
    uses_accounts,
)
from ._client import HistoryGone, PlatformClient, StoreUnavailable
from ._clock import read_clock

WATCH_TIMEOUT = 2.5
"""Seconds that a watch on the configuration waits. It bounds the time until a watch on
an unresponsive connection is noticed, and is shorter than the time within which a new
configuration must be in force."""

WATCH_LATENCY = 0.1
"""Seconds that the answer to a watch may take beyond its wait."""

CHECK_WAIT = 0.001
"""Seconds that a check of the configuration waits for a change."""

CHECK_TIMEOUT = 0.4
"""Seconds until a check fails: less than a holder has to accept a relayed caller, and
more than the slowest answer that the store is expected to give."""

CHECK_FEED = "configuration_check"
"""Name of the checks among the feeds of `StoreHealth`."""

WATCHES_PER_BOUND = 5
"""Watches that fit into the time within which a key's withdrawal must take effect: a
watch is confirmed when it ends, by the time at which it was sent."""

DEAF_PERIOD = 1.0
"""Seconds of changes that a watch may miss before the store drops its history."""

FRESH_LIST_INTERVAL = 0.9
"""Seconds after an up-to-date list of servers in which further reads may be stale."""

POLL_INTERVAL = 1.0
"""Seconds between two reads of the list of servers, or of a configuration that can't be
watched. A server is listed as draining seconds before it stops."""

STALE_PERIOD = 5.0
"""Seconds after the start of an era in which a stale read may return data, and a
revision, of the era before."""

MISSING_PERIOD = 4.0
"""Seconds for which a server counts as just missing: longer than the time after which
a primary that stays missing is replaced."""

FIRST_CHECK_DELAY = 0.01
"""Seconds until a VM that needs no store data first checks again whether it does. The
delay doubles with each check, as the need arises soon after the start or not at all."""

MAX_CHECK_DELAY = 0.2
"""Maximum seconds between two such checks."""

FIRST_RETRY_DELAY = 0.1
"""Seconds until the first retry of a failed call; doubled with each failure."""

MAX_RETRY_DELAY = 2.0
"""Maximum seconds until a failed call is retried."""

CONFIRMING_RETRY_DELAY = 0.5
"""The same for a VM that has to know of withdrawn keys: callers wait for it."""

_log = logging.getLogger(__name__)


class StoreHealth:
    """Tracks which feeds of the store currently fail, and when its era began.

    Attributes:
        configuration_revision: store revision up to which changes of the configuration
            are known, None if a watch can't continue from one.
    """

    def __init__(self) -> None:
        self.configuration_revision: Revision | None = None
        self._failing: set[str] = set()
        self._era_began_at = -STALE_PERIOD
        self._watch_limit: asyncio.Timeout | None = None

    @property
    def failing(self) -> bool:
        """Whether any feed fails."""
        return bool(self._failing)

    def mark(self, feed: str, *, fails: bool) -> None:
        """Record whether a feed fails."""
        if fails:
            self._failing.add(feed)
        else:
            self._failing.discard(feed)

    @property
    def era_began_recently(self) -> bool:
        """Whether stale reads may return data of the era before."""
        return read_clock() - self._era_began_at < STALE_PERIOD

    def was_restored_since(self, at: float) -> bool:
        """Return whether the store began an era after a time."""
        return self._era_began_at >= at

    def begin_era(self) -> None:
        """Record that the store began a new era, and end the watch that waits."""
        self._era_began_at = read_clock()
        if self._watch_limit is not None:
            self._watch_limit.reschedule(asyncio.get_running_loop().time())
            self._watch_limit = None

    async def limit_watch(self, watch: Awaitable):
        """Return a watch's result.

        Raises:
            HistoryGone: if a new era begins meanwhile. The revision that the watch
                waits for may be given out again.
        """
        try:
            async with asyncio.timeout(None) as self._watch_limit:
                return await watch
        except TimeoutError:
            raise HistoryGone from None
        finally:
            self._watch_limit = None


class _RetryBackoff:
    """Exponential backoff of one feed; logs its first failure and its recovery."""

    def __init__(self, *, name: str, health: StoreHealth) -> None:
        self._name = name
        self._health = health
        self._failures = 0

    async def pause(self, error: Exception, limit: float = MAX_RETRY_DELAY) -> None:
        """Record a failure and wait before the next attempt, for `limit` at most."""
        if self._failures == 0:
            _log.warning("event=feed_lost feed=%s error=%s", self._name, error)
            self._health.mark(self._name, fails=True)
        delay = min(limit, FIRST_RETRY_DELAY * 2 ** min(self._failures, 8))
        self._failures += 1
        await asyncio.sleep(delay)

    def record_success(self) -> None:
        """Record a successful call and reset the delay."""
        if self._failures:
            _log.warning(
                "event=feed_regained feed=%s failures=%d", self._name, self._failures
            )
            self._health.mark(self._name, fails=False)
        self._failures = 0


def compute_watch_timeout(state: DirectState) -> float:
    """Return the seconds that a watch on the configuration waits.

    Each watch confirms the copy before the time that the one before has confirmed gets
    too old.
    """
    period = compute_confirmed_period(state) - DEAF_PERIOD
    timeout = min(WATCH_TIMEOUT, period / 2 - WATCH_LATENCY)
    bound = state.accounts.bounds.withdrawal
    if bound is None or not uses_accounts(state):
        return timeout
    return min(timeout, bound / WATCHES_PER_BOUND)


def needs_confirmation(state: DirectState) -> bool:
    """Return whether callers wait for the configuration to be confirmed."""
    return state.accounts.bounds.withdrawal is not None and uses_accounts(state)


async def follow_configuration(
    client: PlatformClient,
    emit: Callable[[Event], None],
    is_needed: Callable[[], bool],
    health: StoreHealth,
    get_watch_timeout: Callable[[], float] = lambda: WATCH_TIMEOUT,
    confirms: Callable[[], bool] = lambda: False,
) -> None:
    """Emit each new configuration as soon as the store reports it; never returns.

    It is read once, then watched; it is read again after a time in which this VM did
    not need it, or if the store has dropped the changes since the last one, or was
    restored. After that a stale read gives no revision to watch from: the store may
    give it out again. A store that has no history for a watch is polled.

    Args:
        is_needed: returns whether this VM needs the data now.
        health: is updated with the success of each call.
        get_watch_timeout: returns the seconds that a watch waits.
        confirms: returns whether callers wait for the configuration to be confirmed.
    """
    backoff = _RetryBackoff(name="configuration", health=health)
    revision = None
    # A stale first read could bring back a route that was removed before the start.
    fresh = True
    read_at = read_clock()
    watched = True
    while True:
        if not is_needed():
            await _wait_until_needed(is_needed)
            # A stale read could return an older version than callers may see.
            revision, fresh = None, True
            health.configuration_revision = None
        confirmed_at = None
        source = CopySource.WATCH
        try:
            if revision is None:
                source = CopySource.STORE if fresh else CopySource.STALE
                read_at = read_clock()
                revision, configuration = await client.read_configuration(fresh=fresh)
                confirmed_at = read_at if fresh else None
                if not fresh and health.era_began_recently:
                    revision = None
                fresh = revision is None
            else:
                sent_at = read_clock()
                revision, configuration = await health.limit_watch(
                    client.watch_configuration(revision, get_watch_timeout())
                )
                confirmed_at = sent_at - DEAF_PERIOD
                watched = True
        except HistoryGone:
            # A stale read could return a revision whose history is dropped as well.
            revision, fresh = None, True
            health.configuration_revision = None
            if not watched and not health.was_restored_since(read_at):
                await asyncio.sleep(POLL_INTERVAL)
            watched = False
            continue
        except StoreUnavailable as error:
            # A store that is overloaded may still answer stale reads, but these don't
            # show whether keys were withdrawn.
            fresh = not fresh or confirms()
            limit = CONFIRMING_RETRY_DELAY if confirms() else MAX_RETRY_DELAY
            await backoff.pause(error, limit)
            continue
        health.configuration_revision = revision
        if revision is not None:
            backoff.record_success()
            health.mark(CHECK_FEED, fails=False)
        if configuration is not None:
            event = ConfigurationRead(
                at=read_clock(), configuration=configuration, source=source
            )
            emit(event)
        if confirmed_at is not None:
            now = read_clock()
            emit(ConfigurationConfirmed(at=now, confirmed_at=confirmed_at))


async def check_configuration(
    client: PlatformClient, emit: Callable[[Event], None], health: StoreHealth
) -> None:
    """Emit what the store says of the configuration now, or that it says nothing.

    It is asked for changes since the known revision, as the configuration is large.
    """
    failed = True
    try:
        async with asyncio.timeout(CHECK_TIMEOUT):
            confirmed_at, configuration = await _read_changes(client, health)
        failed = False
        if configuration is not None:
            event = ConfigurationRead(
                at=read_clock(),
                configuration=configuration,
                source=CopySource.STORE,
            )
            emit(event)
        emit(ConfigurationConfirmed(at=read_clock(), confirmed_at=confirmed_at))
    except (StoreUnavailable, HistoryGone, TimeoutError) as error:
        _log.warning("event=configuration_unchecked error=%r", error)
    finally:
        health.mark(CHECK_FEED, fails=failed)
        emit(ConfigurationChecked(at=read_clock(), failed=failed))


async def _read_changes(
    client: PlatformClient, health: StoreHealth
) -> tuple[float, Configuration | None]:
    """Return a newer configuration, if any, and the time before which all are known."""
    sent_at = read_clock()
    revision = health.configuration_revision
    if revision is not None:
        try:
            _, configuration = await client.watch_configuration(revision, CHECK_WAIT)
            return sent_at - DEAF_PERIOD, configuration
        except HistoryGone:
            sent_at = read_clock()
    _, configuration = await client.read_configuration(fresh=True)
    return sent_at, configuration


async def _wait_until_needed(is_needed: Callable[[], bool]) -> None:
    """Wait until store data is needed."""
    pause = FIRST_CHECK_DELAY
    while not is_needed():
        await asyncio.sleep(pause)
        pause = min(MAX_CHECK_DELAY, 2 * pause)


class _MissingEntries:
    """Servers that were listed before and are missing since a short time."""

    def __init__(self) -> None:
        self._listed: set[str] = set()
        self._missing: dict[str, float] = {}

    def update(self, listed: set[str], now: float) -> None:
        """Record the names in a new list."""
        for name in self._listed - listed:
            self._missing[name] = now
        self._listed = listed
        for name, since in list(self._missing.items()):
            if name in listed or now - since >= MISSING_PERIOD:
                del self._missing[name]

    @property
    def recent(self) -> bool:
        """Whether a server is missing since a short time."""
        return bool(self._missing)


async def follow_servers(
    client: PlatformClient,
    emit: Callable[[Event], None],
    is_needed: Callable[[], bool],
    health: StoreHealth,
) -> None:
    """Emit the list of servers periodically; never returns.

    Reads may be stale, except the first one, one in `FRESH_LIST_INTERVAL`, those after
    an empty list, those while an entry is missing, as stale data could lack an entry
    that has returned, and those after a restore: their data, and revisions, could be of
    the era before.

    Args:
        is_needed: returns whether this VM needs the data now.
        health: is updated with the success of each call.
    """
    backoff = _RetryBackoff(name="servers", health=health)
    fresh = True
    fresh_at = -FRESH_LIST_INTERVAL
    missing = _MissingEntries()
    while True:
        if not is_needed():
            await _wait_until_needed(is_needed)
            fresh = True
            continue
        try:
            read_at = read_clock()
            due = read_at - fresh_at >= FRESH_LIST_INTERVAL
            stale = not (fresh or due or health.era_began_recently)
            revision, entries = await client.list_servers(fresh=not stale)
        except StoreUnavailable as error:
            # A store that is overloaded may still answer stale reads.
            fresh_at = read_at + POLL_INTERVAL - FRESH_LIST_INTERVAL
            await backoff.pause(error)
            continue
        backoff.record_success()
        if stale and health.era_began_recently:
            continue
        missing.update({entry.server for entry in entries}, read_clock())
        fresh = not entries or missing.recent
        if not stale:
            fresh_at = read_at
        emit(
            ServersRead(
                at=read_clock(),
                revision=revision,
                entries=entries,
                read_at=None if stale else read_at,
            )
        )
        await asyncio.sleep(POLL_INTERVAL)


async def register_vm(
    client: PlatformClient, entry: VmEntry, health: StoreHealth
) -> None:
    """Add this VM to the list of VMs, once the store accepts it."""
    backoff = _RetryBackoff(name="registration", health=health)
    while True:
        try:
            await client.register_vm(entry, fresh=False)
        except StoreUnavailable as error:
            await backoff.pause(error)
            continue
        backoff.record_success()
        return
