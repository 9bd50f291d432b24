"""A simulation of one VM that owns a pool."""

import random

from siskinhold.adapters import Recorder
from siskinhold.core import Identity, NodeState, SchedulingRules
from siskinhold.effects import Observe, Record
from siskinhold.model import Acknowledge, ChangeTicket, DatabaseGroup, RoutingRules
from siskinhold.runtime import Driver
from siskinhold.store import WriteObject, encode_ticket, ticket_key
from siskinhold_trial.fakes import (
    FakeBackends,
    FakeCallers,
    FakeDatabase,
    FakeNetwork,
    FakePeers,
    FakeStore,
    FakeStoreClient,
    FakeWorld,
)

from ._deployments import Deployment, make_database, make_vm

START_TIME = 3.0
"""Seconds after which the VM has its ticket, its pool and its connections."""


class _CounterRecorder(Recorder):
    """Sums up the metrics of the VM and discards its timeline records."""

    def __init__(self) -> None:
        self.counts: dict[tuple[str, str], float] = {}

    def record(self, effect: Record, *, clock: int) -> None:
        """Discard a timeline record."""

    def observe(self, effect: Observe) -> None:
        """Add an observation to its metric."""
        key = (effect.metric, effect.label)
        self.counts[key] = self.counts.get(key, 0.0) + effect.value


class PoolSimulation:
    """One VM that owns the pool of one database.

    Args:
        world: clock, random numbers and latencies.
        deployment: sizes of the pool.
        policy: scheduling rules of the VM.
        seed: seed of the VM's random generator.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        deployment: Deployment,
        policy: SchedulingRules,
        seed: int,
    ) -> None:
        self.world = world
        self.deployment = deployment
        self.config = make_database(deployment)
        self.vm = make_vm()
        self.database = FakeDatabase(world=world, config=self.config)
        self.callers = FakeCallers(world=world)
        self.backends = FakeBackends(world=world, vm=self.vm)
        self.recorder = _CounterRecorder()
        self.store = FakeStore(world=world, endpoint=self.vm)
        self.node = NodeState(
            identity=Identity(address=self.vm, incarnation=1),
            random=random.Random(seed),
        )
        self.node.scheduling.rules = policy
        self.driver = Driver(
            node=self.node,
            callers=self.callers,
            backends=self.backends,
            store=FakeStoreClient(store=self.store, vm=self.vm),
            peers=FakePeers(network=FakeNetwork(world=world), vm=self.vm),
            recorder=self.recorder,
        )

    async def start(self) -> None:
        """Store the ticket with the database and start the VM."""
        rules = RoutingRules(acknowledge=Acknowledge.PRIMARY)
        group = DatabaseGroup(name="group", databases=(self.config,), rules=rules)
        ticket = ChangeTicket(number=1, author="load", identity="load", groups=(group,))
        self.store.set_vm(self.vm)
        self.store.execute(
            WriteObject(
                key=ticket_key(1),
                value=encode_ticket(ticket).ok_value,
                expected_version=0,
            )
        )
        await self.driver.start()
