"""HTTP server for readiness probes, metrics and the requests of other VMs."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from ._clock import read_clock
from ._http import HttpAnswer, HttpServer

METRICS_PATH = "/metrics"
"""Path of the metrics on the metrics port."""

METRICS_INTERVAL = 0.2
"""Seconds for which an answer with the metrics is used again."""


class ProbeServer:
    """Answers readiness probes on one port, metrics and requests of VMs on another.

    Args:
        host: IP address to listen on.
        ready_path: path of the readiness probe.
        ready_port: port of the readiness probe.
        metrics_port: port of `/metrics` and of requests from other VMs, 0 for none.
        control_port: port at which VMs that don't know the others yet ask, 0 for none.
        registry: the metrics to serve.
        max_connections: connections that each port keeps open.
        observe: called with the name, the value and the label of a metric.
    """

    def __init__(
        self,
        *,
        host: str,
        ready_path: str,
        ready_port: int,
        metrics_port: int,
        control_port: int,
        registry: CollectorRegistry,
        max_connections: int,
        observe: Callable,
    ) -> None:
        self.ready = False
        self.answer_peer: Callable | None = None
        self._ready_path = ready_path
        self._registry = registry
        self._metrics = b""
        self._metrics_at = 0.0
        self._servers: list[HttpServer] = []
        ports = (
            (ready_port, self._answer_ready),
            (metrics_port, self._answer_metrics),
            (control_port, self._answer_other_vm),
        )
        for port, answer in ports:
            if not port:
                continue
            server = HttpServer(
                host=host,
                port=port,
                answer=answer,
                max_connections=max_connections,
                observe=observe,
            )
            self._servers.append(server)

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: if an address can't be bound.
        """
        for server in self._servers:
            await server.start()

    async def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            await server.stop()

    def _answer_ready(self, path: str) -> HttpAnswer | None:
        """Return the answer on the readiness port, None for another path."""
        if path != self._ready_path:
            return None
        return HttpAnswer(status=200 if self.ready else 503, body=b"")

    def _answer_metrics(self, path: str):
        """Return the metrics, or the answer to another VM's request."""
        if path != METRICS_PATH:
            return self._answer_other_vm(path)
        now = read_clock()
        if not self._metrics or now - self._metrics_at >= METRICS_INTERVAL:
            self._metrics = generate_latest(self._registry)
            self._metrics_at = now
        return HttpAnswer(status=200, body=self._metrics)

    def _answer_other_vm(self, path: str):
        """Return the answer to another VM's request, as `HttpServer` takes it."""
        return self.answer_peer(path) if self.answer_peer is not None else None
