"""The service that runs the direct core in a VM's process."""

import asyncio
import contextlib
import functools
import logging
import os
import random
import secrets
import signal
import socket

from prometheus_client import CollectorRegistry

from ..direct import (
    AccountState,
    CopyState,
    DirectState,
    Log,
    SpeedState,
    VmEntry,
    VmSettings,
    needs_servers,
)
from ..listener import STOP_SIGNALS
from ..observability import Metrics
from ._backends import LineBackends
from ._callers import LineCallers
from ._client import PlatformClient
from ._clock import read_clock
from ._codec import LineCodec
from ._driver import DirectDriver
from ._feeds import (
    StoreHealth,
    check_configuration,
    compute_watch_timeout,
    follow_configuration,
    follow_servers,
    needs_confirmation,
    register_vm,
)
from ._http import HttpAnswer
from ._inquiries import answer_inquiry
from ._log import DecisionLog, LineHandler
from ._memory import MemoryAccount
from ._metrics import METRICS
from ._presence import PresencePort
from ._probe import ProbeServer
from ._sharing import answer_snapshot, request_snapshots
from ._supervision import keep_running

SETTINGS_CHECK_INTERVAL = 2.0
"""Seconds between two checks whether the settings file has changed."""

RESERVED_DESCRIPTORS = 400
"""File descriptors reserved for files, backend servers and the store."""

_log = logging.getLogger(__name__)


class DirectService:
    """A VM's proxy that serves the line protocol.

    Args:
        settings: the VM's settings.
        codec: wire format of callers and backend servers.
        make_client: creates the platform client on the running loop.
        ready_path: path of the load balancer's readiness probe.
        reload: reads the settings file again; returns None if it is unreadable.
        fingerprint: returns a value that changes with the settings file, None if it is
            unreadable.
        listener: socket that already listens for callers; by default one is opened.
        signals_blocked_at: when the process began to block `STOP_SIGNALS`, by
            `read_clock`; None if it does not.
    """

    def __init__(
        self,
        *,
        settings: VmSettings,
        codec: LineCodec,
        make_client,
        ready_path,
        reload,
        fingerprint,
        listener: socket.socket | None = None,
        signals_blocked_at: float | None = None,
    ) -> None:
        self._listener = listener
        self._signals_blocked_at = signals_blocked_at
        self._settings = settings
        self._codec = codec
        self._make_client = make_client
        self._ready_path = ready_path
        self._reload = reload
        self._read_fingerprint = fingerprint
        self._tasks: list[asyncio.Task] = []
        self._client: PlatformClient | None = None
        self._started = False
        self._shutdown_requested_at: float | None = None
        self._reload_requested = False

    async def start(self) -> None:
        """Listen, and start the tasks that follow the store.

        Raises:
            OSError: if an address can't be bound.
        """
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._catch_signals(loop)
        self._log = DecisionLog(vm=settings.name)
        logging.basicConfig(
            level=logging.WARNING,
            handlers=[LineHandler(log=self._log, clock=read_clock)],
        )
        logging.getLogger("siskinhold").setLevel(logging.INFO)
        registry = CollectorRegistry()
        metrics = Metrics(METRICS, registry)
        limits = settings.caller_limits
        memory = MemoryAccount(limit=limits.memory, observe=metrics.observe)
        self._client = self._make_client(settings)
        self._callers = LineCallers(
            host=settings.host,
            port=settings.caller_port,
            relay_port=settings.relay_port,
            listener=self._listener,
            codec=self._codec,
            limit=max(1, settings.descriptors - RESERVED_DESCRIPTORS),
            limits=limits,
            observe=metrics.observe,
            memory=memory,
        )
        self._backends = LineBackends(
            vm=settings.name,
            codec=self._codec,
            memory=memory,
            answer_limit=limits.answer,
            observe=metrics.observe,
        )
        self._probe = ProbeServer(
            host=settings.host,
            ready_path=self._ready_path,
            ready_port=settings.ready_port,
            metrics_port=settings.metrics_port,
            control_port=settings.control_port,
            registry=registry,
            max_connections=limits.requests,
            observe=metrics.observe,
        )
        self.driver = DirectDriver(
            entry=_make_vm_entry(settings),
            state=_make_state(settings),
            callers=self._callers,
            backends=self._backends,
            client=self._client,
            probe=self._probe,
            log=self._log,
            metrics=metrics,
        )
        self._probe.answer_peer = self._answer_peer
        health = StoreHealth()
        self._client.follow_era(functools.partial(self._begin_era, health))
        self._backends.start(self.driver.emit)
        await self._callers.start(self.driver.emit)
        await self._probe.start()
        self._presence = PresencePort(
            host=settings.host,
            port=settings.metrics_port,
            state=self.driver.state,
            emit=self.driver.emit,
        )
        await self._presence.start()
        self.driver.presence = self._presence
        self.driver.check_configuration = functools.partial(
            check_configuration, self._client, self.driver.emit, health
        )
        self.driver.start()
        for name, start in self._list_tasks(health).items():
            self._tasks.append(loop.create_task(keep_running(name, start)))
        self._started = True
        if self._shutdown_requested_at is not None:
            self.driver.request_shutdown(self._shutdown_requested_at)
        if self._reload_requested:
            self._reload_settings()
        self._log_event(
            "started",
            pid=os.getpid(),
            zone=settings.zone,
            callers=settings.caller_port,
            ready=settings.ready_port,
            metrics=settings.metrics_port,
        )

    def _list_tasks(self, health: StoreHealth) -> dict:
        """Return the functions that start the process's tasks, by name."""
        client, emit = self._client, self.driver.emit
        return {
            "settings": self._watch_settings,
            "relays": self._callers.watch_relays,
            "silent_callers": self._callers.watch_silent_callers,
            "registration": functools.partial(
                register_vm, client, _make_vm_entry(self._settings), health
            ),
            "configuration": functools.partial(
                follow_configuration,
                client,
                emit,
                self._needs_store_data,
                health,
                functools.partial(compute_watch_timeout, self.driver.state),
                functools.partial(needs_confirmation, self.driver.state),
            ),
            "servers": functools.partial(
                follow_servers, client, emit, self._needs_store_data, health
            ),
            "snapshots": functools.partial(
                request_snapshots,
                self.driver.state,
                emit,
                lambda: self._settings.seeds,
                lambda: health.failing,
                self._write_line,
            ),
        }

    async def wait(self) -> None:
        """Return when a graceful shutdown is complete."""
        await self.driver.stopped.wait()

    async def stop(self) -> None:
        """Cancel all tasks and close all connections."""
        self.driver.stop()
        cut_off = await self._callers.stop()
        self._log_event("callers_closed", **cut_off)
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        self._presence.stop()
        await self._backends.stop()
        await self._probe.stop()
        await self._client.close()
        self._log_event("stopped")

    async def _answer_peer(self, path: str) -> HttpAnswer | None:
        """Return the answer to another VM's request, None for an unknown path."""
        answer = answer_snapshot(self.driver.state, path)
        return answer if answer is not None else await answer_inquiry(path)

    def _needs_store_data(self) -> bool:
        """Return whether this VM needs the configuration and the list of servers."""
        return needs_servers(self.driver.state)

    def _begin_era(self, health: StoreHealth, era: int) -> None:
        """Report a new era of the store to the feeds and to the core."""
        health.begin_era()
        self.driver.report_era(era)

    def _catch_signals(self, loop: asyncio.AbstractEventLoop) -> None:
        """Handle signals from now on; they take effect once the service has started."""
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        if STOP_SIGNALS & signal.sigpending():
            # It may have been sent as early as the process began to block it.
            self._shutdown_requested_at = self._signals_blocked_at
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)

    def _begin_shutdown(self) -> None:
        """Begin a graceful shutdown."""
        if self._started:
            self.driver.request_shutdown()
        elif self._shutdown_requested_at is None:
            self._shutdown_requested_at = read_clock()

    async def _watch_settings(self) -> None:
        """Reload the settings whenever their file changes; never returns.

        The platform may change the file without sending a signal.
        """
        known = self._read_fingerprint()
        while True:
            await asyncio.sleep(SETTINGS_CHECK_INTERVAL)
            fingerprint = self._read_fingerprint()
            if fingerprint is None or fingerprint == known:
                continue
            known = fingerprint
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Read the settings file again and apply what can change at run time.

        Other changed settings are only logged; they apply after a restart.
        """
        if not self._started:
            self._reload_requested = True
            return
        settings = self._reload()
        if settings is None:
            self._log_event("reload_failed", reason="settings_unreadable")
            return
        changed = []
        for name in VmSettings.__slots__:
            if getattr(settings, name) != getattr(self._settings, name):
                changed.append(name)
        self.driver.state.grace = settings.grace
        self.driver.state.drain = settings.drain
        self.driver.state.regions = settings.regions
        self._callers.limit = max(1, settings.descriptors - RESERVED_DESCRIPTORS)
        self._settings = settings
        self._log_event("reloaded", changed=",".join(changed) or "nothing")

    def _write_line(self, entry: Log) -> None:
        """Write a log line with the current time."""
        self._log.write(entry, read_clock())

    def _log_event(self, event: str, **fields) -> None:
        """Log an event of the process as an essential line."""
        now = read_clock()
        entry = Log(event=event, fields=tuple(fields.items()), essential=True)
        self._log.write(entry, now)


def _make_vm_entry(settings: VmSettings) -> VmEntry:
    """Return this VM's entry for the list of VMs."""
    return VmEntry(
        name=settings.name,
        host=settings.host,
        relay_port=settings.relay_port,
        zone=settings.zone,
        size=settings.size,
        takes_terms=True,
    )


def _make_state(settings: VmSettings) -> DirectState:
    """Return the initial state of the core."""
    return DirectState(
        vm=settings.name,
        zone=settings.zone,
        regions=settings.regions,
        grace=settings.grace,
        drain=settings.drain,
        session_limit=settings.caller_limits.session,
        kept_limit=settings.caller_limits.kept,
        random=random.Random(secrets.randbits(64)),
        accounts=AccountState(bounds=settings.account_bounds),
        copy=CopyState(bound=settings.configuration_bound),
        speeds=SpeedState(enabled=settings.avoids_slow_servers),
    )
