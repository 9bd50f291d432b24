"""Costs of the membership protocol: heartbeats, views, ownership."""

import msgspec

from siskinhold.core import NodeState
from siskinhold.core._membership import find_owner
from siskinhold.messages import Heartbeat, TicketsPushed
from siskinhold.model import VmState

from ._bench import Bench, schedule_heartbeats
from ._samples import (
    VMS_PER_DATABASE,
    add_databases,
    add_peers,
    make_groups,
    make_node,
    make_ticket,
    make_view,
    receive,
)
from ._series import Series, measure_allocated_bytes, measure_cpu_seconds

VM_COUNTS = (3, 9, 100, 1_000, 5_300)
DATABASE_COUNTS = (10, 100, 1_000, 9_400)
HEARTBEAT_SENDERS = 8
VIEWS_PER_HEARTBEAT = 3
WARM_UP_TIME = 2.0


def measure_heartbeats(
    counts: tuple[int, ...] = VM_COUNTS, seconds: float = 20.0
) -> list[Series]:
    """Measure an idle VM that owns no database and receives heartbeats.

    They come from `HEARTBEAT_SENDERS` VMs, or from all others in smaller fleets.
    """
    names = ("reducer time", "bytes sent", "messages sent", "bytes a heartbeat")
    units = ("us/s", "B/s", "1/s", "B")
    points: dict[str, list] = {name: [] for name in names}
    for count in counts:
        node = make_node()
        add_peers(node, count)
        bench = Bench(node)
        vm = node.identity.name
        senders = min(HEARTBEAT_SENDERS, count - 1)
        schedule_heartbeats(
            bench, vm, vm_count=count, senders=senders, views=VIEWS_PER_HEARTBEAT
        )
        bench.run(WARM_UP_TIME)
        bench.reset()
        bench.run(seconds)
        sent = bench.sent_bytes.total()
        beats = bench.sent[vm, "Heartbeat"]
        values = (
            bench.seconds[vm] * 1e6 / seconds,
            sent / seconds,
            bench.sent.total() / seconds,
            bench.sent_bytes[vm, "Heartbeat"] / max(beats, 1),
        )
        for name, value in zip(names, values):
            points[name].append((count, value))
    return [
        Series(measure="heartbeats", name=n, size="VMs", unit=u, points=points[n])
        for n, u in zip(names, units)
    ]


def measure_views(counts: tuple[int, ...] = VM_COUNTS) -> list[Series]:
    """Measure the memory of a node's views of a fleet and the time to store them."""
    memory = []
    learning = []
    for count in counts:
        memory.append((count, measure_allocated_bytes(lambda: _make_node(count))))
        learning.append((count, measure_cpu_seconds(lambda: _make_node(count)) * 1e3))
    size = len(msgspec.msgpack.encode(make_view(1)))
    return [
        Series(measure="views", name="memory", size="VMs", unit="B", points=memory),
        Series(
            measure="views",
            name="time to learn",
            size="VMs",
            unit="ms",
            points=learning,
        ),
        Series(
            measure="views",
            name="whole view encoded",
            size="VMs",
            unit="B",
            points=[(count, count * size) for count in counts],
        ),
    ]


EVENT_INTERVAL = 1.0
"""Seconds of virtual time between events that are measured one by one."""
ZONE_LOSS_TIME = 4.0
"""Seconds over which a VM learns of the loss of a zone, as in fleets of 100 VMs."""


def measure_ownership(counts: tuple[int, ...] = DATABASE_COUNTS) -> list[Series]:
    """Measure reconciliation in fleets with the design ratio of VMs to databases.

    While an event that changes the membership or a ticket is reduced, the VM
    does nothing else.
    """
    names = (
        "first ticket (all owners searched)",
        "ticket of one group",
        "one VM gone",
        "one VM joined",
        "a quarter of the VMs gone, one event",
        "a further quarter gone, three in an event",
        "find_owner, cached",
    )
    points: dict[str, list] = {name: [] for name in names}
    for count in counts:
        for name, value in zip(names, _measure_one_size(count)):
            points[name].append((count, value))
    return [
        Series(
            measure="ownership",
            name=name,
            size="databases",
            unit="us" if name == names[-1] else "ms",
            points=points[name],
        )
        for name in names
    ]


def measure_moves(databases: int = 9_400, vms: int = 5_300) -> list[Series]:
    """Count the pools that change their owner, by the number of lost VMs."""
    node = make_node()
    add_peers(node, vms)
    before = _list_owners(node, databases)
    load: dict[str, int] = {}
    for owner in before.values():
        load[owner] = load.get(owner, 0) + 1
    moved = []
    most = []
    for lost in (1, max(2, vms // 130), vms // 4):
        # Every fourth VM, counted back from the last, is in the same zone.
        gone = [vms - 1 - 4 * step for step in range(lost) if vms > 4 * step + 1]
        _report_lost_vms(node, gone)
        after = _list_owners(node, databases)
        gains: dict[str, int] = {}
        for key, owner in before.items():
            if after[key] != owner:
                gains[after[key]] = gains.get(after[key], 0) + 1
        moved.append((len(gone), sum(gains.values())))
        most.append((len(gone), max(gains.values(), default=0)))
    heaviest = [(vms, max(load.values()))]
    idle = [(vms, vms - len(load))]
    return [
        Series(measure="moves", name=n, size="VMs lost", unit="pools", points=p)
        for n, p in (("pools moved", moved), ("most taken by one VM", most))
    ] + [
        Series(measure="moves", name=n, size="VMs", unit=u, points=p)
        for n, u, p in (
            ("most pools of one VM", "pools", heaviest),
            ("VMs without a pool", "VMs", idle),
        )
    ]


def _make_node(count: int) -> NodeState:
    node = make_node()
    add_peers(node, count)
    return node


def _list_owners(node: NodeState, databases: int) -> dict[tuple[str, str], str]:
    owners = {}
    for index in range(databases):
        for region in ("east", "west"):
            name = f"db-{index:04d}"
            owners[name, region] = find_owner(node, name, region)
    return owners


def _report_lost_vms(node: NodeState, indexes: list[int]) -> None:
    """Deliver one message that reports VMs as gone."""
    views = [make_view(index, state=VmState.GONE) for index in indexes]
    sender = make_view(1, beat=5)
    receive(node, "vm-0001", Heartbeat(views=(sender, *views)))


def _measure_one_size(count: int) -> tuple[float, ...]:
    vms = max(4, round(count * VMS_PER_DATABASE))
    node = make_node()
    add_peers(node, vms)
    first = measure_cpu_seconds(lambda: add_databases(node, count)) * 1e3
    ticket = measure_cpu_seconds(lambda: _apply_ticket(node, 2)) * 1e3
    node.now += EVENT_INTERVAL
    gone = measure_cpu_seconds(lambda: _report_lost_vms(node, [vms - 1])) * 1e3
    node.now += EVENT_INTERVAL
    joined = measure_cpu_seconds(lambda: _report_joined_vm(node, vms)) * 1e3
    node.now += EVENT_INTERVAL
    lost = range(3, vms - 1, 4)
    quarter = measure_cpu_seconds(lambda: _report_lost_vms(node, list(lost))) * 1e3
    message_parts = [
        list(range(n, min(n + 12, vms - 1), 4)) for n in range(2, vms - 1, 12)
    ]
    node.now += EVENT_INTERVAL
    pause = ZONE_LOSS_TIME / max(1, len(message_parts))
    spread = (
        measure_cpu_seconds(lambda: _report_lost_in_parts(node, message_parts, pause))
        * 1e3
    )
    cached = measure_cpu_seconds(lambda: _list_owners(node, count)) / (2 * count) * 1e6
    return first, ticket, gone, joined, quarter, spread, cached


def _report_lost_in_parts(
    node: NodeState, message_parts: list[list[int]], pause: float
) -> None:
    """Deliver losses in several messages, and a last one after a pause."""
    for part in message_parts:
        node.now += pause
        _report_lost_vms(node, part)
    node.now += EVENT_INTERVAL
    receive(node, "vm-0001", Heartbeat(views=(make_view(1, beat=6),)))


def _apply_ticket(node: NodeState, number: int) -> None:
    ticket = make_ticket(number, make_groups(3))
    receive(node, "vm-0001", TicketsPushed(tickets=(ticket,)))


def _report_joined_vm(node: NodeState, index: int) -> None:
    view = make_view(index)
    receive(node, view.address.name, Heartbeat(views=(view, make_view(1, 9))))
