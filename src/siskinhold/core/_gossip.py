"""Gossip of VM views: which views to send, and which of two views is newer.

Views are ordered by incarnation, then by beat. With equal beats, gone overrides
leaving, and leaving overrides live. A VM refutes a wrong view of itself with its
next heartbeat, whose beat is higher.
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
"""Maximum number of other VMs' views in one message of `build_sync`."""

SUSPICION_TIMEOUT = 1.5
"""Seconds of silence after which a VM is suspected and probed."""

PROBE_LEAD_TIME = 0.5
"""Seconds before suspicion during which a silent VM is probed directly."""

REJOIN_BEATS = 12
"""Beats by which a relayed view of a gone VM must be newer to replace that state.

A VM is declared gone after 2.5 s of silence, which is about this many beats. A
view that is newer by less may date from before the loss.
"""

MAX_CONTACTS = 1000
"""Maximum number of addresses kept for new attempts; the oldest are discarded.

Regions that were partitioned for an hour reconnect through these addresses.
"""

_RANK = {VmState.LIVE: 0, VmState.LEAVING: 1, VmState.GONE: 2}


def build_own_view(node: NodeState) -> VmView:
    """Return this VM's view of itself."""
    return VmView(
        address=node.identity.address,
        incarnation=node.identity.incarnation,
        state=node.membership.state,
        beat=node.membership.beat,
        ticket=node.config.applied,
        terms=node.config.progress,
    )


def build_heartbeat(node: NodeState) -> Heartbeat:
    """Return the next heartbeat.

    It holds the VM's own view, then changed views, then others in rotation.
    """
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
    """Put a VM's view at the front of the views to send.

    It is sent in a number of heartbeats that grows with the logarithm of the
    fleet's size, so that gossip reaches nearly every VM.
    """
    changes = node.membership.changes
    changes[name] = 2 + 2 * len(node.membership.peers).bit_length()
    changes.move_to_end(name, last=False)


def merge_view(node: NodeState, view: VmView, sender: str, out: Effects) -> None:
    """Apply a view of another VM if it is newer than the known one.

    Args:
        sender: the VM that sent the view.
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
        if gone and sender != name and view.beat - known.beat < REJOIN_BEATS:
            return
        _replace_view(node, peer, view, cause, out)
        if gone and view.state is not VmState.GONE:
            watch_peer(node, peer)
        return
    if view.beat == known.beat and _RANK[view.state] > _RANK[known.state]:
        change_state(node, peer, view.state, cause, out)
    elif view.state is VmState.GONE and known.state is not VmState.GONE:
        # The sender's view is older, so its state is not applied. The silence of
        # the VM is measured instead to find out whether it is gone.
        watch_peer(node, peer)


def watch_peer(node: NodeState, peer: Peer) -> None:
    """Start measuring a VM's silence if it isn't measured yet.

    The VM then has `PROBE_LEAD_TIME` to answer probes before it is suspected.
    """
    name = peer.view.address.name
    if name in node.membership.watched:
        return
    node.membership.watched[name] = None
    peer.watched_at = node.now - SUSPICION_TIMEOUT + PROBE_LEAD_TIME


def add_contact(node: NodeState, address: VmAddress) -> None:
    """Keep the address of a VM, which is tried while the VM is not known to be live."""
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
    """Change the local view of a VM's state and prioritize it in gossip."""
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
    """Record the new state or incarnation of a VM, and end its suspicion.

    A gone VM is no longer watched or sent heartbeats; its address is kept as a contact.
    """
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
    """Add a VM that was unknown here, unless the view says that it is gone."""
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
    """Replace the known view of a VM, and record a change of state or a restart.

    In a small fleet, where views are recent, the VM also counts as heard.
    """
    before = peer.view
    peer.view = view
    restarted = view.incarnation != before.incarnation
    if restarted or view.state is not before.state:
        _record_state(node, peer, cause, out)
        prioritize_view(node, view.address.name)
    if view.state is VmState.GONE:
        return
    # In a large fleet a view passed on by other VMs can be seconds old.
    if restarted or uses_full_mesh(node):
        peer.heard_at = node.now
        peer.suspected_at = None


def _refute_view_of_self(node: NodeState, view: VmView, out: Effects) -> None:
    """Raise the own beat above that of a view in which this VM is gone.

    A view with a higher incarnation is recorded as a conflict.
    """
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
    """Return the VMs whose changed views are next, and count their transmissions."""
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
    """Return the next VM of the rotation, None if no VM is known that is not gone."""
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
