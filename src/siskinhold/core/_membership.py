"""Membership of VMs: heartbeats, the platform's list, start and shutdown."""

from dataclasses import dataclass

from ..effects import SendPeer
from ..events import PeerReceived, ShutdownRequested, Started, VmListReported
from ..messages import Heartbeat, Probe, ProbeAnswer, VmsPushed
from ..model import VmState
from ._gossip import (
    add_contact,
    build_heartbeat,
    build_own_view,
    build_sync,
    merge_view,
    watch_peer,
)
from ._ownership import find_owner, is_watcher, list_live
from ._state import Effects, NodeState, record
from ._suspicion import (
    PAUSE_THRESHOLD,
    answer_probe,
    check_silence,
    forget_gone,
    handle_probe_answer,
    probe_random,
    record_message,
    reset_silence,
)
from ._targets import choose_targets, find_address, find_incarnation, uses_full_mesh
from ._timers import TimerAction

__all__ = ["find_address", "find_incarnation", "find_owner", "is_watcher", "list_live"]

BEAT_INTERVAL = 0.2
"""Seconds between two heartbeats."""

CONTACTS_PER_BEAT = 2
"""Maximum number of addresses without a live VM that get each heartbeat."""

SYNC_DELAYS = (2.0, 6.0, 15.0)
"""Seconds after the start at which a VM of a large fleet requests all views.

It repeats the request because, when many VMs start at once, the first ones that
it asks know few others.
"""

FORGET_INTERVAL = 30.0
"""Seconds between two checks for gone VMs to remove."""


@dataclass(slots=True, frozen=True)
class BeatDue(TimerAction):
    """The next heartbeat is due."""


@dataclass(slots=True, frozen=True)
class SyncDue(TimerAction):
    """The next request for all views is due."""


@dataclass(slots=True, frozen=True)
class ForgetDue(TimerAction):
    """The next check for gone VMs to remove is due."""


def _handle_start(node: NodeState, event: Started, out: Effects) -> None:
    """Store the seeds as contacts, and start the timers of the membership."""
    membership = node.membership
    for address in node.identity.seeds:
        add_contact(node, address)
    membership.beat_at = node.now
    membership.version += 1
    node.timers.schedule(node.now, BeatDue())
    node.timers.schedule(node.now + FORGET_INTERVAL, ForgetDue())
    for delay in SYNC_DELAYS:
        node.timers.schedule(node.now + delay, SyncDue())


def _request_sync(node: NodeState, action: SyncDue, out: Effects) -> None:
    """Request all views from a random VM in a large fleet.

    A heartbeat with the sender's own view alone is answered with all views.
    """
    names = [name for name in list_live(node, None) if name != node.identity.name]
    if uses_full_mesh(node) or not names:
        return
    message = Heartbeat(views=(build_own_view(node),))
    out.append(SendPeer(vm=node.random.choice(names), message=message))


def _beat(node: NodeState, action: BeatDue, out: Effects) -> None:
    """Check for silent VMs and for a pause of this process, and send a heartbeat."""
    membership = node.membership
    if node.now - membership.beat_at > PAUSE_THRESHOLD:
        reset_silence(node, out)
    membership.beat_at = node.now
    jitter = node.random.uniform(0.95, 1.05)
    node.timers.schedule(node.now + BEAT_INTERVAL * jitter, BeatDue())
    check_silence(node, out)
    probe_random(node, out)
    _send_heartbeats(node, out)


def _send_heartbeats(node: NodeState, out: Effects) -> None:
    """Send the next heartbeat to its targets and to a few absent contacts."""
    node.membership.beat += 1
    message = build_heartbeat(node)
    for name in choose_targets(node) + _choose_contacts(node):
        out.append(SendPeer(vm=name, message=message))


def _choose_contacts(node: NodeState) -> list[str]:
    """Return a few contacts that are unknown or gone, chosen at random."""
    membership = node.membership
    absent = []
    for name in membership.contacts:
        peer = membership.peers.get(name)
        if peer is None or peer.view.state is VmState.GONE:
            absent.append(name)
    if len(absent) <= CONTACTS_PER_BEAT:
        return absent
    return node.random.sample(absent, CONTACTS_PER_BEAT)


def _handle_heartbeat(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Merge the views of a heartbeat and start to watch its sender.

    A heartbeat with the sender's view alone is answered with all views.
    """
    envelope = event.envelope
    views = envelope.message.views
    if not views or views[0].address.name != envelope.sender:
        return
    sender = envelope.sender
    for view in views:
        merge_view(node, view, sender, out)
    peer = node.membership.peers.get(sender)
    if peer is not None and peer.view.state is not VmState.GONE:
        watch_peer(node, peer)
    if len(views) == 1 and len(node.membership.peers) > 1:
        # The sender knows no other VM yet, or requests all views.
        for message in build_sync(node):
            out.append(SendPeer(vm=sender, message=message))


def _handle_vm_list(node: NodeState, event: VmListReported, out: Effects) -> None:
    _apply_vm_list(node, event.live, event.leaving, out)


def _handle_pushed_vm_list(node: NodeState, event: PeerReceived, out: Effects) -> None:
    pushed = event.envelope.message
    _apply_vm_list(node, pushed.live, pushed.leaving, out)


def _apply_vm_list(node: NodeState, live, leaving, out: Effects) -> None:
    """Store new contacts and the leaving VMs of the platform's list.

    This VM announces itself as leaving if the list says so, else as live unless it is
    shutting down.
    """
    membership = node.membership
    for address in live:
        peer = membership.peers.get(address.name)
        if peer is None or peer.view.state is VmState.GONE:
            add_contact(node, address)
    names = frozenset(leaving)
    if names == membership.listed_leaving:
        return
    membership.listed_leaving = names
    membership.version += 1
    detail = (("leaving", " ".join(sorted(names))),)
    record(out, "vm_list_changed", cause="platform", detail=detail)
    if node.identity.name in names:
        _announce(node, VmState.LEAVING, "platform", out)
    elif not node.shutting_down:
        _announce(node, VmState.LIVE, "platform", out)


def _announce_shutdown(node: NodeState, event: ShutdownRequested, out: Effects) -> None:
    """Announce this VM as leaving when its shutdown begins."""
    _announce(node, VmState.LEAVING, "shutdown requested", out)


def _announce(node: NodeState, state: VmState, cause: str, out: Effects) -> None:
    """Change this VM's own state, and send it in a heartbeat at once."""
    membership = node.membership
    if membership.state is state:
        return
    membership.state = state
    membership.version += 1
    detail = (("peer", node.identity.name),)
    record(out, f"vm_{state.value}", cause=cause, detail=detail)
    _send_heartbeats(node, out)


def _forget(node: NodeState, action: ForgetDue, out: Effects) -> None:
    node.timers.schedule(node.now + FORGET_INTERVAL, ForgetDue())
    forget_gone(node)


EVENTS: dict = {
    Started: _handle_start,
    PeerReceived: record_message,
    VmListReported: _handle_vm_list,
    ShutdownRequested: _announce_shutdown,
}
MESSAGES: dict = {
    Heartbeat: _handle_heartbeat,
    Probe: answer_probe,
    ProbeAnswer: handle_probe_answer,
    VmsPushed: _handle_pushed_vm_list,
}
TIMERS: dict = {BeatDue: _beat, SyncDue: _request_sync, ForgetDue: _forget}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
