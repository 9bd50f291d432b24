"""The process of a VM that runs the direct core."""

import asyncio
import contextlib
import functools
import logging
import os
import random
import secrets
import signal
import socket

import aiomisc
from prometheus_client import CollectorRegistry

from ..direct import DirectState, Log, VmEntry, VmSettings, needs_servers
from ..observability import Metrics
from ._backends import LineBackends
from ._callers import LineCallers
from ._client import PlatformClient
from ._clock import read_clock
from ._codec import LineCodec
from ._driver import DirectDriver
from ._feeds import StoreHealth, follow_configuration, follow_servers, register_vm
from ._log import DecisionLog, LineHandler
from ._metrics import METRICS
from ._probe import ProbeServer
from ._sharing import answer_knowledge, ask_others

SETTINGS_INTERVAL = 2.0
"""Seconds between two looks whether the file of the settings has changed."""

RESERVED_DESCRIPTORS = 400
"""Descriptors kept for files, backend servers and the store."""

_log = logging.getLogger(__name__)


class DirectService(aiomisc.Service):
    """One VM's proxy with the line protocol.

    Args:
        settings: the VM's settings.
        codec: the wire of callers and backend servers.
        make_client: makes the client of the platform on the running loop.
        ready_path: path of the load balancer's readiness probe.
        reload: reads the settings again and returns them, None if unreadable.
        stamp: returns a value that changes with the settings' file, None if unreadable.
        listener: listens for callers already; by default a socket is opened.
    """

    def __init__(
        self,
        *,
        settings: VmSettings,
        codec: LineCodec,
        make_client,
        ready_path,
        reload,
        stamp,
        listener: socket.socket | None = None,
    ) -> None:
        super().__init__()
        self._listener = listener
        self._settings = settings
        self._codec = codec
        self._make_client = make_client
        self._ready_path = ready_path
        self._reload = reload
        self._stamp = stamp
        self._tasks: list[asyncio.Task] = []
        self._client: PlatformClient | None = None

    async def start(self) -> None:
        """Listen, and follow what the store says.

        Raises:
            OSError: if an address can't be bound.
        """
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._log = DecisionLog(vm=settings.name)
        logging.basicConfig(
            level=logging.WARNING,
            handlers=[LineHandler(log=self._log, clock=read_clock)],
        )
        registry = CollectorRegistry()
        self._client = self._make_client(settings)
        self._callers = LineCallers(
            host=settings.host,
            port=settings.caller_port,
            relay_port=settings.relay_port,
            listener=self._listener,
            codec=self._codec,
            limit=max(1, settings.descriptors - RESERVED_DESCRIPTORS),
        )
        self._backends = LineBackends(vm=settings.name, codec=self._codec)
        self._probe = ProbeServer(
            host=settings.host,
            ready_path=self._ready_path,
            ready_port=settings.ready_port,
            metrics_port=settings.metrics_port,
            registry=registry,
        )
        self.driver = DirectDriver(
            state=_make_state(settings),
            callers=self._callers,
            backends=self._backends,
            client=self._client,
            probe=self._probe,
            log=self._log,
            metrics=Metrics(METRICS, registry),
        )
        self._probe.tell = functools.partial(answer_knowledge, self.driver.state)
        health = StoreHealth()
        self._backends.start(self.driver.emit)
        await self._callers.start(self.driver.emit)
        await self._probe.start()
        self.driver.start()
        for follower in (
            self._watch_settings(),
            register_vm(self._client, _make_entry(settings), health),
            follow_configuration(
                self._client, self.driver.emit, self._is_serving, health
            ),
            follow_servers(self._client, self.driver.emit, self._is_serving, health),
            ask_others(
                self.driver.state,
                self.driver.emit,
                lambda: health.failing and self._is_serving(),
                self._write_line,
            ),
        ):
            self._tasks.append(loop.create_task(follower))
        loop.add_signal_handler(signal.SIGTERM, self._begin_shutdown)
        loop.add_signal_handler(signal.SIGINT, self._begin_shutdown)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        self._say(
            "started",
            pid=os.getpid(),
            zone=settings.zone,
            callers=settings.caller_port,
            ready=settings.ready_port,
            metrics=settings.metrics_port,
        )

    async def wait(self) -> None:
        """Return when a graceful shutdown is complete."""
        await self.driver.stopped.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Close everything."""
        self.driver.stop()
        for task in self._tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
        await self._callers.stop()
        await self._backends.stop()
        await self._probe.stop()
        await self._client.close()
        self._say("stopped")

    def _is_serving(self) -> bool:
        return needs_servers(self.driver.state)

    def _begin_shutdown(self) -> None:
        self.driver.request_shutdown()

    async def _watch_settings(self) -> None:
        """Read the settings again whenever their file changes; never returns.

        The file may change without a signal.
        """
        known = self._stamp()
        while True:
            await asyncio.sleep(SETTINGS_INTERVAL)
            stamp = self._stamp()
            if stamp is None or stamp == known:
                continue
            known = stamp
            self._reload_settings()

    def _reload_settings(self) -> None:
        settings = self._reload()
        if settings is None:
            self._say("reload_failed", reason="settings_unreadable")
            return
        changed = []
        for name in VmSettings.__slots__:
            if getattr(settings, name) != getattr(self._settings, name):
                changed.append(name)
        self.driver.state.grace = settings.grace
        self.driver.state.regions = settings.regions
        self._callers.limit = max(1, settings.descriptors - RESERVED_DESCRIPTORS)
        self._settings = settings
        self._say("reloaded", changed=",".join(changed) or "nothing")

    def _write_line(self, entry: Log) -> None:
        self._log.write(entry, read_clock())

    def _say(self, event: str, **fields) -> None:
        now = read_clock()
        entry = Log(event=event, fields=tuple(fields.items()), essential=True)
        self._log.write(entry, now)


def _make_entry(settings: VmSettings) -> VmEntry:
    return VmEntry(
        name=settings.name,
        host=settings.host,
        relay_port=settings.relay_port,
        zone=settings.zone,
        size=settings.size,
    )


def _make_state(settings: VmSettings) -> DirectState:
    return DirectState(
        vm=settings.name,
        zone=settings.zone,
        regions=settings.regions,
        grace=settings.grace,
        random=random.Random(secrets.randbits(64)),
    )
