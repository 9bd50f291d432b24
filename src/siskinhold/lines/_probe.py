"""HTTP server for readiness probes, metrics and the requests of other VMs."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, generate_latest

from ._http import HttpAnswer, HttpServer

METRICS_PATH = "/metrics"
"""Path of the metrics on the metrics port."""


class ProbeServer:
    """Answers readiness probes on one port, metrics and requests of VMs on another.

    Args:
        host: IP address to listen on.
        ready_path: path of the readiness probe.
        ready_port: port of the readiness probe.
        metrics_port: port of `/metrics` and of requests from other VMs, 0 for none.
        control_port: port at which VMs that don't know the others yet ask, 0 for none.
        registry: the metrics to serve.
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
    ) -> None:
        self.ready = False
        self.answer_peer: Callable | None = None
        self._ready_path = ready_path
        self._registry = registry
        self._servers = [
            HttpServer(host=host, port=ready_port, answer=self._answer_ready)
        ]
        if metrics_port:
            self._servers.append(
                HttpServer(host=host, port=metrics_port, answer=self._answer_metrics)
            )
        if control_port:
            self._servers.append(
                HttpServer(host=host, port=control_port, answer=self._answer_other_vm)
            )

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
        return HttpAnswer(status=200, body=generate_latest(self._registry))

    def _answer_other_vm(self, path: str):
        """Return the answer to another VM's request, as `HttpServer` takes it."""
        return self.answer_peer(path) if self.answer_peer is not None else None
