"""The platform's object store over HTTP, as an adapter of the runtime."""

import asyncio
import logging
import random
import ssl

from result import Err

from .. import effects
from ..events import StoreAnswered, StoreChanged, VmListReported
from ..model import VmAddress
from ..store import StoreFailure
from ._interfaces import Emit, Store
from ._store_client import StoreClient

logger = logging.getLogger(__name__)

# How long the store may hold a watch, in seconds. A watch whose connection
# went silent is noticed after this and the margin, within the 3 s in which a
# change ticket is to be in force everywhere. Two watchers make one call a
# second for the whole fleet.
WATCH_WAIT_SECONDS = 2.0
WATCH_MARGIN_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 60.0
VM_LIST_TIMEOUT_SECONDS = 2.0
# The watch's back-off after failures, in seconds, doubling. Each delay is drawn
# from its upper half, so that the watchers of two regions do not return at
# the same moment after an outage.
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 2.0


class HttpStore(Store):
    """Carries out store effects; every failure is an event or a log line.

    Args:
        url: URL of the store.
        tls: TLS context for an `https` URL; None for the default one.
        random_source: source of the back-off's jitter.
        watch_wait: seconds for which the store may hold a watch.
        call_timeout: longest time of a call in seconds, whatever it asks for.

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
        self._watch: asyncio.Task | None = None
        self._vm_list: asyncio.Task | None = None

    async def start(self, emit: Emit) -> None:
        """Prepare to carry out effects."""
        self._emit = emit
        self._loop = asyncio.get_running_loop()
        await self._client.start()

    async def stop(self) -> None:
        """End the watch and all calls, and close all connections."""
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._client.stop()

    def call(self, effect: effects.CallStore) -> None:
        """Begin a call; its result is a `StoreAnswered` event."""
        self._spawn(self._call(effect))

    def watch(self, effect: effects.WatchStore) -> None:
        """Begin a watch, in place of any other.

        Emits a `StoreChanged` when there are changes, and one without objects
        when only the revision has grown.
        """
        self.unwatch()
        self._watch = self._spawn(self._run_watch(effect.prefix, effect.after))

    def unwatch(self) -> None:
        """End the watch, if there is one."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    def read_vm_list(self) -> None:
        """Read the list of VMs; its result is a `VmListReported` event.

        Nothing is emitted when the store gives no answer. While a read is
        under way, another one is not begun.
        """
        if self._vm_list is not None and not self._vm_list.done():
            return
        self._vm_list = self._spawn(self._read_vm_list())

    async def register_vm(self, address: VmAddress) -> StoreFailure | None:
        """Enter a VM in the list, in trials; return the failure, if any."""
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
        timeout = min(effect.timeout, self._call_timeout)
        result = await self._client.call(effect.operation, timeout=timeout)
        self._emit(StoreAnswered(at=self._loop.time(), call=effect.call, result=result))

    async def _read_vm_list(self) -> None:
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

    async def _run_watch(self, prefix: str, after: int) -> None:
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
                await self._back_off(failures, after)
                continue
            failures = 0
            changes = result.ok_value
            if changes.revision == after:
                continue
            after = changes.revision
            self._emit(
                StoreChanged(
                    at=self._loop.time(), objects=changes.objects, revision=after
                )
            )

    async def _back_off(self, failures: int, after: int) -> None:
        # The exponent is bounded so that a long outage cannot overflow it.
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
