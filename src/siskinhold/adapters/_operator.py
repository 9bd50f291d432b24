"""HTTP port for operators of a VM, with read-only access to the node's state.

    GET /status?prefix=<p>&limit=<n>  OperatorStatus
    GET /metrics                      Prometheus text format
    GET /health                       200 if live and not shutting down, else 503

`limit` is the maximum number of databases in the answer (100 by default, at most 1000),
`prefix` selects them by the start of their names.
"""

import asyncio
from collections.abc import Callable, Iterator

import msgspec
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, CollectorRegistry, generate_latest
from prometheus_client.metrics_core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from ..core import NodeState
from ..model import VmState
from ._operator_status import (
    DatabaseReport,
    FindOwner,
    OperatorStatus,
    ReadServerStatus,
    report_database,
    report_vms,
)

# Finding the owners of a database computes the weight of every VM, so an unlimited
# answer would block the event loop of a VM in a large fleet.
DEFAULT_DATABASE_LIMIT = 100
MAX_DATABASE_LIMIT = 1_000


class NodeCollector(Collector):
    """Gauges of a node's state, computed on each scrape."""

    def __init__(self, *, node: NodeState) -> None:
        self._node = node

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges."""
        node = self._node
        yield GaugeMetricFamily(
            "siskinhold_ticket_in_force",
            "Highest change ticket in force on this VM",
            value=node.config.applied,
        )
        yield GaugeMetricFamily(
            "siskinhold_databases",
            "Databases in force",
            value=len(node.config.databases),
        )
        vms = GaugeMetricFamily(
            "siskinhold_vms", "VMs known to this VM by state", labels=["state"]
        )
        counts = {state: 0 for state in VmState}
        counts[node.membership.state] += 1
        for peer in node.membership.peers.values():
            counts[peer.view.state] += 1
        for state, count in counts.items():
            vms.add_metric([state.value], count)
        yield vms


class OperatorServer:
    """Serves a node's status, metrics and health.

    Args:
        node: the state to report.
        host: the only IP address to listen on.
        port: TCP port; 0 for any free one.
        find_owner: returns the VM that owns a database's pool in a region.
        registry: registry of the process's metrics; None for a new one.
        read_status: returns the last status report of a backend server and
            the time at which the query for it started.
        clock: the runtime's clock in seconds; None for the event loop's clock.
    """

    def __init__(
        self,
        *,
        node: NodeState,
        host: str,
        port: int,
        find_owner: FindOwner,
        registry: CollectorRegistry | None = None,
        read_status: ReadServerStatus = lambda server: None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.port = port
        self._node = node
        self._host = host
        self._find_owner = find_owner
        self._registry = registry if registry is not None else CollectorRegistry()
        self._read_status = read_status
        self._clock = clock
        self._collector = NodeCollector(node=node)
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
            ValueError: if the registry already has the gauges of another node.
        """
        self._clock = self._clock or asyncio.get_running_loop().time
        self._registry.register(self._collector)
        application = web.Application()
        application.router.add_get("/status", self._status)
        application.router.add_get("/metrics", self._metrics)
        application.router.add_get("/health", self._health)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.5)
        try:
            await self._runner.setup()
            await web.TCPSite(self._runner, self._host, self.port).start()
        except OSError:
            await self.stop()
            raise
        self.port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop listening, close all connections and unregister the gauges."""
        if self._runner is None:
            return
        self._registry.unregister(self._collector)
        await self._runner.cleanup()
        self._runner = None

    async def _status(self, request: web.Request) -> web.Response:
        try:
            limit = int(request.query.get("limit", DEFAULT_DATABASE_LIMIT))
        except ValueError as error:
            raise web.HTTPBadRequest(text="limit is not a number") from error
        limit = min(max(limit, 0), MAX_DATABASE_LIMIT)
        status = await self._build_status(request.query.get("prefix", ""), limit)
        return web.Response(
            body=msgspec.json.encode(status), content_type="application/json"
        )

    async def _build_status(self, prefix: str, limit: int) -> OperatorStatus:
        """Return the status with the first `limit` databases of the prefix, by name.

        Yields to other tasks after each database.
        """
        node = self._node
        names = [name for name in node.config.databases if name.startswith(prefix)]
        databases: list[DatabaseReport] = []
        for name in sorted(names)[:limit]:
            report = report_database(
                node,
                name,
                now=self._clock(),
                find_owner=self._find_owner,
                read_status=self._read_status,
            )
            if report is not None:
                databases.append(report)
            await asyncio.sleep(0)
        now = self._clock()
        applied = node.config.applied
        return OperatorStatus(
            vm=node.identity.name,
            incarnation=node.identity.incarnation,
            state=node.membership.state,
            ticket=applied,
            ticket_seconds=(
                round(max(0.0, now - node.config.applied_at), 3) if applied else None
            ),
            watching=node.config.watching,
            vms=report_vms(node, now),
            database_count=len(names),
            databases=tuple(databases),
        )

    async def _metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=generate_latest(self._registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    async def _health(self, request: web.Request) -> web.Response:
        node = self._node
        in_service = node.membership.state is VmState.LIVE and not node.shutting_down
        body = {"vm": node.identity.name, "state": node.membership.state.value}
        return web.Response(
            body=msgspec.json.encode(body),
            status=200 if in_service else 503,
            content_type="application/json",
        )
