"""The detection of VMs that are gone: silence, probes, loss."""

from ..effects import SendPeer
from ..events import PeerReceived
from ..messages import Probe, ProbeAnswer
from ..model import VmState
from ._gossip import PROBE_TIME, SUSPECT_AFTER, change_state, watch_peer
from ._ownership import list_live
from ._state import Effects, NodeState, Peer, record
from ._targets import is_small

GONE_AFTER = 2.5
"""Seconds of silence after which a suspected VM is taken as gone."""

ISOLATED_GONE_AFTER = 10.0
"""The same while most other VMs are silent.

The fault is then probably on this VM's side, and to drop the others and take
them back would move the ownership of nearly every database twice.
"""

PAUSE_AFTER = 1.0
"""Seconds between two own heartbeats that show that this process was paused."""

PROBE_HELPERS = 2
"""VMs that are asked to probe a suspected VM."""

RANDOM_PROBE_INTERVAL = 1.0
"""Seconds between two probes of a random VM in a large fleet.

They find a VM that is lost together with all VMs that it sent heartbeats to.
"""

FORGET_AFTER = 600.0
"""Seconds for which a gone VM is remembered, so that old views don't revive it."""


def check_silence(node: NodeState, out: Effects) -> None:
    """Suspect silent VMs and take VMs that stay silent as gone."""
    mine = node.membership
    if is_small(node):
        for peer in mine.peers.values():
            if peer.view.state is VmState.GONE:
                continue
            watch_peer(node, peer)
            _check_connection(node, peer, out)
    limit = ISOLATED_GONE_AFTER if _is_isolated(node) else GONE_AFTER
    for name in list(mine.watched):
        peer = mine.peers.get(name)
        if peer is None or peer.view.state is VmState.GONE:
            del mine.watched[name]
            continue
        silence = _measure_silence(node, peer)
        if silence < SUSPECT_AFTER - PROBE_TIME:
            continue
        if peer.suspected_at is not None and silence >= limit:
            cause = f"silent for {silence:.1f} s"
            change_state(node, peer, VmState.GONE, cause, out)
            continue
        if silence >= SUSPECT_AFTER and peer.suspected_at is None:
            _suspect(node, peer, out)
        _probe_silent(node, peer, out)


def _check_connection(node: NodeState, peer: Peer, out: Effects) -> None:
    """Probe a VM that is heard of through others only.

    Its connection to this VM may have gone silent; the probe tells it so.
    """
    last = max(peer.message_at, peer.probed_at)
    if node.now - last < SUSPECT_AFTER:
        return
    peer.probed_at = node.now
    name = peer.view.address.name
    _send_probe(node, name, name, out)


def restart_silence(node: NodeState, out: Effects) -> None:
    """Start to measure silence anew after a pause of this process."""
    mine = node.membership
    for name in mine.watched:
        peer = mine.peers.get(name)
        if peer is not None:
            peer.watched_at = node.now
            peer.suspected_at = None
    pause = round(node.now - mine.beat_at, 3)
    record(out, "pause_noticed", cause="timer", detail=(("seconds", pause),))


def probe_random(node: NodeState, out: Effects) -> None:
    """Probe a random VM from time to time in a large fleet."""
    mine = node.membership
    if node.now < mine.probe_at or is_small(node):
        return
    mine.probe_at = node.now + RANDOM_PROBE_INTERVAL
    name = node.random.choice(list_live(node, None))
    peer = mine.peers.get(name)
    if peer is None:
        return
    watch_peer(node, peer)
    _send_probe(node, name, name, out)


def forget_gone(node: NodeState) -> None:
    """Drop VMs that have been gone for long."""
    peers = node.membership.peers
    for name in list(peers):
        gone_at = peers[name].gone_at
        if gone_at is not None and node.now - gone_at > FORGET_AFTER:
            del peers[name]


def note_message(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Count any message of a VM as a sign of life."""
    envelope = event.envelope
    peer = node.membership.peers.get(envelope.sender)
    if peer is None or peer.view.state is VmState.GONE:
        return
    if envelope.incarnation == peer.view.incarnation:
        peer.heard_at = node.now
        peer.message_at = node.now
        peer.suspected_at = None


def answer_probe(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Answer for this VM, or say when the suspect was heard and probe it."""
    sender = event.envelope.sender
    probe = event.envelope.message
    if probe.suspect == node.identity.name:
        _answer(sender, probe, 0, out)
        return
    peer = node.membership.peers.get(probe.suspect)
    if peer is None:
        _answer(sender, probe, -1, out)
        return
    silence = node.now - peer.message_at
    if silence < SUSPECT_AFTER and peer.view.state is not VmState.GONE:
        _answer(sender, probe, int(silence * 1000), out)
    askers = node.membership.relayed.setdefault(probe.suspect, {})
    askers[sender] = probe.sequence
    _send_probe(node, probe.suspect, probe.suspect, out)


def take_probe_answer(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Note when the suspect was heard, and pass the answer on to askers."""
    answer = event.envelope.message
    if answer.heard_ms < 0:
        return
    name = answer.suspect
    if event.envelope.sender == name:
        for asker, sequence in node.membership.relayed.pop(name, {}).items():
            passed = ProbeAnswer(suspect=name, sequence=sequence, heard_ms=0)
            out.append(SendPeer(vm=asker, message=passed))
    peer = node.membership.peers.get(name)
    if peer is None or peer.view.state is VmState.GONE:
        return
    peer.heard_at = max(peer.heard_at, node.now - answer.heard_ms / 1000)
    if node.now - peer.heard_at >= SUSPECT_AFTER:
        return
    peer.suspected_at = None
    if not is_small(node):
        # It answers but has other targets for its heartbeats.
        node.membership.watched.pop(name, None)


def _suspect(node: NodeState, peer: Peer, out: Effects) -> None:
    name = peer.view.address.name
    peer.suspected_at = node.now
    silence = round(_measure_silence(node, peer), 3)
    detail = (("peer", name), ("silent_s", silence))
    record(out, "vm_suspected", cause="silence", detail=detail)


def _probe_silent(node: NodeState, peer: Peer, out: Effects) -> None:
    """Probe with each beat, as single probes get lost; through others if suspected."""
    name = peer.view.address.name
    _send_probe(node, name, name, out)
    if peer.suspected_at is None:
        return
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


def _answer(vm: str, probe: Probe, heard_ms: int, out: Effects) -> None:
    answer = ProbeAnswer(
        suspect=probe.suspect, sequence=probe.sequence, heard_ms=heard_ms
    )
    out.append(SendPeer(vm=vm, message=answer))


def _measure_silence(node: NodeState, peer: Peer) -> float:
    return node.now - max(peer.heard_at, peer.watched_at)


def _is_isolated(node: NodeState) -> bool:
    region = node.identity.address.region
    silent = {True: 0, False: 0}
    heard = {True: 0, False: 0}
    for name in node.membership.watched:
        peer = node.membership.peers.get(name)
        if peer is None:
            continue
        near = peer.view.address.region == region
        counts = silent if _measure_silence(node, peer) >= SUSPECT_AFTER else heard
        counts[near] += 1
    if sum(silent.values()) <= sum(heard.values()):
        return False
    return not heard[True] or silent[True] > heard[True]
