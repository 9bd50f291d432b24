"""The platform's object store and list of VMs, in memory."""

from collections import Counter
from collections.abc import Callable

from siskinhold import effects, events
from siskinhold.adapters import Emit, Store
from siskinhold.model import VmAddress
from siskinhold.store import (
    ListObjects,
    ReadObject,
    StoreCall,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
)

from ._backends import _ignore
from ._world import FakeWorld, Place

VALUE_LIMIT = 1_000_000
"""Bytes that an object may have."""


class FakeStore:
    """The engine that all VMs share. Its attributes are the faults.

    Args:
        world: the test's surroundings.
        place: where the store is; its name can be cut off in the world.
        latency: seconds that a call takes in the store.
        list_lag: seconds after which the list of VMs shows a change.

    Attributes:
        down: nothing is answered.
        answer_loss: probability that a call takes effect and no answer comes.
        calls: calls by kind (read, list, write, watch, vm_list); a watch that
            waits counts once, and once more for each delivery it goes on after.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        place: Place,
        latency: float = 0.003,
        list_lag: float = 0.0,
    ) -> None:
        self.world = world
        self.place = place
        self.latency = latency
        self.list_lag = list_lag
        self.down = False
        self.answer_loss = 0.0
        self.calls: Counter[str] = Counter()
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.watchers: set["FakeStoreClient"] = set()
        self._vms: dict[str, tuple[VmAddress, bool]] = {}

    def list_vm(self, address: VmAddress, *, leaving: bool = False) -> None:
        """Add a VM to the list, or change its entry, after the list's lag."""
        self.world.later(
            self.list_lag, self._vms.__setitem__, address.name, (address, leaving)
        )

    def unlist_vm(self, name: str) -> None:
        """Take a VM off the list after the list's lag."""
        self.world.later(self.list_lag, self._vms.pop, name, None)

    def read_vms(self) -> tuple[tuple[VmAddress, ...], tuple[str, ...]]:
        """Return the list as it shows now: live VMs and names of leaving ones."""
        live = tuple(vm for vm, leaving in self._vms.values() if not leaving)
        names = tuple(vm.name for vm, leaving in self._vms.values() if leaving)
        return live, names

    def restore(self) -> None:
        """End an outage; watches deliver what they missed."""
        self.down = False
        for watcher in list(self.watchers):
            watcher.deliver()

    def carry_out(self, operation: StoreCall) -> StoreResult:
        """Carry out a call at once."""
        if isinstance(operation, ReadObject):
            self.calls["read"] += 1
            found = self.objects.get(operation.key)
            if found is None:
                return self._fail(StoreFailure.NOT_FOUND)
            return StoreResult(objects=(found,), revision=self.revision)
        if isinstance(operation, ListObjects):
            self.calls["list"] += 1
            return StoreResult(
                objects=self.find(operation.prefix, 0), revision=self.revision
            )
        self.calls["write"] += 1
        return self._write(operation)

    def find(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        """Return objects changed after a revision, ascending by revision."""
        found = []
        for stored in self.objects.values():
            if stored.revision > after and stored.key.startswith(prefix):
                found.append(stored)
        return tuple(sorted(found, key=lambda stored: stored.revision))

    def _write(self, operation: WriteObject) -> StoreResult:
        if len(operation.value) > VALUE_LIMIT:
            return self._fail(StoreFailure.REJECTED)
        old = self.objects.get(operation.key)
        version = old.version if old is not None else 0
        if version != operation.expected_version:
            return self._fail(StoreFailure.CONFLICT)
        self.revision += 1
        stored = StoredObject(
            key=operation.key,
            value=operation.value,
            version=version + 1,
            revision=self.revision,
        )
        self.objects[stored.key] = stored
        for watcher in list(self.watchers):
            watcher.deliver()
        return StoreResult(objects=(stored,), revision=self.revision)

    def _fail(self, failure: StoreFailure) -> StoreResult:
        return StoreResult(failure=failure, revision=self.revision)


class FakeStoreClient(Store):
    """One VM's adapter to the shared store.

    Args:
        store: the engine.
        vm: the VM.
    """

    def __init__(self, *, store: FakeStore, vm: VmAddress) -> None:
        self._store = store
        self._world = store.world
        self._vm = vm
        self._emit: Emit = _ignore
        self._watch: effects.WatchStore | None = None
        self._delivered = 0

    async def start(self, emit: Emit) -> None:
        """Begin to emit events."""
        self._emit = emit
        self._world.observe_links(_nothing, self.deliver)

    def call(self, effect: effects.CallStore) -> None:
        """Begin a call."""
        answered = False

        def report(result: StoreResult) -> None:
            nonlocal answered
            if answered:
                return
            answered = True
            self._emit(
                events.StoreAnswered(
                    at=self._world.now(), call=effect.call, result=result
                )
            )

        self._exchange(lambda: self._store.carry_out(effect.operation), report)
        lost = StoreResult(failure=StoreFailure.NO_ANSWER)
        self._world.later(effect.timeout, report, lost)

    def watch(self, effect: effects.WatchStore) -> None:
        """Begin a watch in place of any other."""
        self.unwatch()
        self._watch = effect
        self._delivered = effect.after
        self._store.calls["watch"] += 1
        self._store.watchers.add(self)
        self._world.later(self._delay(), self.deliver)

    def unwatch(self) -> None:
        """End the watch, if there is one."""
        self._watch = None
        self._store.watchers.discard(self)

    def read_vm_list(self) -> None:
        """Read the list; without an answer there is no event."""

        def read() -> tuple:
            self._store.calls["vm_list"] += 1
            return self._store.read_vms()

        def report(found: tuple) -> None:
            live, leaving = found
            self._emit(
                events.VmListReported(at=self._world.now(), live=live, leaving=leaving)
            )

        self._exchange(read, report)

    async def stop(self) -> None:
        """End the watch and emit nothing more."""
        self.unwatch()
        self._emit = _ignore

    def deliver(self) -> None:
        """Send what the watch has not delivered yet, if it can be reached."""
        watch = self._watch
        if watch is None or self._store.down or not self._is_open():
            return
        objects = self._store.find(watch.prefix, self._delivered)
        if not objects:
            return
        revision = self._store.revision
        self._delivered = revision
        self._store.calls["watch"] += 1
        self._world.later(self._delay(), self._arrive, watch, objects, revision)

    def _arrive(
        self,
        watch: effects.WatchStore,
        objects: tuple[StoredObject, ...],
        revision: int,
    ) -> None:
        if watch is not self._watch:
            return
        if not self._is_open():
            self._delivered = min(self._delivered, objects[0].revision - 1)
            return
        self._emit(
            events.StoreChanged(
                at=self._world.now(), objects=objects, revision=revision
            )
        )

    def _exchange(self, act: Callable, report: Callable) -> None:
        def reach() -> None:
            if self._store.down or not self._is_open():
                return
            answer = act()
            loss = self._store.answer_loss
            if loss and self._world.random.random() < loss:
                return
            self._world.later(self._delay(), arrive, answer)

        def arrive(answer: object) -> None:
            if self._is_open() and not self._store.down:
                report(answer)

        self._world.later(self._delay() + self._store.latency, reach)

    def _delay(self) -> float:
        return self._world.measure_delay(self._vm, self._store.place)

    def _is_open(self) -> bool:
        return self._world.is_open(self._vm, self._store.place)


def _nothing() -> None:
    """Do nothing before a change of links."""
