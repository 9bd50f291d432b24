"""To whom a VM sends its heartbeats, and how a VM is addressed."""

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

FULL_TARGETS = 8
"""Other VMs in a fleet in which each VM sends heartbeats to all others."""

CHOSEN_TARGETS = 4
"""Randomly chosen VMs that get each heartbeat in a larger fleet."""

RETURNED_TARGETS = 4
"""Most VMs that get a heartbeat because theirs arrived lately.

Without them a VM that nobody chose would hear nothing for seconds.
"""

RETURN_TIME = 1.0
"""Seconds for which a VM's heartbeat is returned."""

REMOTE_SHARE = 4
"""One in this many chosen targets is in another region."""

NEIGHBOUR_CHANGE = 5.0
"""Seconds after which one target is replaced by another random one.

Targets stay for some time because each costs an open connection, and because
the receivers notice the silence of a sender that they hear regularly.
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


def is_small(node: NodeState) -> bool:
    """Return whether each VM sends its heartbeats to all others."""
    return len(list_live(node, None)) <= FULL_TARGETS + 1


def choose_targets(node: NodeState) -> list[str]:
    """Return the VMs that get the next heartbeat."""
    mine = node.membership
    if is_small(node):
        return [
            name
            for name, peer in mine.peers.items()
            if peer.view.state is not VmState.GONE
        ]
    if node.now >= mine.rotate_at:
        mine.rotate_at = node.now + NEIGHBOUR_CHANGE
        if mine.neighbours:
            mine.neighbours.pop(0)
    _fill_neighbours(node)
    return mine.neighbours + _choose_returned(node)


def _choose_returned(node: NodeState) -> list[str]:
    mine = node.membership
    names = []
    for name in mine.watched:
        peer = mine.peers.get(name)
        if peer is None or name in mine.neighbours:
            continue
        if node.now - peer.message_at <= RETURN_TIME:
            names.append(name)
    if len(names) <= RETURNED_TARGETS:
        return names
    return node.random.sample(names, RETURNED_TARGETS)


def _fill_neighbours(node: NodeState) -> None:
    neighbours = node.membership.neighbours
    mine = node.identity.address.region
    live = list_live(node, None)
    for _ in range(4 * CHOSEN_TARGETS):
        if len(neighbours) >= CHOSEN_TARGETS:
            return
        remote = [n for n in neighbours if _find_region(node, n) != mine]
        want_remote = len(remote) < CHOSEN_TARGETS // REMOTE_SHARE
        has_remote = len(live) > len(list_live(node, mine))
        name = node.random.choice(live)
        for _ in range(8):
            if (_find_region(node, name) != mine) == (want_remote and has_remote):
                break
            name = node.random.choice(live)
        if name != node.identity.name and name not in neighbours:
            neighbours.append(name)


def _find_region(node: NodeState, name: str) -> str:
    peer = node.membership.peers.get(name)
    address = peer.view.address if peer else node.identity.address
    return address.region


def find_address(node: NodeState, vm: str) -> VmAddress | None:
    """Return where a VM is reached, or None if it is not known."""
    peer = node.membership.peers.get(vm)
    if peer is not None:
        return peer.view.address
    return node.membership.contacts.get(vm)


def find_incarnation(node: NodeState, vm: str, message: Message) -> int:
    """Return the incarnation that a message to a VM is meant for, 0 for any.

    Messages about membership and tickets are meant for any, so that a VM that
    restarted unnoticed can be found again.
    """
    if isinstance(message, _FOR_ANY_INCARNATION):
        return 0
    peer = node.membership.peers.get(vm)
    return peer.view.incarnation if peer is not None else 0
