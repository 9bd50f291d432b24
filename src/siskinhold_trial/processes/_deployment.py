"""A deployment of real processes on loopback: store, databases and VMs."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import aiohttp
import aiomysql
import msgspec

from siskinhold.adapters import OperatorStatus
from siskinhold.model import (
    BackendServer,
    ChangeTicket,
    Database,
    DatabaseGroup,
    RoutingRules,
)

from ._processes import Processes, RunningProcess, find_free_ports

HOST = "127.0.0.1"
USER = "mill"
PASSWORD = "alder"
FLEET_KEY = "5f" * 32
ZONES = ("leinster-a", "leinster-b", "munster-a")
INSTANCE_COUNT = 3


@dataclass(slots=True, kw_only=True)
class VmProcess:
    """A VM with its ports and settings file.

    Args:
        name: its name.
        zone: its availability zone; the region is the part before the hyphen.
        callers: TCP port for callers.
        peers: TCP port for other VMs.
        operator: TCP port for operators.
        settings: path of its settings file.
        timeline: path of its timeline.
        process: the last started process, None before the first start.
    """

    name: str
    zone: str
    callers: int
    peers: int
    operator: int
    settings: Path
    timeline: Path
    process: RunningProcess | None = None


class LocalDeployment:
    """Starts the processes of a deployment and sends requests to them.

    Args:
        folder: directory for settings, tickets and logs.
        processes: starts and ends the processes.
    """

    def __init__(self, *, folder: Path, processes: Processes) -> None:
        self.folder = folder
        self.processes = processes
        self.vms: dict[str, VmProcess] = {}
        self.databases: dict[str, Database] = {}
        self.control_ports: dict[str, int] = {}
        self.store_url = ""

    async def start_store(self) -> None:
        """Start the store stand-in."""
        port, control = find_free_ports(2)
        process = self.processes.start(
            "store",
            "siskinhold_trial.programs.store",
            f"--port={port}",
            f"--control-port={control}",
        )
        self.store_url = f"http://{HOST}:{port}"
        await process.wait_for_port(port)

    async def start_database(self, name: str, lag_ms: int = 20) -> None:
        """Start a database of three instances, one in each zone."""
        *ports, control = find_free_ports(INSTANCE_COUNT + 1)
        process = self.processes.start(
            f"database-{name}",
            "siskinhold_trial.programs.database",
            f"--name={name}",
            f"--control-port={control}",
            f"--lag-ms={lag_ms}",
            *(f"--port={port}" for port in ports),
        )
        servers = tuple(
            BackendServer(
                name=f"{name}-{index}",
                host=HOST,
                port=port,
                region=zone.partition("-")[0],
                availability_zone=zone,
            )
            for index, (port, zone) in enumerate(zip(ports, ZONES), start=1)
        )
        self.databases[name] = Database(
            name=name, primary=servers[0].name, servers=servers
        )
        self.control_ports[name] = control
        await process.wait_for_port(control)

    def add_vms(self, zones: Sequence[str]) -> None:
        """Choose ports and write a settings file for one VM in each zone."""
        for zone in zones:
            callers, peers, operator = find_free_ports(3)
            name = f"vm-{zone}"
            self.vms[name] = VmProcess(
                name=name,
                zone=zone,
                callers=callers,
                peers=peers,
                operator=operator,
                settings=self.folder / f"{name}.ini",
                timeline=self.folder / f"{name}.timeline",
            )
        for vm in self.vms.values():
            vm.settings.write_text(self._format_settings(vm))

    def start_vm(self, name: str) -> VmProcess:
        """Start a VM's process."""
        vm = self.vms[name]
        vm.process = self.processes.start(
            name, "siskinhold.programs.proxy", vm.settings
        )
        return vm

    async def wait_for_vm(self, name: str) -> None:
        """Wait until a VM accepts callers."""
        vm = self.vms[name]
        await vm.process.wait_for_port(vm.callers)

    async def connect(
        self, name: str, database: str, *, autocommit: bool = True
    ) -> aiomysql.Connection:
        """Connect an unmodified MySQL client to a VM."""
        return await aiomysql.connect(
            host=HOST,
            port=self.vms[name].callers,
            user=USER,
            password=PASSWORD,
            db=database,
            autocommit=autocommit,
            connect_timeout=2,
        )

    async def read_status(self, name: str) -> OperatorStatus:
        """Return the status from a VM's operator port."""
        url = f"http://{HOST}:{self.vms[name].operator}/status"
        async with aiohttp.ClientSession() as session:
            async with session.get(url) as response:
                return msgspec.json.decode(await response.read(), type=OperatorStatus)

    async def set_faults(self, database: str, instance: str, **faults: object) -> None:
        """Set faults on an instance of a database."""
        url = f"http://{HOST}:{self.control_ports[database]}/instances/{instance}"
        async with aiohttp.ClientSession() as session:
            async with session.post(url, json=faults) as response:
                response.raise_for_status()

    async def run_ticket(self, *arguments: object) -> tuple[int, str, str]:
        """Run `siskinhold-ticket` against the store."""
        return await self.processes.run(
            "siskinhold.programs.ticket", *arguments, f"--store={self.store_url}"
        )

    def write_ticket(self, number: int, reason: str, **rules: object) -> Path:
        """Write a ticket with all databases in one group; return its path."""
        group = DatabaseGroup(
            name="builders-db",
            databases=tuple(self.databases.values()),
            rules=RoutingRules(**rules),
        )
        ticket = ChangeTicket(
            number=number, author="demo", identity="", groups=(group,), reason=reason
        )
        path = self.folder / f"ticket-{number}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(ticket)))
        return path

    def _format_settings(self, vm: VmProcess) -> str:
        seeds = "".join(
            f"\n  {other.name}={HOST}:{other.peers}/{other.zone.partition('-')[0]}"
            f"/{other.zone}"
            for other in self.vms.values()
            if other is not vm
        )
        return (
            f"[vm]\nname = {vm.name}\nhost = {HOST}\n"
            f"region = {vm.zone.partition('-')[0]}\navailability_zone = {vm.zone}\n"
            f"[callers]\nport = {vm.callers}\n"
            f"[peers]\nport = {vm.peers}\nseeds ={seeds}\n"
            f"[operator]\nport = {vm.operator}\n"
            f"[store]\nurl = {self.store_url}\n"
            f"[fleet]\nkey = {FLEET_KEY}\n"
            f"[timeline]\npath = {vm.timeline}\n"
            f"[users]\n{USER} = {PASSWORD}\n"
        )
