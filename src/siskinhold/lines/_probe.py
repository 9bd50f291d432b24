"""The readiness probe of the load balancer, and the metrics."""

from aiohttp import web
from prometheus_client import CollectorRegistry, generate_latest


class ProbeServer:
    """Answers the readiness probe on one port and serves metrics on another.

    Args:
        host: IP address to listen on.
        ready_path: path of the readiness probe.
        ready_port: its port.
        metrics_port: port of `/metrics`, 0 for none.
        registry: the metrics.
    """

    def __init__(
        self,
        *,
        host: str,
        ready_path: str,
        ready_port: int,
        metrics_port: int,
        registry: CollectorRegistry,
    ) -> None:
        self._host = host
        self._ready_path = ready_path
        self._ready_port = ready_port
        self._metrics_port = metrics_port
        self._registry = registry
        self._runners: list[web.AppRunner] = []
        self.ready = False

    async def start(self) -> None:
        """Start to listen.

        Raises:
            OSError: if an address can't be bound.
        """
        await self._serve(self._ready_port, self._ready_path, self._answer_ready)
        if self._metrics_port:
            await self._serve(self._metrics_port, "/metrics", self._answer_metrics)

    async def _serve(self, port: int, path: str, handler) -> None:
        application = web.Application()
        application.router.add_get(path, handler)
        runner = web.AppRunner(application, access_log=None, handle_signals=False)
        await runner.setup()
        self._runners.append(runner)
        await web.TCPSite(runner, self._host, port, shutdown_timeout=0.1).start()

    async def _answer_ready(self, request: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    async def _answer_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry), content_type="text/plain"
        )

    async def stop(self) -> None:
        """Stop to listen."""
        for runner in self._runners:
            await runner.cleanup()
