"""The targets of a VM's heartbeats, and the addresses of VMs."""

from ..messages import (
    Heartbeat,
    Message,
    Probe,
    ProbeAnswer,
    TermsPushed,
    TermsWanted,
    TicketsPushed,
    TicketsWanted,
    VmsPushed,
)
from ..model import VmAddress, VmState
from ._ownership import list_live
from ._state import NodeState

MAX_FULL_MESH_PEERS = 8
"""Maximum number of other VMs up to which each VM sends heartbeats to all."""

RANDOM_TARGETS = 4
"""Number of randomly chosen VMs that get each heartbeat in a larger fleet."""

MAX_RETURNED_TARGETS = 4
"""Maximum number of VMs that get a heartbeat because they sent one recently.

Otherwise a VM that no other VM chose would receive nothing for seconds.
"""

RETURN_WINDOW = 1.0
"""Seconds for which a VM gets heartbeats after its last message."""

REMOTE_SHARE = 4
"""Number of random targets per target in another region."""

NEIGHBOUR_CHANGE_INTERVAL = 5.0
"""Seconds between two replacements of a random target by another one.

Targets are kept for some time because each needs an open connection, and because
a receiver detects the silence only of a sender that it hears regularly.
"""

_FOR_ANY_INCARNATION = (
    Heartbeat,
    Probe,
    ProbeAnswer,
    TermsPushed,
    TermsWanted,
    TicketsPushed,
    TicketsWanted,
    VmsPushed,
)


def uses_full_mesh(node: NodeState) -> bool:
    """Return whether each VM sends its heartbeats to all others."""
    return len(list_live(node, None)) <= MAX_FULL_MESH_PEERS + 1


def choose_targets(node: NodeState) -> list[str]:
    """Return the VMs that get the next heartbeat.

    In a large fleet, these are random neighbours, one of which is replaced from time to
    time, and VMs that sent a message recently.
    """
    membership = node.membership
    if uses_full_mesh(node):
        return [
            name
            for name, peer in membership.peers.items()
            if peer.view.state is not VmState.GONE
        ]
    if node.now >= membership.rotate_at:
        membership.rotate_at = node.now + NEIGHBOUR_CHANGE_INTERVAL
        if membership.neighbours:
            membership.neighbours.pop(0)
    _fill_neighbours(node)
    return membership.neighbours + _choose_returned(node)


def _choose_returned(node: NodeState) -> list[str]:
    """Return watched VMs that sent a message within `RETURN_WINDOW`."""
    membership = node.membership
    names = []
    for name in membership.watched:
        peer = membership.peers.get(name)
        if peer is None or name in membership.neighbours:
            continue
        if node.now - peer.message_at <= RETURN_WINDOW:
            names.append(name)
    if len(names) <= MAX_RETURNED_TARGETS:
        return names
    return node.random.sample(names, MAX_RETURNED_TARGETS)


def _fill_neighbours(node: NodeState) -> None:
    """Add random live VMs until there are `RANDOM_TARGETS`, one of another region."""
    neighbours = node.membership.neighbours
    own_region = node.identity.address.region
    live = list_live(node, None)
    for _ in range(4 * RANDOM_TARGETS):
        if len(neighbours) >= RANDOM_TARGETS:
            return
        remote = [n for n in neighbours if _find_region(node, n) != own_region]
        want_remote = len(remote) < RANDOM_TARGETS // REMOTE_SHARE
        has_remote = len(live) > len(list_live(node, own_region))
        name = node.random.choice(live)
        for _ in range(8):
            if (_find_region(node, name) != own_region) == (want_remote and has_remote):
                break
            name = node.random.choice(live)
        if name != node.identity.name and name not in neighbours:
            neighbours.append(name)


def _find_region(node: NodeState, name: str) -> str:
    """Return the region of a VM, or this VM's own if the VM is unknown."""
    peer = node.membership.peers.get(name)
    address = peer.view.address if peer else node.identity.address
    return address.region


def find_address(node: NodeState, vm: str) -> VmAddress | None:
    """Return the address of a VM, or None if it is unknown."""
    peer = node.membership.peers.get(vm)
    if peer is not None:
        return peer.view.address
    return node.membership.contacts.get(vm)


def find_incarnation(node: NodeState, vm: str, message: Message) -> int:
    """Return the incarnation that a message to a VM is for, 0 for any.

    Messages about membership, tickets and terms are for any incarnation, so that
    a VM whose restart was not noticed can still be reached.
    """
    if isinstance(message, _FOR_ANY_INCARNATION):
        return 0
    peer = node.membership.peers.get(vm)
    return peer.view.incarnation if peer is not None else 0
