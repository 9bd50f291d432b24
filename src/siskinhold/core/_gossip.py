"""The spread of views: which to send, and which of two is newer.

A view is ordered by incarnation, then by beat. With an equal beat, gone counts
more than leaving, and leaving more than live. A VM refutes a wrong view of
itself by its next beat, which is higher.
"""

from ..messages import Heartbeat
from ..model import VmAddress, VmState, VmView
from ._state import Effects, NodeState, Peer, record
from ._targets import uses_full_mesh

VIEWS_PER_HEARTBEAT = 3
"""Views of other VMs in a heartbeat.

With at most 8 targets, 5 beats a second and about 75 bytes a view, a VM sends
less than 20 KB/s whatever the size of the fleet.
"""

VIEWS_PER_SYNC = 200
"""Views in one message to a VM that knows no other."""

SUSPICION_TIMEOUT = 1.5
"""Seconds of silence after which a VM is suspected and probed."""

PROBE_LEAD_TIME = 0.5
"""Seconds before suspicion in which a silent VM is probed directly."""

REVIVE_BEATS = 12
"""Beats by which the relayed view of a gone VM must be ahead to revive it.

It takes 2.5 s of silence to be taken as gone, which is as many beats. A view
that is less ahead can be one from before the loss.
"""

MAX_CONTACTS = 1000
"""Addresses kept to be tried; those noted longest ago are dropped.

Regions can be parted for an hour, and find each other again through them.
"""

_RANK = {VmState.LIVE: 0, VmState.LEAVING: 1, VmState.GONE: 2}


def build_own_view(node: NodeState) -> VmView:
    """Return what this VM says of itself."""
    return VmView(
        address=node.identity.address,
        incarnation=node.identity.incarnation,
        state=node.membership.state,
        beat=node.membership.beat,
        ticket=node.config.applied,
        terms=node.config.progress,
    )


def build_heartbeat(node: NodeState) -> Heartbeat:
    """Return the next heartbeat: own view, changed views, repeated views."""
    names = _pop_changed(node)
    while len(names) < VIEWS_PER_HEARTBEAT:
        name = _pop_repeated(node)
        if name is None or name in names:
            break
        names.append(name)
    peers = node.membership.peers
    return Heartbeat(
        views=(build_own_view(node), *(peers[name].view for name in names))
    )


def build_sync(node: NodeState) -> list[Heartbeat]:
    """Return all views, in heartbeats of bounded size."""
    views = [peer.view for peer in node.membership.peers.values()]
    messages = []
    for first in range(0, len(views), VIEWS_PER_SYNC):
        part = views[first : first + VIEWS_PER_SYNC]
        messages.append(Heartbeat(views=(build_own_view(node), *part)))
    return messages or [Heartbeat(views=(build_own_view(node),))]


def prioritize_view(node: NodeState, name: str) -> None:
    """Put a VM's view in front of those to be sent.

    It is sent in a number of heartbeats that grows with the logarithm of the
    fleet, so that an epidemic spread reaches nearly every VM.
    """
    changes = node.membership.changes
    changes[name] = 2 + 2 * len(node.membership.peers).bit_length()
    changes.move_to_end(name, last=False)


def merge_view(node: NodeState, view: VmView, sender: str, out: Effects) -> None:
    """Take over a view of another VM if it is newer.

    Args:
        sender: the VM that sent it.
    """
    name = view.address.name
    if name == node.identity.name:
        _refute_view_of_self(node, view, out)
        return
    cause = "heartbeat" if sender == name else f"heartbeat of {sender}"
    peer = node.membership.peers.get(name)
    if peer is None:
        _add_peer(node, view, cause, out)
        return
    known = peer.view
    if view.incarnation != known.incarnation:
        if view.incarnation > known.incarnation:
            _replace_view(node, peer, view, cause, out)
        return
    if view.beat > known.beat:
        gone = known.state is VmState.GONE
        if gone and sender != name and view.beat - known.beat < REVIVE_BEATS:
            return
        _replace_view(node, peer, view, cause, out)
        if gone and view.state is not VmState.GONE:
            watch_peer(node, peer)
        return
    if view.beat == known.beat and _RANK[view.state] > _RANK[known.state]:
        change_state(node, peer, view.state, cause, out)
    elif view.state is VmState.GONE and known.state is not VmState.GONE:
        # The sender knows an older beat. Whether the VM is gone is found out
        # by listening for it.
        watch_peer(node, peer)


def watch_peer(node: NodeState, peer: Peer) -> None:
    """Let a VM's silence count from now on.

    A VM of which nothing was expected before gets time to answer probes.
    """
    name = peer.view.address.name
    if name in node.membership.watched:
        return
    node.membership.watched[name] = None
    peer.watched_at = node.now - SUSPICION_TIMEOUT + PROBE_LEAD_TIME


def add_contact(node: NodeState, address: VmAddress) -> None:
    """Keep an address to be tried while no live VM is known there."""
    contacts = node.membership.contacts
    if address.name == node.identity.name:
        return
    contacts.pop(address.name, None)
    contacts[address.name] = address
    if len(contacts) > MAX_CONTACTS:
        del contacts[next(iter(contacts))]


def change_state(
    node: NodeState, peer: Peer, state: VmState, cause: str, out: Effects
) -> None:
    """Change the state of a VM as seen here and spread it."""
    before = peer.view.state
    if before is state:
        return
    name = peer.view.address.name
    peer.view = VmView(
        address=peer.view.address,
        incarnation=peer.view.incarnation,
        state=state,
        beat=peer.view.beat,
        ticket=peer.view.ticket,
        terms=peer.view.terms,
    )
    _record_state(node, peer, cause, out)
    prioritize_view(node, name)


def _record_state(node: NodeState, peer: Peer, cause: str, out: Effects) -> None:
    membership = node.membership
    view = peer.view
    name = view.address.name
    membership.version += 1
    peer.suspected_at = None
    peer.gone_at = None
    if view.state is VmState.GONE:
        peer.gone_at = node.now
        membership.watched.pop(name, None)
        if name in membership.neighbours:
            membership.neighbours.remove(name)
        add_contact(node, view.address)
    detail = (("peer", name), ("peer_incarnation", view.incarnation))
    record(out, f"vm_{view.state.value}", cause=cause, detail=detail)


def _add_peer(node: NodeState, view: VmView, cause: str, out: Effects) -> None:
    if view.state is VmState.GONE:
        return
    name = view.address.name
    peer = Peer(view=view, heard_at=node.now, probed_at=node.now)
    node.membership.peers[name] = peer
    _record_state(node, peer, cause, out)
    prioritize_view(node, name)


def _replace_view(
    node: NodeState, peer: Peer, view: VmView, cause: str, out: Effects
) -> None:
    before = peer.view
    peer.view = view
    restarted = view.incarnation != before.incarnation
    if restarted or view.state is not before.state:
        _record_state(node, peer, cause, out)
        prioritize_view(node, view.address.name)
    if view.state is VmState.GONE:
        return
    # In a large fleet a view can be seconds old when it comes through others.
    if restarted or uses_full_mesh(node):
        peer.heard_at = node.now
        peer.suspected_at = None


def _refute_view_of_self(node: NodeState, view: VmView, out: Effects) -> None:
    membership = node.membership
    if view.incarnation > node.identity.incarnation:
        detail = (("seen_incarnation", view.incarnation),)
        record(out, "incarnation_conflict", cause="heartbeat", detail=detail)
        return
    if view.incarnation < node.identity.incarnation:
        return
    if view.state is VmState.GONE and view.beat >= membership.beat:
        membership.beat = view.beat + 1


def _pop_changed(node: NodeState) -> list[str]:
    changes = node.membership.changes
    names: list[str] = []
    while changes and len(names) < VIEWS_PER_HEARTBEAT:
        name, left = changes.popitem(last=False)
        if name not in node.membership.peers:
            continue
        names.append(name)
        if left > 1:
            node.membership.changes[name] = left - 1
        if len(names) >= len(changes):
            break
    return names


def _pop_repeated(node: NodeState) -> str | None:
    membership = node.membership
    while True:
        if not membership.rotation:
            membership.rotation = [
                name
                for name, peer in membership.peers.items()
                if peer.view.state is not VmState.GONE
            ]
            node.random.shuffle(membership.rotation)
        if not membership.rotation:
            return None
        name = membership.rotation.pop()
        if name in membership.peers:
            return name
