"""Measures owner lookups, heartbeats and messages between VMs.

Usage: python scripts/measure_membership.py
"""

import asyncio
import random
import socket
import time
import tracemalloc

import msgspec
import uvloop

from siskinhold import events
from siskinhold.adapters import EnvelopeCodec, NngPeers
from siskinhold.core import Identity, NodeState, reduce
from siskinhold.core._membership import find_owner
from siskinhold.effects import SendPeer
from siskinhold.messages import Envelope, Heartbeat, Probe, ProbeAnswer
from siskinhold.model import VmAddress, VmState, VmView

FLEET_SIZES = (10, 100, 5300)
LOOKUP_COUNT = 2000
HEADER_BYTES = 66
"""Bytes of the Ethernet, IP and TCP headers of a packet."""


def build_view(number: int, beat: int = 1) -> VmView:
    region = "north" if number % 2 else "south"
    address = VmAddress(
        name=f"vm-{number:05}",
        host=f"10.{number >> 8}.{number & 255}.7",
        peer_port=7400,
        operator_port=7401,
        region=region,
        availability_zone=f"{region}-{'ab'[number % 4 > 1]}",
    )
    return VmView(
        address=address,
        incarnation=1_764_800_000 + number,
        state=VmState.LIVE,
        beat=beat,
        ticket=7300,
    )


def build_envelope(view: VmView, *others: VmView) -> Envelope:
    return Envelope(
        sender=view.address.name,
        incarnation=view.incarnation,
        receiver_incarnation=0,
        clock=1_000_000,
        message=Heartbeat(views=(view, *others)),
    )


def build_probe_answer(at: float, probe: Probe) -> events.PeerReceived:
    answer = ProbeAnswer(suspect=probe.suspect, sequence=probe.sequence, heard_ms=0)
    envelope = build_envelope(build_view(int(probe.suspect[3:])))
    envelope = msgspec.structs.replace(envelope, message=answer)
    return events.PeerReceived(at=at, envelope=envelope)


def build_node(size: int) -> NodeState:
    identity = Identity(address=build_view(0).address, incarnation=1_764_800_000)
    node = NodeState(identity=identity, random=random.Random(1))
    reduce(node, events.Started(at=0.0))
    views = [build_view(number) for number in range(1, size)]
    for first in range(0, len(views), 200):
        part = views[first : first + 200]
        envelope = build_envelope(part[0], *part[1:])
        reduce(node, events.PeerReceived(at=0.0, envelope=envelope))
    return node


def measure_lookups(size: int) -> None:
    node = build_node(size)
    names = [f"db{number}" for number in range(LOOKUP_COUNT)]
    figures = []
    for step in ("first", "cached", "after_loss"):
        if step == "after_loss":
            peer = node.membership.peers["vm-00003"]
            peer.view = msgspec.structs.replace(peer.view, state=VmState.GONE)
            node.membership.version += 1
        start = time.perf_counter()
        for name in names:
            find_owner(node, name, "north")
        spent = (time.perf_counter() - start) / LOOKUP_COUNT * 1e6
        figures.append(f"{step}_us={spent:.2f}")
    print(f"lookup vms={size}", *figures)


def measure_heartbeats(size: int, seconds: float = 20.0) -> None:
    """Measure one VM of a fleet whose other VMs keep sending heartbeats."""
    tracemalloc.start()
    node = build_node(size)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    codec = EnvelopeCodec()
    rng = random.Random(2)
    sent = messages = received = 0
    cost = now = 0.0
    beat = 1
    probes: list = []
    senders = rng.sample(range(1, size), min(8, size - 1))
    while now < seconds:
        now += 0.2
        beat += 1
        if beat % 25 == 0 and size > 10:
            senders = [*senders[1:], rng.randrange(1, size)]
        arrivals = [build_probe_answer(now, probe) for probe in probes]
        probes = []
        for number in senders:
            others = [build_view(rng.randrange(1, size), beat) for _ in range(3)]
            envelope = build_envelope(build_view(number, beat), *others)
            arrivals.append(events.PeerReceived(at=now, envelope=envelope))
        arrivals.append(events.TimeAdvanced(at=now))
        received += len(arrivals) - 1
        start = time.perf_counter()
        effects = [effect for event in arrivals for effect in reduce(node, event)]
        cost += time.perf_counter() - start
        for effect in effects:
            if not isinstance(effect, SendPeer):
                continue
            if isinstance(effect.message, Probe):
                probes.append(effect.message)
            envelope = msgspec.structs.replace(
                build_envelope(build_view(0)), message=effect.message
            )
            messages += 1
            sent += len(codec.encode(envelope))
    frames = sent + messages * HEADER_BYTES
    print(
        f"beats vms={size} sent_messages_s={messages / seconds:.1f}",
        f"payload_bytes_s={sent / seconds:.0f} with_headers={frames / seconds:.0f}",
        f"reducer_core_percent={cost / seconds * 100:.2f}",
        f"received_messages_s={received / seconds:.1f} memory_kb={memory // 1024}",
    )


def find_free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


async def measure_messages(label: str, key: bytes, count: int = 20_000) -> None:
    ports = find_free_port(), find_free_port()
    seen: list = []
    sender = NngPeers(
        vm="a", host="127.0.0.1", port=ports[0], fleet_keys=(key,) if key else ()
    )
    receiver = NngPeers(
        vm="b", host="127.0.0.1", port=ports[1], fleet_keys=(key,) if key else ()
    )
    await sender.start(seen.append)
    await receiver.start(seen.append)
    sender.set_address("b", "127.0.0.1", ports[1])
    envelope = build_envelope(*(build_view(number) for number in range(4)))
    start_cpu = time.process_time()
    start = time.perf_counter()
    sent = 0
    async with asyncio.timeout(30):
        while len(seen) < count:
            while sent < count and sent - len(seen) < 128:
                sender.send("b", envelope)
                sent += 1
            await asyncio.sleep(0)
    spent = time.perf_counter() - start
    cpu = time.process_time() - start_cpu
    size = len(EnvelopeCodec(fleet_keys=(key,) if key else ()).encode(envelope))
    print(
        f"messages loop={label} key={bool(key)} bytes={size}",
        f"per_s={count / spent:.0f} us={spent / count * 1e6:.1f}",
        f"cpu_us={cpu / count * 1e6:.1f}",
    )
    await sender.stop()
    await receiver.stop()


def main() -> None:
    for size in FLEET_SIZES:
        measure_lookups(size)
    for size in FLEET_SIZES:
        measure_heartbeats(size)
    for label, factory in (("asyncio", None), ("uvloop", uvloop.new_event_loop)):
        for key in (b"", b"secret"):
            with asyncio.Runner(loop_factory=factory) as runner:
                runner.run(measure_messages(label, key))


if __name__ == "__main__":
    main()
