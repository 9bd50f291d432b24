"""The proxy as an aiomisc service: adapters, driver and signal handling."""

import asyncio
import contextlib
import logging
import os
import random
import secrets
import signal
import ssl
import time

import aiomisc
from prometheus_client import REGISTRY

from ..adapters import (
    CallerLimits,
    HttpStore,
    MysqlBackends,
    MysqlCallers,
    NngPeers,
    OperatorServer,
    TimelineRecorder,
)
from ..core import Identity, NodeState, find_owner
from ..model import ServerStatus
from ..runtime import AdapterFailed, Driver
from ..settings import Settings
from ..tokens import TokenCodec

REGISTER_RETRY_INTERVAL = 1.0
"""Seconds between attempts to register the VM in the platform's list."""

_log = logging.getLogger(__name__)


class FileUnusable(Exception):
    """A file named in the settings can't be used.

    Args:
        place: section and key of the setting.
        detail: cause of the failure.
    """

    def __init__(self, *, place: str, detail: str) -> None:
        super().__init__(f"{place}: {detail}")
        self.place = place
        self.detail = detail


class ProxyService(aiomisc.Service):
    """One VM's proxy.

    Args:
        settings: the VM's settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        super().__init__()
        self._settings = settings
        self._driver: Driver | None = None
        self._operator: OperatorServer | None = None
        self._recorder: TimelineRecorder | None = None
        self._registration: asyncio.Task | None = None
        self._started = False
        self._early_signal = False

    async def start(self) -> None:
        """Start all adapters and join the fleet.

        Raises:
            AdapterFailed: if an adapter can't be started, for example because its
                address can't be bound.
            FileUnusable: if a file named in the settings can't be used.
        """
        settings = self._settings
        incarnation = time.time_ns() // 1_000_000
        node = _make_node(settings, incarnation)
        store = HttpStore(
            url=settings.store.url, call_timeout=settings.store.timeout_ms / 1000
        )
        callers = _make_callers(settings)
        self._recorder = _make_recorder(settings, incarnation)
        self._driver = Driver(
            node=node,
            callers=callers,
            backends=_make_backends(settings),
            store=store,
            peers=_make_peers(settings),
            recorder=self._recorder,
        )
        self._catch_signals()
        try:
            await self._start_operator(node)
            await self._driver.start()
        except OSError:
            await self._stop_adapters()
            raise
        self._registration = asyncio.create_task(self._register(store))
        _log.info(
            "event=proxy_started vm=%s incarnation=%d pid=%d callers=%d peers=%d "
            "operator=%d",
            settings.vm.name,
            incarnation,
            os.getpid(),
            settings.callers.port,
            settings.peers.port,
            settings.operator.port,
        )
        self._started = True
        if self._early_signal:
            self._driver.request_shutdown()

    async def wait(self) -> None:
        """Wait until a graceful shutdown is complete."""
        await self._driver.stopped.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop all adapters."""
        await self._stop_adapters()
        _log.info("event=proxy_stopped vm=%s", self._settings.vm.name)

    async def _start_operator(self, node: NodeState) -> None:
        """Start the operator port, unless the settings disable it.

        Raises:
            AdapterFailed: if its address can't be bound.
        """
        settings = self._settings
        if settings.operator.port == 0:
            return
        self._operator = OperatorServer(
            node=node,
            host=settings.vm.host,
            port=settings.operator.port,
            find_owner=find_owner,
            registry=REGISTRY,
            read_status=lambda server: _read_status(node, server),
        )
        try:
            await self._operator.start()
        except OSError as error:
            raise AdapterFailed(place="operator", error=error) from error

    async def _register(self, store: HttpStore) -> None:
        """Register this VM in the platform's list, retrying until it succeeds."""
        while (failure := await store.register_vm(self._settings.address)) is not None:
            _log.warning("event=register_failed failure=%s", failure.value)
            await asyncio.sleep(REGISTER_RETRY_INTERVAL)

    def _catch_signals(self) -> None:
        """Handle SIGTERM and SIGINT on the running event loop.

        It precedes the start, since callers may connect before the start is complete.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._begin_shutdown, number)

    def _begin_shutdown(self, number: int) -> None:
        """Start a graceful shutdown; a second signal ends the process at once.

        During the start, the shutdown is put off until the start is complete.
        """
        if self._early_signal or self._driver.node.shutting_down:
            _log.warning("event=ended_at_once signal=%d", number)
            # Open sessions are abandoned, so there is nothing to clean up.
            os._exit(128 + number)
        _log.info("event=shutdown_requested signal=%d", number)
        if not self._started:
            self._early_signal = True
            return
        self._driver.request_shutdown()

    async def _stop_adapters(self) -> None:
        """Stop what has been started and cancel the registration of the VM."""
        if self._registration is not None:
            self._registration.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._registration
        if self._driver is not None:
            await self._driver.stop()
        if self._operator is not None:
            await self._operator.stop()
        if self._recorder is not None:
            self._recorder.close()


def _make_node(settings: Settings, incarnation: int) -> NodeState:
    """Return the initial state of a VM; a seed that is this VM is left out."""
    identity = Identity(
        address=settings.address,
        incarnation=incarnation,
        seeds=tuple(s for s in settings.peers.seeds if s.name != settings.vm.name),
    )
    return NodeState(identity=identity, random=random.Random(secrets.randbits(64)))


def _make_callers(settings: Settings) -> MysqlCallers:
    callers = settings.callers
    return MysqlCallers(
        host=settings.vm.host,
        port=callers.port,
        users=settings.users,
        tokens=TokenCodec(keys=settings.fleet.key),
        limits=CallerLimits(
            max_sessions=callers.max_sessions,
            max_statement_bytes=callers.max_statement_bytes,
            handshake_timeout=callers.handshake_timeout_ms / 1000,
        ),
        ssl=_make_tls(settings),
    )


def _make_tls(settings: Settings) -> ssl.SSLContext | None:
    """Return the TLS context for callers; None if no certificate is set.

    Raises:
        FileUnusable: if the certificate or the key can't be loaded.
    """
    callers = settings.callers
    if not callers.tls_certificate:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    try:
        context.load_cert_chain(callers.tls_certificate, callers.tls_key)
    except OSError as error:
        place = "[callers] tls_certificate"
        raise FileUnusable(place=place, detail=str(error)) from error
    return context


def _make_backends(settings: Settings) -> MysqlBackends:
    return MysqlBackends(
        user=settings.backends.user,
        password=settings.backends.password,
        connect_timeout=settings.backends.connect_timeout_ms / 1000,
    )


def _make_peers(settings: Settings) -> NngPeers:
    return NngPeers(
        vm=settings.vm.name,
        host=settings.vm.host,
        port=settings.peers.port,
        fleet_keys=tuple(settings.fleet.key),
    )


def _make_recorder(settings: Settings, incarnation: int) -> TimelineRecorder:
    """Return the recorder of the timeline.

    Raises:
        FileUnusable: if the file can't be opened.
    """
    try:
        return TimelineRecorder(
            vm=settings.vm.name, incarnation=incarnation, path=settings.timeline.path
        )
    except OSError as error:
        raise FileUnusable(place="[timeline] path", detail=str(error)) from error


def _read_status(node: NodeState, server: str) -> tuple[ServerStatus, float] | None:
    """Return a server's last status and the start time of its query, if known."""
    health = node.health.servers.get(server)
    if health is None or health.status is None:
        return None
    return health.status, health.started
