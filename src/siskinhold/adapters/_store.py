"""Adapter for the platform's object store over HTTP."""

import asyncio
import logging
import random
import ssl

from result import Err

from .. import effects
from ..events import StoreAnswered, StoreChanged, StoreRestored, VmListReported
from ..model import VmAddress
from ..store import StoreFailure
from ._interfaces import Emit, Store
from ._store_client import StoreClient

logger = logging.getLogger(__name__)

# Time for which the store may hold a watch call. An unresponsive connection is
# detected after this time plus the margin, within the 3 s in which a change ticket has
# to be in force everywhere. Only the watcher of each region, one VM, watches the store:
# with two regions, that is one call per second for the whole fleet.
WATCH_WAIT_SECONDS = 2.0
WATCH_MARGIN_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 60.0
VM_LIST_TIMEOUT_SECONDS = 2.0
# Exponential backoff of the watch after failures. Each delay is drawn from the upper
# half of its range, so that the watchers of two regions do not reconnect at the same
# moment after an outage.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0


class HttpStore(Store):
    """Carries out store effects; reports each failure as an event or a log line.

    Args:
        url: URL of the store.
        tls: TLS context for an `https` URL; None for the default one.
        random_source: random generator for the jitter of the backoff.
        watch_wait: seconds for which the store may hold a watch call.
        call_timeout: upper bound in seconds for the timeout that a call requests.

    Raises:
        ValueError: if `url` is not an absolute http or https URL.
    """

    def __init__(
        self,
        *,
        url: str,
        tls: ssl.SSLContext | None = None,
        random_source: random.Random | None = None,
        watch_wait: float = WATCH_WAIT_SECONDS,
        call_timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> None:
        self._client = StoreClient(url=url, tls=tls)
        self._random = random_source or random.Random()
        self._watch_wait = watch_wait
        self._call_timeout = call_timeout
        self._emit: Emit | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._tasks: set[asyncio.Task] = set()
        self._watch_task: asyncio.Task | None = None
        self._vm_list_task: asyncio.Task | None = None

    async def start(self, emit: Emit) -> None:
        """Open the HTTP client on the running event loop."""
        self._emit = emit
        self._loop = asyncio.get_running_loop()
        await self._client.start()

    async def stop(self) -> None:
        """Cancel the watch and all calls, and close all connections."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.stop()

    def call(self, effect: effects.CallStore) -> None:
        """Start a call; its result is emitted as a `StoreAnswered` event."""
        self._spawn(self._call(effect))

    def watch(self, effect: effects.WatchStore) -> None:
        """Start a watch, replacing the current one.

        Emits `StoreChanged` for changes, and without objects if only the store's
        revision has increased. Ends with `StoreRestored` if the store was restored
        from a copy.
        """
        self.unwatch()
        self._watch_task = self._spawn(
            self._run_watch(effect.prefix, effect.after, effect.era)
        )

    def unwatch(self) -> None:
        """End the watch, if there is one."""
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def read_vm_list(self) -> None:
        """Read the list of VMs; its result is emitted as a `VmListReported` event.

        Emits nothing if the read fails. Does nothing while another read is running.
        """
        if self._vm_list_task is not None and not self._vm_list_task.done():
            return
        self._vm_list_task = self._spawn(self._read_vm_list())

    async def register_vm(self, address: VmAddress) -> StoreFailure | None:
        """Add a VM to the platform's list; return the failure, if any.

        For deployments, such as trials, whose platform does not maintain the list.
        """
        result = await self._client.register_vm(
            address, timeout=VM_LIST_TIMEOUT_SECONDS
        )
        return result.err_value if isinstance(result, Err) else None

    def _spawn(self, coroutine) -> asyncio.Task:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _call(self, effect: effects.CallStore) -> None:
        """Make a store call; emits `StoreAnswered`."""
        timeout = min(effect.timeout, self._call_timeout)
        result = await self._client.call(effect.operation, timeout=timeout)
        self._emit(StoreAnswered(at=self._loop.time(), call=effect.call, result=result))

    async def _read_vm_list(self) -> None:
        """Read the list of VMs; emits `VmListReported`, or logs the failure."""
        result = await self._client.read_vms(timeout=VM_LIST_TIMEOUT_SECONDS)
        if isinstance(result, Err):
            logger.warning("event=vm_list_failed failure=%s", result.err_value.value)
            return
        listing = result.ok_value
        self._emit(
            VmListReported(
                at=self._loop.time(), live=listing.live, leaving=listing.leaving
            )
        )

    async def _run_watch(self, prefix: str, after: int, era: int) -> None:
        """Watch for changes; emits `StoreChanged` for each revision.

        Runs until it is cancelled or the store was restored.
        """
        failures = 0
        while True:
            result = await self._client.changes(
                prefix,
                after=after,
                wait=self._watch_wait,
                timeout=self._watch_wait + WATCH_MARGIN_SECONDS,
            )
            if isinstance(result, Err):
                failures += 1
                await self._sleep_before_retry(failures, after)
                continue
            failures = 0
            changes = result.ok_value
            if changes.era != era or changes.revision < after:
                self._emit(StoreRestored(at=self._loop.time(), era=changes.era))
                return
            if changes.revision == after:
                continue
            after = changes.revision
            self._emit(
                StoreChanged(
                    at=self._loop.time(),
                    objects=changes.objects,
                    revision=after,
                    era=era,
                )
            )

    async def _sleep_before_retry(self, failures: int, after: int) -> None:
        """Log a failed watch call and wait for the backoff delay."""
        # The exponent is limited to avoid an overflow in a long outage.
        max_delay = MIN_RETRY_SECONDS * 2 ** min(failures - 1, 10)
        max_delay = min(max_delay, MAX_RETRY_SECONDS)
        delay = max_delay * self._random.uniform(0.5, 1.0)
        logger.warning(
            "event=watch_failed failures=%d after=%d retry_seconds=%.3f",
            failures,
            after,
            delay,
        )
        await asyncio.sleep(delay)
