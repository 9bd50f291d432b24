"""VMs, databases and nodes of any number, set up through the reducer only."""

import random

import msgspec

from siskinhold import events
from siskinhold.core import Identity, NodeState, reduce
from siskinhold.messages import Envelope, Heartbeat, TermsPushed, TicketsPushed
from siskinhold.model import (
    BackendServer,
    ChangeTicket,
    Database,
    DatabaseGroup,
    TermRecord,
    TermStart,
    VmAddress,
    VmState,
    VmView,
)

ZONES = (("east", "east-a"), ("west", "west-a"), ("east", "east-b"), ("west", "west-b"))
GROUP_SIZE = 3
"""Databases of a group, as in current deployments."""
VMS_PER_DATABASE = 5_300 / 9_400
"""VMs for each database at the design size."""
VIEWS_PER_MESSAGE = 200


def make_vm(index: int) -> VmAddress:
    """Return a VM address; adjacent indexes are in different zones."""
    region, zone = ZONES[index % len(ZONES)]
    return VmAddress(
        name=f"vm-{index:04d}",
        host=f"10.{index // 65536}.{index // 256 % 256}.{index % 256}",
        peer_port=7000,
        operator_port=7001,
        region=region,
        availability_zone=zone,
    )


def make_view(index: int, beat: int = 1, state: VmState = VmState.LIVE) -> VmView:
    """Return a membership view of a VM."""
    return VmView(
        address=make_vm(index),
        incarnation=1_790_000_000,
        state=state,
        beat=beat,
        ticket=0,
    )


def make_database(index: int, *, slots: int = 5) -> Database:
    """Return a database: two instances in its home region, one in the other."""
    name = f"db-{index:04d}"
    home = index % 2
    places = (ZONES[home], ZONES[home + 2], ZONES[1 - home])
    servers = []
    for number, (region, zone) in enumerate(places):
        servers.append(
            BackendServer(
                name=f"{name}-{number}",
                host=f"10.200.{index // 256}.{index % 256}",
                port=3306 + number,
                region=region,
                availability_zone=zone,
                slots=slots,
            )
        )
    return Database(name=name, primary=servers[0].name, servers=tuple(servers))


def make_groups(count: int, *, slots: int = 5) -> tuple[DatabaseGroup, ...]:
    """Return groups with `count` databases in total."""
    groups = []
    for first in range(0, count, GROUP_SIZE):
        last = min(first + GROUP_SIZE, count)
        databases = tuple(make_database(n, slots=slots) for n in range(first, last))
        groups.append(DatabaseGroup(name=f"group-{first:04d}", databases=databases))
    return tuple(groups)


def make_ticket(number: int, groups: tuple[DatabaseGroup, ...]) -> ChangeTicket:
    """Return a change ticket that sets these groups."""
    return ChangeTicket(
        number=number,
        author="operator",
        identity=f"{number:032x}",
        groups=groups,
        reason="planned change",
    )


def make_records(count: int) -> tuple[TermRecord, ...]:
    """Return the term records of `count` databases in their first term."""
    records = []
    for index in range(count):
        name = f"db-{index:04d}"
        start = TermStart(term=1, offset=0, primary=f"{name}-0")
        records.append(TermRecord(database=name, starts=(start,)))
    return tuple(records)


def make_node(index: int = 0) -> NodeState:
    """Return a started node that knows no other VM."""
    identity = Identity(address=make_vm(index), incarnation=1_790_000_000)
    node = NodeState(identity=identity, random=random.Random(index))
    reduce(node, events.Started(at=0.0))
    return node


def receive(node: NodeState, sender: str, message, at: float | None = None):
    """Encode and decode a message, reduce its receipt and return the effects."""
    data = msgspec.msgpack.encode(wrap(sender, message))
    envelope = msgspec.msgpack.decode(data, type=Envelope)
    at = node.now if at is None else at
    return reduce(node, events.PeerReceived(at=at, envelope=envelope))


def wrap(sender: str, message) -> Envelope:
    """Return an envelope around a message."""
    return Envelope(
        sender=sender,
        incarnation=1_790_000_000,
        receiver_incarnation=0,
        clock=1_000_000,
        message=message,
    )


def measure_envelope(message) -> int:
    """Return the encoded size in bytes of a message in its envelope."""
    return len(msgspec.msgpack.encode(wrap("vm-0000", message)))


def add_peers(node: NodeState, count: int) -> None:
    """Deliver heartbeats so that a node knows `count` VMs, itself included."""
    own_name = node.identity.name
    indexes = [n for n in range(count) if make_vm(n).name != own_name]
    for first in range(0, len(indexes), VIEWS_PER_MESSAGE):
        part = [make_view(n) for n in indexes[first : first + VIEWS_PER_MESSAGE]]
        receive(node, part[0].address.name, Heartbeat(views=tuple(part)))


def add_databases(node: NodeState, count: int, *, slots: int = 5) -> list:
    """Apply a ticket with `count` databases, each in its first term, on a node.

    Returns:
        The effects.
    """
    ticket = make_ticket(1, make_groups(count, slots=slots))
    out = receive(node, "vm-0001", TermsPushed(records=make_records(count)))
    return out + receive(node, "vm-0001", TicketsPushed(tickets=(ticket,)))
