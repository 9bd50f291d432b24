"""A fake of the platform's object store and its list of VMs."""

from collections import Counter
from collections.abc import Callable
from functools import partial

import msgspec

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

from ._emitter import Emitter
from ._world import Endpoint, FakeWorld

MAX_VALUE_BYTES = 1_000_000
"""Size limit of an object."""


class FakeStore:
    """The store that all VMs share.

    `down` and `answer_loss` may be changed during the run.

    Args:
        world: the simulated environment of the test.
        endpoint: location of the store; its links can be cut by its name.
        latency: seconds that a call takes in the store.
        list_lag: seconds until the list of VMs shows a change.

    Attributes:
        down: whether no call is answered.
        answer_loss: probability that a call takes effect and its answer is lost.
        calls: calls by kind (read, list, write, watch, vm_list); a watch counts
            once at its start and once for each delivery, as a client that polls
            again after each answer.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        endpoint: Endpoint,
        latency: float = 0.003,
        list_lag: float = 0.0,
    ) -> None:
        self.world = world
        self.endpoint = endpoint
        self.latency = latency
        self.list_lag = list_lag
        self.down = False
        self.answer_loss = 0.0
        self.calls: Counter[str] = Counter()
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.era = 0
        self.watchers: set["FakeStoreClient"] = set()
        self._vms: dict[str, tuple[VmAddress, bool]] = {}

    def set_vm(self, address: VmAddress, *, leaving: bool = False) -> None:
        """Add a VM to the list or replace its entry, after the list's lag."""
        self.world.call_later(
            self.list_lag, self._vms.__setitem__, address.name, (address, leaving)
        )

    def read_vms(self) -> tuple[tuple[VmAddress, ...], tuple[str, ...]]:
        """Return the live VMs and the names of the leaving ones, as listed now."""
        self.calls["vm_list"] += 1
        live = tuple(vm for vm, leaving in self._vms.values() if not leaving)
        names = tuple(vm.name for vm, leaving in self._vms.values() if leaving)
        return live, names

    def restore(self) -> None:
        """End an outage; watches deliver the changes that they missed."""
        self.down = False
        for watcher in list(self.watchers):
            watcher.deliver()

    def save_copy(self) -> tuple[dict[str, StoredObject], int]:
        """Return a copy of the objects and the revision for `load_copy`."""
        return dict(self.objects), self.revision

    def load_copy(
        self, copy: tuple[dict[str, StoredObject], int], *, raise_era: bool
    ) -> None:
        """Replace all objects by a copy; its revisions and versions are in force again.

        Args:
            raise_era: whether the era rises. It stays 0 in a store without eras.
        """
        objects, self.revision = copy
        self.objects = dict(objects)
        self.era += raise_era
        for watcher in list(self.watchers):
            watcher.deliver()

    def execute(self, operation: StoreCall) -> StoreResult:
        """Execute a call without latency or faults."""
        return msgspec.structs.replace(self._execute(operation), era=self.era)

    def _execute(self, operation: StoreCall) -> StoreResult:
        if isinstance(operation, ReadObject):
            self.calls["read"] += 1
            found = self.objects.get(operation.key)
            if found is None:
                return self._make_failure(StoreFailure.NOT_FOUND)
            return StoreResult(objects=(found,), revision=self.revision)
        if isinstance(operation, ListObjects):
            self.calls["list"] += 1
            return StoreResult(
                objects=self.find_changed(operation.prefix, 0), revision=self.revision
            )
        self.calls["write"] += 1
        return self._write(operation)

    def find_changed(self, prefix: str, after: int) -> tuple[StoredObject, ...]:
        """Return objects changed after a revision, ascending by revision."""
        found = []
        for stored in self.objects.values():
            if stored.revision > after and stored.key.startswith(prefix):
                found.append(stored)
        return tuple(sorted(found, key=lambda stored: stored.revision))

    def _write(self, operation: WriteObject) -> StoreResult:
        if len(operation.value) > MAX_VALUE_BYTES:
            return self._make_failure(StoreFailure.REJECTED)
        old = self.objects.get(operation.key)
        version = old.version if old is not None else 0
        stale = operation.expected_era not in (0, self.era)
        if stale or version != operation.expected_version:
            return self._make_failure(StoreFailure.CONFLICT)
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

    def _make_failure(self, failure: StoreFailure) -> StoreResult:
        return StoreResult(failure=failure, revision=self.revision)


class FakeStoreClient(Emitter, Store):
    """One VM's adapter to the shared store.

    Args:
        store: the shared store.
        vm: the VM.
    """

    def __init__(self, *, store: FakeStore, vm: VmAddress) -> None:
        super().__init__(world=store.world)
        self._store = store
        self._vm = vm
        self._watch: effects.WatchStore | None = None
        self._delivered_revision = 0
        self._last_delivery_at = 0.0
        self._open_calls: set[int] = set()

    async def start(self, emit: Emit) -> None:
        """Start emitting events."""
        await super().start(emit)
        self.world.observe_links(lambda: None, self.deliver)

    def call(self, effect: effects.CallStore) -> None:
        """Start a call; after its timeout it is reported as not answered."""
        self._open_calls.add(effect.call)
        run_in_store = partial(self._store.execute, effect.operation)
        self._call_store(run_in_store, partial(self._report, effect.call))
        lost = StoreResult(failure=StoreFailure.NO_ANSWER)
        self.world.call_later(effect.timeout, self._report, effect.call, lost)

    def _report(self, call: int, result: StoreResult) -> None:
        if call in self._open_calls:
            self._open_calls.remove(call)
            self.emit(events.StoreAnswered, call=call, result=result)

    def watch(self, effect: effects.WatchStore) -> None:
        """Start a watch, which replaces any other."""
        self.unwatch()
        self._watch = effect
        self._delivered_revision = effect.after
        self._store.calls["watch"] += 1
        self._store.watchers.add(self)
        self.world.call_later(self._measure_delay(), self.deliver)

    def unwatch(self) -> None:
        """End the watch, if there is one."""
        self._watch = None
        self._store.watchers.discard(self)

    def read_vm_list(self) -> None:
        """Request the list of VMs; a lost answer causes no event."""
        self._call_store(self._store.read_vms, self._report_vms)

    def _report_vms(self, found: tuple) -> None:
        live, leaving = found
        self.emit(events.VmListReported, live=live, leaving=leaving)

    async def stop(self) -> None:
        """End the watch and stop emitting events."""
        self.unwatch()
        await super().stop()

    def deliver(self) -> None:
        """Send the changes that the watch has not delivered, if the VM is reachable."""
        watch = self._watch
        if watch is None or self._store.down or not self._is_open():
            return
        era, revision = self._store.era, self._store.revision
        if era != watch.era or revision < self._delivered_revision:
            delay = self._measure_delay() + self._store.latency
            self.world.call_later(delay, self._emit_restored, watch, era)
            return
        objects = self._store.find_changed(watch.prefix, self._delivered_revision)
        if not objects:
            return
        self._delivered_revision = revision
        self._store.calls["watch"] += 1
        due = self.world.now() + self._measure_delay() + self._store.latency
        self._last_delivery_at = max(self._last_delivery_at, due)
        delay = self._last_delivery_at - self.world.now()
        self.world.call_later(delay, self._emit_changes, watch, objects, revision)

    def _emit_changes(
        self,
        watch: effects.WatchStore,
        objects: tuple[StoredObject, ...],
        revision: int,
    ) -> None:
        if watch is not self._watch:
            return
        if not self._is_open():
            self._delivered_revision = min(
                self._delivered_revision, objects[0].revision - 1
            )
            return
        self.emit(
            events.StoreChanged, objects=objects, revision=revision, era=watch.era
        )

    def _emit_restored(self, watch: effects.WatchStore, era: int) -> None:
        if watch is self._watch and self._is_open():
            self.unwatch()
            self.emit(events.StoreRestored, era=era)

    def _call_store(self, run_in_store: Callable, report: Callable) -> None:
        def reach() -> None:
            if self._store.down or not self._is_open():
                return
            answer = run_in_store()
            loss = self._store.answer_loss
            if loss and self.world.random.random() < loss:
                return
            self.world.call_later(self._measure_delay(), arrive, answer)

        def arrive(answer: object) -> None:
            if self._is_open() and not self._store.down:
                report(answer)

        self.world.call_later(self._measure_delay() + self._store.latency, reach)

    def _measure_delay(self) -> float:
        return self.world.measure_delay(self._vm, self._store.endpoint)

    def _is_open(self) -> bool:
        return self.world.is_open(self._vm, self._store.endpoint)
