"""One VM of a simulated fleet: the real driver and reducer with fake adapters."""

import random
from collections.abc import Callable

from siskinhold import effects
from siskinhold.adapters import Recorder
from siskinhold.core import Identity, NodeState
from siskinhold.events import Event
from siskinhold.model import VmAddress
from siskinhold.runtime import Driver
from siskinhold_trial.fakes import (
    FakeBackends,
    FakeCallers,
    FakeNetwork,
    FakePeers,
    FakeStore,
    FakeStoreClient,
    FakeWorld,
)
from siskinhold_trial.history import History, TicketEvent, VmLife


class HistoryRecorder(Recorder):
    """Keeps timeline records and adds tickets in force to the history.

    Args:
        world: provides the clock.
        vm: the VM's name.
        incarnation: its incarnation.
        history: receives an event for each ticket that came into force.
    """

    def __init__(
        self, *, world: FakeWorld, vm: str, incarnation: int, history: History
    ) -> None:
        self.records: list[tuple[float, effects.Record]] = []
        self.counts: dict[tuple[str, str], float] = {}
        self._world = world
        self._vm = vm
        self._incarnation = incarnation
        self._history = history

    def record(self, effect: effects.Record, *, clock: int) -> None:
        """Keep a record; a `ticket_applied` record is added to the history."""
        now = self._world.now()
        self.records.append((now, effect))
        if effect.name != "ticket_applied":
            return
        self._history.tickets.append(
            TicketEvent(
                at=now,
                number=effect.ticket,
                vm=self._vm,
                incarnation=self._incarnation,
            )
        )

    def observe(self, effect: effects.Observe) -> None:
        """Add an observation to the sum of its metric and label."""
        key = (effect.metric, effect.label)
        self.counts[key] = self.counts.get(key, 0.0) + effect.value


class PausableDriver(Driver):
    """A driver that can be frozen, like a suspended process."""

    def __init__(self, **adapters: object) -> None:
        super().__init__(**adapters)
        self._frozen = False
        self._deferred: list[Event] = []

    def freeze(self) -> None:
        """Defer all events and timers."""
        self._frozen = True

    def unfreeze(self) -> None:
        """Handle the deferred events in order, then the timers that are due."""
        self._frozen = False
        deferred, self._deferred = self._deferred, []
        for event in deferred:
            self.emit(event)
        self._fire_timer()

    def emit(self, event: Event) -> None:
        """Handle an event, or defer it while frozen."""
        if self._frozen:
            self._deferred.append(event)
            return
        super().emit(event)

    def _fire_timer(self) -> None:
        if self._frozen:
            self._timer = None
            return
        super()._fire_timer()


class FleetVm:
    """A VM that can be started, killed, frozen and shut down.

    Args:
        world: the simulated environment of the run.
        address: name, address and location of the VM.
        store: the platform's store.
        network: the network between VMs.
        history: receives its incarnations and the tickets in force.
        caller_delay: one-way delay to callers in seconds.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        address: VmAddress,
        store: FakeStore,
        network: FakeNetwork,
        history: History,
        caller_delay: float = 0.0,
    ) -> None:
        self.address = address
        self.incarnation = 0
        self.driver: PausableDriver | None = None
        self.callers: FakeCallers | None = None
        self.backends: FakeBackends | None = None
        self.recorder: HistoryRecorder | None = None
        self.life: VmLife | None = None
        self.on_start: list[Callable[["FleetVm"], None]] = []
        self._world = world
        self._store = store
        self._network = network
        self._history = history
        self._caller_delay = caller_delay

    @property
    def node(self) -> NodeState:
        """The reducer's state in the running process."""
        return self.driver.node

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.driver is not None and not self.driver.stopped.is_set()

    async def start(self) -> None:
        """Start a new incarnation, without any state of the previous one."""
        self.incarnation += 1
        name = self.address.name
        identity = Identity(address=self.address, incarnation=self.incarnation)
        seed = self._world.random.getrandbits(32)
        self.callers = FakeCallers(world=self._world, delay=self._caller_delay)
        self.recorder = HistoryRecorder(
            world=self._world,
            vm=name,
            incarnation=self.incarnation,
            history=self._history,
        )
        self.backends = FakeBackends(world=self._world, vm=self.address)
        self.driver = PausableDriver(
            node=NodeState(identity=identity, random=random.Random(seed)),
            callers=self.callers,
            backends=self.backends,
            store=FakeStoreClient(store=self._store, vm=self.address),
            peers=FakePeers(network=self._network, vm=self.address),
            recorder=self.recorder,
        )
        self.life = VmLife(
            vm=name, incarnation=self.incarnation, started_at=self._world.now()
        )
        self._history.lives.append(self.life)
        self._store.set_vm(self.address)
        await self.driver.start()
        for call in self.on_start:
            call(self)

    async def kill(self) -> None:
        """End the process at once; its connections break."""
        if self.life.ended_at is None:
            self.life.ended_at = self._world.now()
        self._history.stray.extend(reply.request for reply in self.callers.stray)
        self.callers.stray.clear()
        await self.driver.stop()

    async def shut_down(self) -> None:
        """Shut down gracefully and wait for the end of the process."""
        self.life.shutdown_at = self._world.now()
        self.driver.request_shutdown()
        await self.driver.stopped.wait()
        await self.kill()

    def freeze(self) -> None:
        """Suspend the process, as a paused VM."""
        self.life.cut_off.append((self._world.now(), float("inf")))
        self.driver.freeze()

    def unfreeze(self) -> None:
        """Resume a frozen process."""
        start, _ = self.life.cut_off.pop()
        self.life.cut_off.append((start, self._world.now()))
        self.driver.unfreeze()
