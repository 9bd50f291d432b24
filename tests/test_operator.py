"""The operator port, over loopback sockets."""

import copy

import aiohttp
import msgspec
import pytest_asyncio
from store_samples import make_node, make_peer, make_server, started

from siskinhold.adapters import OperatorServer, OperatorStatus
from siskinhold.core import NodeState
from siskinhold.model import (
    Database,
    DatabaseGroup,
    Position,
    Reservation,
    Role,
    ServerStatus,
    TermRecord,
    TermStart,
)


def make_full_node() -> NodeState:
    node = make_node("vm1", make_peer("vm2", 6, heard_at=99.5))
    node.config.applied = 7
    node.config.applied_at = 90.0
    for name in ("a1", "a2", "b1"):
        servers = tuple(make_server(f"{name}-{n}", region=f"r{n}") for n in (1, 2))
        database = Database(name=name, primary=f"{name}-1", servers=servers)
        node.config.databases[name] = (DatabaseGroup(name="g"), database)
    node.config.records["a1"] = TermRecord(
        database="a1",
        starts=(TermStart(term=2, offset=9, primary="a1-2"),),
        reservation=Reservation(term=3, vm="vm2", run="x"),
    )
    return node


REPORT = ServerStatus(term=2, role=Role.PRIMARY, position=Position(2, 11))


class OperatorPort:
    """An operator server and its client."""

    def __init__(self) -> None:
        self.node = make_full_node()
        self.server = OperatorServer(
            node=self.node,
            host="127.0.0.1",
            port=0,
            find_owner=lambda node, database, region: f"{database}.{region}",
            read_status=lambda name: (REPORT, 99.0) if name == "a1-2" else None,
            clock=lambda: 100.0,
        )

    async def get(self, path: str) -> tuple[int, bytes]:
        url = f"http://127.0.0.1:{self.server.port}{path}"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return response.status, await response.read()

    async def get_status(self, query: str = "") -> OperatorStatus:
        _, body = await self.get(f"/status{query}")
        return msgspec.json.decode(body, type=OperatorStatus)


@pytest_asyncio.fixture
async def port():
    port = OperatorPort()
    async with started(port.server):
        yield port


class TestStatus:
    async def test_vms(self, port):
        """Tickets and ages of all VMs are shown; guards against hiding a lagging VM."""
        status = await port.get_status()
        assert (status.vm, status.incarnation, status.ticket) == ("vm1", 3, 7)
        assert status.ticket_seconds == 10.0
        seen = [(vm.name, vm.ticket, vm.heard_seconds) for vm in status.vms]
        assert seen == [("vm1", 7, 0.0), ("vm2", 6, 0.5)]

    async def test_database(self, port):
        """The primary is that of the term record; guards against showing an old one."""
        status = await port.get_status("?prefix=a1")
        (database,) = status.databases
        assert (database.primary, database.term) == ("a1-2", 2)
        assert database.promotion_vm == "vm2"
        assert database.owners == {"r1": "a1.r1", "r2": "a1.r2"}
        first, second = database.servers
        assert first.status is None and second.status == REPORT
        assert second.status_age_seconds == 1.0

    async def test_bounds(self, port):
        """The limit is applied; guards against answers of unlimited size."""
        status = await port.get_status("?prefix=a&limit=1")
        assert status.database_count == 2
        assert [database.name for database in status.databases] == ["a1"]
        assert (await port.get("/status?limit=x"))[0] == 400

    async def test_state_is_not_changed(self, port):
        """Reading does not change the state, which only the driver may change."""
        before = copy.deepcopy(port.node.config)
        await port.get_status()
        await port.get("/metrics")
        assert port.node.config == before


class TestMetricsAndHealth:
    async def test_metrics(self, port):
        """The node's gauges are exported; guards against an empty answer."""
        _, body = await port.get("/metrics")
        assert b"siskinhold_ticket_in_force 7.0" in body
        assert b'siskinhold_vms{state="live"} 2.0' in body

    async def test_health(self, port):
        """A VM that shuts down is unhealthy; guards against sending it new callers."""
        assert (await port.get("/health"))[0] == 200
        port.node.shutting_down = True
        assert (await port.get("/health"))[0] == 503
