"""Messages between VMs in one process."""

from collections import Counter

import msgspec

from siskinhold import events
from siskinhold.adapters import Emit, Peers
from siskinhold.messages import Envelope
from siskinhold.model import VmAddress

from ._emitter import Emitter
from ._world import FakeWorld


class FakeNetwork:
    """Carries envelopes between VMs; its attributes are the faults.

    Args:
        world: the test's surroundings; its cut links drop messages.
        loss: probability that a message is lost.
        jitter: longest extra delay in seconds; any jitter reorders messages.

    Attributes:
        sent_bytes: bytes by pair of sending and receiving region.
        messages: messages by the same pair.
    """

    def __init__(
        self, *, world: FakeWorld, loss: float = 0.0, jitter: float = 0.0
    ) -> None:
        self.world = world
        self.loss = loss
        self.jitter = jitter
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        self.messages: Counter[tuple[str, str]] = Counter()
        self.listeners: dict[tuple[str, int], "FakePeers"] = {}

    def count_cross_region_bytes(self) -> int:
        """Return the bytes sent so far from one region to another."""
        return sum(
            size for (one, other), size in self.sent_bytes.items() if one != other
        )

    def transmit(
        self, sender: VmAddress, address: tuple[str, int], envelope: Envelope
    ) -> None:
        """Carry an envelope to whoever listens at the address on arrival."""
        receiver = self.listeners.get(address)
        if receiver is None:
            return
        data = msgspec.msgpack.encode(envelope)
        pair = (sender.region, receiver.vm.region)
        self.sent_bytes[pair] += len(data)
        self.messages[pair] += 1
        generator = self.world.random
        if self.loss and generator.random() < self.loss:
            return
        delay = self.world.measure_delay(sender, receiver.vm)
        if self.jitter:
            delay += generator.uniform(0, self.jitter)
        self.world.call_later(delay, self._deliver, sender, address, data)

    def _deliver(
        self, sender: VmAddress, address: tuple[str, int], data: bytes
    ) -> None:
        receiver = self.listeners.get(address)
        if receiver is None or not self.world.is_open(sender, receiver.vm):
            return
        envelope = msgspec.msgpack.decode(data, type=Envelope)
        receiver.emit(events.PeerReceived, envelope=envelope)


class FakePeers(Emitter, Peers):
    """One VM's adapter to the network.

    Args:
        network: what carries the messages.
        vm: the VM and the address it listens at.
    """

    def __init__(self, *, network: FakeNetwork, vm: VmAddress) -> None:
        super().__init__(world=network.world)
        self.vm = vm
        self._network = network
        self._addresses: dict[str, tuple[str, int]] = {}

    async def start(self, emit: Emit) -> None:
        """Begin to listen.

        Raises:
            OSError: if another VM listens at the address.
        """
        address = (self.vm.host, self.vm.peer_port)
        if address in self._network.listeners:
            raise OSError(f"address {address} is in use")
        await super().start(emit)
        self._network.listeners[address] = self

    def learn(self, vm: str, host: str, port: int) -> None:
        """Note where a VM is reached."""
        self._addresses[vm] = (host, port)

    def send(self, vm: str, envelope: Envelope) -> None:
        """Send without waiting."""
        address = self._addresses.get(vm)
        if address is not None:
            self._network.transmit(self.vm, address, envelope)

    async def stop(self) -> None:
        """Stop to listen."""
        await super().stop()
        self._network.listeners.pop((self.vm.host, self.vm.peer_port), None)
