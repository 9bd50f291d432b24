"""Faults of VMs, servers, networks and the store, each with its repair."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass

import msgspec

from siskinhold.model import ServerState
from siskinhold_trial.fleet import Fleet
from siskinhold_trial.history import Drain

SLOW_CALLER_DELAY = 0.3
"""One-way delay, in seconds, to the slow callers of a VM that shuts down."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Fault:
    """One kind of fault.

    Args:
        name: its name in reports.
        run: causes the fault, waits, and repairs it.
    """

    name: str
    run: Callable[[Fleet, random.Random], Awaitable[None]]


def _pick_database(fleet: Fleet, rng: random.Random) -> str:
    return rng.choice(sorted(fleet.databases))


def _pick_vm(fleet: Fleet, rng: random.Random):
    """Return a VM unaffected by other faults; None unless over two are left."""
    free = [vm for vm in fleet.list_running() if vm.address.name not in fleet.busy]
    return rng.choice(free) if len(free) > 2 else None


def _pick_owner(fleet: Fleet, name: str):
    """Return a database's owner VM; None if another fault affects it."""
    vm = fleet.find_owner(name)
    if vm is None or vm.address.name in fleet.busy:
        return None
    return vm if len(fleet.list_running()) > 2 else None


@contextlib.contextmanager
def _reserve_vm(fleet: Fleet, vm) -> Iterator[None]:
    """Exclude other faults from a VM, since each repairs only what it caused."""
    fleet.busy.add(vm.address.name)
    try:
        yield
    finally:
        fleet.busy.discard(vm.address.name)


async def kill_vm(fleet: Fleet, rng: random.Random) -> None:
    """Kill a VM; it restarts with empty memory under the same address."""
    vm = _pick_vm(fleet, rng)
    if vm is None:
        return
    with _reserve_vm(fleet, vm):
        await vm.kill()
        await asyncio.sleep(rng.choice((0.1, 1.0, 4.0)))
        await vm.start()


async def kill_owner(fleet: Fleet, rng: random.Random) -> None:
    """Kill the owner of a database, then restart it."""
    vm = _pick_owner(fleet, _pick_database(fleet, rng))
    if vm is None:
        return
    with _reserve_vm(fleet, vm):
        await vm.kill()
        await asyncio.sleep(3.0)
        await vm.start()


async def kill_primary(fleet: Fleet, rng: random.Random) -> None:
    """Kill a primary and restart it with its log intact."""
    server = fleet.databases[_pick_database(fleet, rng)].find_primary()
    if not server.alive:
        return
    server.kill()
    await asyncio.sleep(rng.choice((0.3, 3.0, 8.0)))
    server.restart()


async def kill_owner_in_promotion(fleet: Fleet, rng: random.Random) -> None:
    """Kill a primary, and then the database's owner during the promotion."""
    name = _pick_database(fleet, rng)
    server = fleet.databases[name].find_primary()
    if not server.alive:
        return
    server.kill()
    await asyncio.sleep(0.5 + rng.random() * 0.15)
    vm = _pick_owner(fleet, name)
    if vm is not None:
        with _reserve_vm(fleet, vm):
            await vm.kill()
            await asyncio.sleep(4.0)
            await vm.start()
    server.restart()


async def isolate_primary(fleet: Fleet, rng: random.Random) -> None:
    """Isolate a primary, which still considers itself the primary."""
    server = fleet.databases[_pick_database(fleet, rng)].find_primary()
    fleet.world.isolate(server.endpoint.name)
    await asyncio.sleep(rng.choice((0.4, 3.0, 8.0)))
    fleet.world.rejoin(server.endpoint.name)


async def isolate_primary_with_owner(fleet: Fleet, rng: random.Random) -> None:
    """Isolate a primary together with its owner VM from everything else."""
    name = _pick_database(fleet, rng)
    database = fleet.databases[name]
    server = database.find_primary()
    vm = fleet.find_owner(name)
    if vm is None:
        return
    isolated = (server.endpoint.name, vm.address.name)
    others = [other for other in database.servers if other not in isolated]
    others += [other for other in fleet.vms if other not in isolated]
    pairs = [(one, other) for one in isolated for other in (*others, "store")]
    began = fleet.world.now()
    for one, other in pairs:
        fleet.world.cut(one, other)
    await asyncio.sleep(rng.choice((1.0, 5.0)))
    for one, other in pairs:
        fleet.world.heal(one, other)
    if vm.life is not None:
        vm.life.cut_off.append((began, fleet.world.now()))


async def isolate_primary_from_replicas(fleet: Fleet, rng: random.Random) -> None:
    """Disconnect a primary from its replicas only; VMs still reach it."""
    database = fleet.databases[_pick_database(fleet, rng)]
    name = database.find_primary().endpoint.name
    others = [other for other in database.servers if other != name]
    for other in others:
        fleet.world.cut(name, other)
    await asyncio.sleep(rng.choice((0.8, 6.0)))
    for other in others:
        fleet.world.heal(name, other)


async def cut_region_link(fleet: Fleet, rng: random.Random) -> None:
    """Cut the link between the two regions."""
    regions = sorted({region for region, _ in fleet.deployment.zones})
    began = fleet.world.now()
    fleet.world.cut(*regions)
    await asyncio.sleep(rng.choice((1.0, 6.0)))
    fleet.world.heal(*regions)
    for vm in fleet.vms.values():
        if vm.life is not None:
            vm.life.cut_off.append((began, fleet.world.now()))


async def freeze_vm(fleet: Fleet, rng: random.Random) -> None:
    """Freeze an owner VM and resume it, like a paused virtual machine."""
    vm = _pick_owner(fleet, _pick_database(fleet, rng))
    if vm is None:
        return
    with _reserve_vm(fleet, vm):
        vm.freeze()
        await asyncio.sleep(rng.choice((0.3, 3.0, 6.0)))
        vm.unfreeze()


async def stop_store(fleet: Fleet, rng: random.Random) -> None:
    """Make the store unavailable for a while."""
    fleet.store.down = True
    await asyncio.sleep(rng.choice((1.0, 10.0)))
    fleet.store.restore()


async def restore_store(fleet: Fleet, rng: random.Random) -> None:
    """Bring the store back from a copy that is some seconds old, in a new era."""
    copy = fleet.store.save_copy()
    await asyncio.sleep(rng.choice((0.5, 3.0, 8.0)))
    while fleet.store.down:
        await asyncio.sleep(0.5)
    fleet.store.down = True
    await asyncio.sleep(rng.choice((0.2, 2.0)))
    fleet.store.load_copy(copy, raise_era=True)
    fleet.store.restore()


async def slow_store(fleet: Fleet, rng: random.Random) -> None:
    """Raise the latency of the store for a while."""
    usual = fleet.store.latency
    fleet.store.latency = rng.choice((0.2, 1.0))
    await asyncio.sleep(6.0)
    fleet.store.latency = usual


async def lose_store_answers(fleet: Fleet, rng: random.Random) -> None:
    """Lose answers of the store after the changes took effect."""
    fleet.store.answer_loss = 0.5
    await asyncio.sleep(6.0)
    fleet.store.answer_loss = 0.0


async def silence_connections(fleet: Fleet, rng: random.Random) -> None:
    """Make all open connections to a server unresponsive; new ones work."""
    database = fleet.databases[_pick_database(fleet, rng)]
    server = database.servers[rng.choice(sorted(database.servers))]
    server.silence()
    await asyncio.sleep(2.0)


async def lose_answers(fleet: Fleet, rng: random.Random) -> None:
    """Break connections after statements took effect, before their answers.

    In half of the cases all primaries are also killed while the store is down,
    so that a statement that ran can be neither confirmed nor repeated.
    """
    vms = fleet.list_running()
    for vm in vms:
        vm.backends.answer_loss = 0.3
    await asyncio.sleep(2.0)
    servers = []
    if rng.random() < 0.5:
        fleet.store.down = True
        servers = [database.find_primary() for database in fleet.databases.values()]
        for server in servers:
            server.kill()
    await asyncio.sleep(0.1)
    for vm in vms:
        vm.backends.answer_loss = 0.0
    if not servers:
        return
    await asyncio.sleep(7.0)
    fleet.store.restore()
    for server in servers:
        server.restart()


async def delay_replicas(fleet: Fleet, rng: random.Random) -> None:
    """Raise the replication lag of all servers of a database for a while."""
    database = fleet.databases[_pick_database(fleet, rng)]
    usual = {server: server.lag for server in database.servers.values()}
    for server in usual:
        server.lag = rng.choice((0.5, 3.0))
    await asyncio.sleep(4.0)
    for server, lag in usual.items():
        server.lag = lag


async def freeze_primary(fleet: Fleet, rng: random.Random) -> None:
    """Freeze a primary and resume it, so that its answers come very late."""
    server = fleet.databases[_pick_database(fleet, rng)].find_primary()
    server.freeze()
    await asyncio.sleep(rng.choice((0.4, 2.0, 5.0)))
    server.unfreeze()


async def restart_vm_gracefully(fleet: Fleet, rng: random.Random) -> None:
    """Shut a VM down gracefully and start it again.

    The first of its processes, and then every other one, has slow callers at its end.
    """
    vm = _pick_vm(fleet, rng)
    if vm is None:
        return
    with _reserve_vm(fleet, vm):
        if vm.incarnation % 2:
            vm.callers.delay = SLOW_CALLER_DELAY
        await vm.shut_down()
        await asyncio.sleep(0.5)
        await vm.start()


async def drain_server(fleet: Fleet, rng: random.Random) -> None:
    """Drain a server by a change ticket and reinstate it by the next one."""
    if fleet.store.down or fleet.draining:
        return
    fleet.draining = True
    database = fleet.databases[_pick_database(fleet, rng)]
    name = rng.choice(sorted(database.servers))
    fleet.accept_ticket(_with_state(fleet, name, ServerState.LEAVING))
    drain = Drain(server=name, at=fleet.world.now())
    fleet.history.drains.append(drain)
    await asyncio.sleep(8.0)
    while fleet.store.down:
        await asyncio.sleep(0.5)
    fleet.accept_ticket(fleet.group)
    drain.undone_at = fleet.world.now()
    fleet.draining = False


def _with_state(fleet: Fleet, name: str, state: ServerState):
    databases = []
    for database in fleet.group.databases:
        servers = []
        for server in database.servers:
            if server.name == name:
                server = msgspec.structs.replace(server, state=state)
            servers.append(server)
        databases.append(msgspec.structs.replace(database, servers=tuple(servers)))
    return msgspec.structs.replace(fleet.group, databases=tuple(databases))


FAULTS = (
    Fault(name="kill_vm", run=kill_vm),
    Fault(name="kill_owner", run=kill_owner),
    Fault(name="kill_primary", run=kill_primary),
    Fault(name="kill_owner_in_promotion", run=kill_owner_in_promotion),
    Fault(name="isolate_primary", run=isolate_primary),
    Fault(name="isolate_primary_with_owner", run=isolate_primary_with_owner),
    Fault(name="isolate_primary_from_replicas", run=isolate_primary_from_replicas),
    Fault(name="cut_region_link", run=cut_region_link),
    Fault(name="freeze_vm", run=freeze_vm),
    Fault(name="stop_store", run=stop_store),
    Fault(name="slow_store", run=slow_store),
    Fault(name="lose_store_answers", run=lose_store_answers),
    Fault(name="silence_connections", run=silence_connections),
    Fault(name="lose_answers", run=lose_answers),
    Fault(name="delay_replicas", run=delay_replicas),
    Fault(name="freeze_primary", run=freeze_primary),
    Fault(name="restart_vm_gracefully", run=restart_vm_gracefully),
    Fault(name="drain_server", run=drain_server),
)

RESTORE_FAULTS = (
    Fault(name="restore_store", run=restore_store),
    Fault(name="kill_primary", run=kill_primary),
    Fault(name="drain_server", run=drain_server),
)
"""The restored store, and faults with which VMs and operators write to it."""
