"""Whole fleets in virtual time: store calls, traffic, tickets, loss of VMs."""

import asyncio
from dataclasses import dataclass

import looptime

from siskinhold.model import RoutingRules, VmState
from siskinhold_trial.fleet import CRANNOG, Fleet, FleetVm

from ._series import Series

VM_COUNTS = (3, 9, 30, 100)
WARM_UP_TIME = 3.0
IDLE_TIME = 4.0
POLL_INTERVAL = 0.05
"""Seconds between two checks of the awaited condition."""
WAIT_TIMEOUT = 30.0
"""Seconds after which a wait ends; this value then means "not complete"."""


@dataclass(slots=True, kw_only=True)
class FleetFigures:
    """Figures of one fleet: times in seconds and rates per second."""

    store_calls: float
    messages: float
    bytes_sent: float
    link_bytes: float
    ticket: float
    one_lost: float
    zone_lost: float


def measure_fleets(counts: tuple[int, ...] = VM_COUNTS) -> list[Series]:
    """Measure idle fleets of three databases, one ticket and the loss of VMs."""
    points: dict[str, list[tuple[float, float]]] = {}
    for count in counts:
        figures = run_fleet(count)
        for name, _ in _UNITS:
            points.setdefault(name, []).append((count, getattr(figures, name)))
    titles = {
        "store_calls": "store calls of the fleet",
        "messages": "messages sent by a VM",
        "bytes_sent": "bytes sent by a VM",
        "link_bytes": "bytes across the link, fleet, both ways",
        "ticket": "ticket in force on all VMs after",
        "one_lost": "one lost VM known to all after",
        "zone_lost": "a lost zone known to all after",
    }
    return [
        Series(
            measure="fleets", name=titles[n], size="VMs", unit=unit, points=points[n]
        )
        for n, unit in _UNITS
    ]


_UNITS = (
    ("store_calls", "1/s"),
    ("messages", "1/s"),
    ("bytes_sent", "B/s"),
    ("link_bytes", "B/s"),
    ("ticket", "s"),
    ("one_lost", "s"),
    ("zone_lost", "s"),
)


def run_fleet(count: int) -> FleetFigures:
    """Run a fleet of `count` VMs and return its figures."""
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(_run(count))
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def _run(count: int) -> FleetFigures:
    fleet = Fleet(deployment=CRANNOG, seed=1, vm_count=count)
    await fleet.start()
    await asyncio.sleep(WARM_UP_TIME)
    idle = await _measure_idle(fleet, count)
    ticket = await _measure_ticket(fleet)
    one = await _measure_loss(fleet, [_list_zone(fleet, "munster-a")[0]])
    # This zone is the only one of its region.
    zone = await _measure_loss(fleet, _list_zone(fleet, "munster-a"))
    await fleet.stop()
    return FleetFigures(
        store_calls=idle[0],
        messages=idle[1],
        bytes_sent=idle[2],
        link_bytes=idle[3],
        ticket=ticket,
        one_lost=one,
        zone_lost=zone,
    )


async def _measure_idle(fleet: Fleet, count: int) -> tuple[float, ...]:
    calls = fleet.store.calls.total()
    messages = fleet.network.messages.total()
    sent_bytes = fleet.network.sent_bytes.total()
    across = fleet.network.count_cross_region_bytes()
    await asyncio.sleep(IDLE_TIME)
    return (
        (fleet.store.calls.total() - calls) / IDLE_TIME,
        (fleet.network.messages.total() - messages) / count / IDLE_TIME,
        (fleet.network.sent_bytes.total() - sent_bytes) / count / IDLE_TIME,
        (fleet.network.count_cross_region_bytes() - across) / IDLE_TIME,
    )


async def _measure_ticket(fleet: Fleet) -> float:
    rules = RoutingRules(max_age_ms=1_500)
    number = fleet.accept_ticket(fleet.deployment.make_group(rules))

    def applied() -> bool:
        return all(vm.node.config.applied >= number for vm in fleet.list_running())

    return await _measure_wait(fleet, applied)


def _list_zone(fleet: Fleet, zone: str) -> list[FleetVm]:
    running = fleet.list_running()
    return [vm for vm in running if vm.address.availability_zone == zone]


async def _measure_loss(fleet: Fleet, lost: list[FleetVm]) -> float:
    if not lost:
        return 0.0
    names = {vm.address.name for vm in lost}
    for vm in lost:
        await vm.kill()

    def all_know_loss() -> bool:
        return all(_knows_loss(vm, names) for vm in fleet.list_running())

    return await _measure_wait(fleet, all_know_loss)


def _knows_loss(vm: FleetVm, names: set[str]) -> bool:
    for name in names:
        peer = vm.node.membership.peers.get(name)
        if peer is not None and peer.view.state is not VmState.GONE:
            return False
    return True


async def _measure_wait(fleet: Fleet, condition) -> float:
    started = fleet.world.now()
    while not condition():
        if fleet.world.now() - started > WAIT_TIMEOUT:
            return WAIT_TIMEOUT
        await asyncio.sleep(POLL_INTERVAL)
    return round(fleet.world.now() - started, 3)
