"""Failure detection for VMs: suspicion after silence, probes, removal."""

from ..effects import SendPeer
from ..events import PeerReceived
from ..messages import Probe, ProbeAnswer
from ..model import VmState
from ._gossip import PROBE_LEAD_TIME, SUSPICION_TIMEOUT, change_state, watch_peer
from ._ownership import list_live
from ._state import Effects, NodeState, Peer, record
from ._targets import uses_full_mesh

GONE_TIMEOUT = 2.5
"""Seconds of silence (`_measure_silence`) after which a suspected VM is declared
gone."""

ISOLATED_GONE_TIMEOUT = 10.0
"""Seconds used instead of `GONE_TIMEOUT` while this VM seems cut off (`_is_isolated`).

The fault is then probably on this VM's side. To declare the others gone and to
add them again would move the ownership of nearly every database twice.
"""

PAUSE_THRESHOLD = 1.0
"""Seconds between two own heartbeats above which this process counts as paused."""

PROBE_HELPERS = 2
"""Number of VMs that are asked to probe a suspected VM."""

RANDOM_PROBE_INTERVAL = 1.0
"""Seconds between two probes of a random VM in a large fleet.

They detect a VM that is lost together with all receivers of its heartbeats.
"""

FORGET_DELAY = 600.0
"""Seconds after which a gone VM is removed from memory.

Until then, old views from other VMs can't add it again.
"""


def check_silence(node: NodeState, out: Effects) -> None:
    """Suspect silent VMs, probe them, and declare those that stay silent gone."""
    membership = node.membership
    if uses_full_mesh(node):
        for peer in membership.peers.values():
            if peer.view.state is VmState.GONE:
                continue
            watch_peer(node, peer)
            _probe_unresponsive_connection(node, peer, out)
    limit = ISOLATED_GONE_TIMEOUT if _is_isolated(node) else GONE_TIMEOUT
    for name in list(membership.watched):
        peer = membership.peers.get(name)
        if peer is None or peer.view.state is VmState.GONE:
            del membership.watched[name]
            continue
        silence = _measure_silence(node, peer)
        if silence < SUSPICION_TIMEOUT - PROBE_LEAD_TIME:
            continue
        if peer.suspected_at is not None and silence >= limit:
            cause = f"silent for {silence:.1f} s"
            change_state(node, peer, VmState.GONE, cause, out)
            continue
        if silence >= SUSPICION_TIMEOUT and peer.suspected_at is None:
            _mark_suspected(node, peer, out)
        _probe_silent_vm(node, peer, out)


def _probe_unresponsive_connection(node: NodeState, peer: Peer, out: Effects) -> None:
    """Probe a VM whose own messages no longer arrive here.

    Its connection to this VM may be unresponsive (half-open). The VM must send its
    answer over that connection, and so notices the loss.
    """
    last = max(peer.message_at, peer.probed_at)
    if node.now - last < SUSPICION_TIMEOUT:
        return
    peer.probed_at = node.now
    name = peer.view.address.name
    _send_probe(node, name, name, out)


def reset_silence(node: NodeState, out: Effects) -> None:
    """Restart the measurement of silence and end suspicions after an own pause."""
    membership = node.membership
    for name in membership.watched:
        peer = membership.peers.get(name)
        if peer is not None:
            peer.watched_at = node.now
            peer.suspected_at = None
    pause = round(node.now - membership.beat_at, 3)
    record(out, "pause_noticed", cause="timer", detail=(("seconds", pause),))


def probe_random(node: NodeState, out: Effects) -> None:
    """Watch and probe a random VM from time to time in a large fleet."""
    membership = node.membership
    if node.now < membership.probe_at or uses_full_mesh(node):
        return
    membership.probe_at = node.now + RANDOM_PROBE_INTERVAL
    name = node.random.choice(list_live(node, None))
    peer = membership.peers.get(name)
    if peer is None:
        return
    watch_peer(node, peer)
    _send_probe(node, name, name, out)


def forget_gone(node: NodeState) -> None:
    """Remove VMs that have been gone for `FORGET_DELAY`."""
    peers = node.membership.peers
    for name in list(peers):
        gone_at = peers[name].gone_at
        if gone_at is not None and node.now - gone_at > FORGET_DELAY:
            del peers[name]


def record_message(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Record that a VM was heard, for a message of any kind."""
    envelope = event.envelope
    peer = node.membership.peers.get(envelope.sender)
    if peer is None or peer.view.state is VmState.GONE:
        return
    if envelope.incarnation == peer.view.incarnation:
        peer.heard_at = node.now
        peer.message_at = node.now
        peer.suspected_at = None


def answer_probe(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Answer a probe of this VM, or help to probe another one.

    If the probe names another VM that is known here, the sender is told when that VM
    was last heard here, if that was recent. The VM is also probed, and its answer is
    passed on. An unknown VM is reported as never heard.
    """
    sender = event.envelope.sender
    probe = event.envelope.message
    if probe.suspect == node.identity.name:
        _send_probe_answer(sender, probe, 0, out)
        return
    peer = node.membership.peers.get(probe.suspect)
    if peer is None:
        _send_probe_answer(sender, probe, -1, out)
        return
    silence = node.now - peer.message_at
    if silence < SUSPICION_TIMEOUT and peer.view.state is not VmState.GONE:
        _send_probe_answer(sender, probe, int(silence * 1000), out)
    requesters = node.membership.probe_requests.setdefault(probe.suspect, {})
    requesters[sender] = probe.sequence
    _send_probe(node, probe.suspect, probe.suspect, out)


def handle_probe_answer(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Record when the suspect was heard, and pass its answer on to requesters."""
    answer = event.envelope.message
    if answer.heard_ms < 0:
        return
    name = answer.suspect
    if event.envelope.sender == name:
        for requester, sequence in node.membership.probe_requests.pop(name, {}).items():
            relayed_answer = ProbeAnswer(suspect=name, sequence=sequence, heard_ms=0)
            out.append(SendPeer(vm=requester, message=relayed_answer))
    peer = node.membership.peers.get(name)
    if peer is None or peer.view.state is VmState.GONE:
        return
    peer.heard_at = max(peer.heard_at, node.now - answer.heard_ms / 1000)
    if node.now - peer.heard_at >= SUSPICION_TIMEOUT:
        return
    peer.suspected_at = None
    if not uses_full_mesh(node):
        # It is live but sends its heartbeats to other targets.
        node.membership.watched.pop(name, None)


def _mark_suspected(node: NodeState, peer: Peer, out: Effects) -> None:
    """Mark a VM as suspected and add the suspicion to the timeline."""
    name = peer.view.address.name
    peer.suspected_at = node.now
    silence = round(_measure_silence(node, peer), 3)
    detail = (("peer", name), ("silent_s", silence))
    record(out, "vm_suspected", cause="silence", detail=detail)


def _probe_silent_vm(node: NodeState, peer: Peer, out: Effects) -> None:
    """Probe a silent VM, and through other VMs if it is suspected.

    This is repeated with each heartbeat, because single probes may get lost.
    """
    name = peer.view.address.name
    _send_probe(node, name, name, out)
    if peer.suspected_at is None:
        return
    # Two more than needed are drawn, as the suspect and this VM are left out.
    live = [
        other
        for other in node.random.sample(
            list_live(node, None), min(PROBE_HELPERS + 2, len(list_live(node, None)))
        )
        if other not in (name, node.identity.name)
    ]
    for helper in live[:PROBE_HELPERS]:
        _send_probe(node, helper, name, out)


def _send_probe(node: NodeState, to: str, suspect: str, out: Effects) -> None:
    node.membership.sequence += 1
    probe = Probe(suspect=suspect, sequence=node.membership.sequence)
    out.append(SendPeer(vm=to, message=probe))


def _send_probe_answer(vm: str, probe: Probe, heard_ms: int, out: Effects) -> None:
    answer = ProbeAnswer(
        suspect=probe.suspect, sequence=probe.sequence, heard_ms=heard_ms
    )
    out.append(SendPeer(vm=vm, message=answer))


def _measure_silence(node: NodeState, peer: Peer) -> float:
    """Return for how many seconds a VM has been silent.

    Silence starts when the VM was last heard, or later at `watched_at`. `watch_peer`
    sets `watched_at` to an earlier time, so a VM that stays silent is suspected
    `PROBE_LEAD_TIME` after it starts to be watched.
    """
    return node.now - max(peer.heard_at, peer.watched_at)


def _is_isolated(node: NodeState) -> bool:
    """Return whether the fault is probably on this VM's side.

    That is so if most of the watched VMs are silent and, of those in its own region,
    none is heard or more are silent than are heard.
    """
    region = node.identity.address.region
    silent = {True: 0, False: 0}
    heard = {True: 0, False: 0}
    for name in node.membership.watched:
        peer = node.membership.peers.get(name)
        if peer is None:
            continue
        same_region = peer.view.address.region == region
        counts = silent if _measure_silence(node, peer) >= SUSPICION_TIMEOUT else heard
        counts[same_region] += 1
    if sum(silent.values()) <= sum(heard.values()):
        return False
    return not heard[True] or silent[True] > heard[True]
