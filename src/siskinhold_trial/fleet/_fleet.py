"""A simulated deployment in one process: store, databases, network and VMs."""

import asyncio

import msgspec

from siskinhold.model import DatabaseGroup, Role, RoutingRules
from siskinhold.store import WriteObject, encode_ticket, ticket_key
from siskinhold_trial.fakes import FakeDatabase, FakeNetwork, FakeStore, FakeWorld
from siskinhold_trial.history import (
    History,
    TicketEvent,
    Violation,
    check_all,
    read_database,
)

from ._deployments import VM_COUNT, Deployment, make_ticket
from ._vms import FleetVm

READY_TIMEOUT_SECONDS = 30.0
"""Seconds until all VMs of a started fleet must know the primaries."""


class Fleet:
    """Builds and drives a deployment on the running event loop.

    Args:
        deployment: its databases, zones and sizes.
        seed: seed of every random choice.
        vm_count: number of VMs.
        lag: replication lag in seconds.
        rules: routing rules of the group.
        service_time: draws a statement's service time, in seconds.
        link_delay: one-way delay between regions in seconds.
    """

    def __init__(
        self,
        *,
        deployment: Deployment,
        seed: int = 0,
        vm_count: int = VM_COUNT,
        lag: float = 0.02,
        rules: RoutingRules = RoutingRules(),
        service_time=lambda generator: 0.002,
        link_delay: float = 0.008,
    ) -> None:
        self.deployment = deployment
        self.group = deployment.make_group(rules)
        self.history = History()
        self.world = FakeWorld(
            loop=asyncio.get_running_loop(), seed=seed, link_delay=link_delay
        )
        addresses = deployment.make_vms(vm_count)
        store_endpoint = msgspec.structs.replace(addresses[0], name="store")
        self.store = FakeStore(world=self.world, endpoint=store_endpoint)
        self.network = FakeNetwork(world=self.world)
        self.databases: dict[str, FakeDatabase] = {}
        for config in self.group.databases:
            self.databases[config.name] = FakeDatabase(
                world=self.world, config=config, service_time=service_time, lag=lag
            )
        self.vms: dict[str, FleetVm] = {}
        for address in addresses:
            self.vms[address.name] = FleetVm(
                world=self.world,
                address=address,
                store=self.store,
                network=self.network,
                history=self.history,
                caller_delay=deployment.caller_delay,
            )
        self.last_ticket = 0
        self.draining = False
        self.busy: set[str] = set()

    async def start(self) -> None:
        """Write the first ticket, start all VMs and wait until they are ready."""
        self.accept_ticket(self.group)
        for vm in self.vms.values():
            await vm.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until every running VM knows the primary of every database.

        Raises:
            TimeoutError: if it takes longer than `READY_TIMEOUT_SECONDS`.
        """
        deadline = self.world.now() + READY_TIMEOUT_SECONDS
        while not self.is_ready():
            if self.world.now() > deadline:
                raise TimeoutError(
                    f"the fleet did not become ready in {READY_TIMEOUT_SECONDS} s"
                )
            await asyncio.sleep(0.05)

    def is_ready(self) -> bool:
        """Return whether the fleet can serve all databases.

        All running VMs have to know the newest ticket and every primary, and the
        server promoted last in each database has to be in that role.
        """
        for vm in self.list_running():
            config = vm.node.config
            if config.applied < self.last_ticket:
                return False
            if set(config.records) < set(self.databases):
                return False
        for database in self.databases.values():
            if database.find_primary().role is not Role.PRIMARY:
                return False
        return True

    def list_running(self) -> list[FleetVm]:
        """Return the VMs whose process is running."""
        return [vm for vm in self.vms.values() if vm.running]

    def accept_ticket(self, *groups: DatabaseGroup) -> int:
        """Write the next change ticket to the store; return its number.

        The store must be up.
        """
        self.last_ticket += 1
        ticket = make_ticket(self.last_ticket, *groups)
        operation = WriteObject(
            key=ticket_key(ticket.number),
            value=encode_ticket(ticket).unwrap(),
            expected_version=0,
        )
        result = self.store.execute(operation)
        assert result.failure is None, result.failure
        self.history.tickets.append(
            TicketEvent(
                at=self.world.now(), number=ticket.number, identity=ticket.identity
            )
        )
        return ticket.number

    def find_owner(self, database: str) -> FleetVm | None:
        """Return a running VM that owns a database's pool in the primary's region."""
        for vm in self.list_running():
            record = vm.node.config.records.get(database)
            if record is None:
                continue
            server = self.world.servers[record.primary].endpoint
            pool = vm.node.pools.pools.get((database, server.region))
            if pool is not None and pool.owned:
                return vm
        return None

    async def stop(self) -> None:
        """End all processes."""
        for vm in self.list_running():
            await vm.kill()

    def check(self, *, kept: bool = True) -> list[Violation]:
        """Return all violations of the guarantees in the run so far.

        Args:
            kept: whether acknowledged writes must survive promotions.
        """
        records = [read_database(database) for database in self.databases.values()]
        return check_all(self.history, records, kept=kept)
