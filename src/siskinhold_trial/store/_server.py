"""Serves the store stand-in over HTTP and applies its faults."""

import asyncio
import ssl
from collections import Counter

from aiohttp import web

from ._control import ControlRoutes
from ._engine import MAX_VALUE_BYTES, StoreEngine
from ._faults import Outage, StoreFaults
from ._service import ERA_HEADER, ServiceRoutes, refuse_malformed
from ._vm_list import VmList

# Seconds between checks whether the connection of a withheld call has closed.
WITHHOLD_POLL_SECONDS = 0.05


class StoreServer:
    """Serves a `StoreEngine` and a `VmList` on a service and a control port.

    Args:
        engine: the objects.
        vms: the list of VMs.
        host: IP address to listen on.
        port: service port; 0 for any free one.
        control_port: control port; 0 for any free one.
        tls: TLS context of the service port, None for plain HTTP.
    """

    def __init__(
        self,
        *,
        engine: StoreEngine,
        vms: VmList,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.engine = engine
        self.vms = vms
        self.faults = StoreFaults()
        self.counters: Counter[str] = Counter()
        self.port = port
        self.control_port = control_port
        self._host = host
        self._tls = tls
        self._service = web.AppRunner(
            self._make_service(), access_log=None, shutdown_timeout=0.1
        )
        self._control = web.AppRunner(
            self._make_control(), access_log=None, shutdown_timeout=0.1
        )
        self._site: web.TCPSite | None = None

    @property
    def url(self) -> str:
        """URL of the service port."""
        scheme = "https" if self._tls else "http"
        return f"{scheme}://{self._host}:{self.port}"

    @property
    def control_url(self) -> str:
        """URL of the control port."""
        return f"http://{self._host}:{self.control_port}"

    async def start(self) -> None:
        """Start listening on both ports.

        Raises:
            OSError: if a port can't be bound.
        """
        await self._service.setup()
        await self._listen()
        await self._control.setup()
        await web.TCPSite(self._control, self._host, self.control_port).start()
        self.control_port = self._control.addresses[0][1]

    async def stop(self) -> None:
        """Close both ports and all connections."""
        self._reset_connections()
        await self._service.cleanup()
        await self._control.cleanup()

    async def set_faults(self, faults: StoreFaults) -> None:
        """Replace the active faults.

        Raises:
            OSError: if the service port can't be bound again after an outage.
        """
        if faults.down is not self.faults.down:
            # Waiting watches and withheld calls end without an answer.
            self._reset_connections()
        self.faults = faults
        if faults.down is Outage.REFUSE and self._site is not None:
            await self._site.stop()
            self._site = None
        if faults.down is not Outage.REFUSE and self._site is None:
            await self._listen()

    def read_counters(self) -> dict[str, int]:
        """Return the number of calls by kind, and their sum as `total`."""
        return {**self.counters, "total": sum(self.counters.values())}

    async def _listen(self) -> None:
        site = web.TCPSite(
            self._service,
            self._host,
            self.port,
            ssl_context=self._tls,
            reuse_address=True,
        )
        await site.start()
        self._site = site
        self.port = self._service.addresses[0][1]

    def _reset_connections(self) -> None:
        if self._service.server is None:
            return
        for connection in self._service.server.connections:
            if connection.transport is not None:
                connection.transport.abort()

    def _make_service(self) -> web.Application:
        application = web.Application(
            middlewares=[self._apply_faults, refuse_malformed],
            # Above the size limit of a value, so that a larger value is rejected by
            # the engine with a `StoreFailure` and not by the HTTP library.
            client_max_size=2 * MAX_VALUE_BYTES,
        )
        routes = ServiceRoutes(engine=self.engine, vms=self.vms)
        routes.add_to(application.router)
        return application

    def _make_control(self) -> web.Application:
        application = web.Application(middlewares=[refuse_malformed])
        ControlRoutes(server=self).add_to(application.router)
        return application

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler):
        kind = request.match_info.route.name or "unknown"
        self.counters[kind] += 1
        if self.faults.delay > 0:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down is not Outage.NO:
            await self._withhold(request)
        response = await handler(request)
        if self.engine.era:
            response.headers[ERA_HEADER] = str(self.engine.era)
        if self.faults.down is not Outage.NO:
            await self._withhold(request)
        if kind == "write" and response.status == 200:
            if self.faults.consume_lost_answer():
                await self._reset_connection(request)
        return response

    async def _withhold(self, request: web.Request) -> None:
        while request.transport is not None and not request.transport.is_closing():
            await asyncio.sleep(WITHHOLD_POLL_SECONDS)
        raise web.HTTPServiceUnavailable()

    async def _reset_connection(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable()
