"""A fake network between VMs in one process."""

from collections import Counter

import msgspec

from siskinhold import events
from siskinhold.adapters import Emit, Peers
from siskinhold.messages import Envelope
from siskinhold.model import VmAddress

from ._emitter import Emitter
from ._world import FakeWorld


class FakeNetwork:
    """Delivers envelopes between VMs.

    `loss` and `jitter` may be changed during the run.

    Args:
        world: the simulated environment of the test; a message over a cut link
            is lost.
        loss: probability that a message is lost.
        jitter: maximum extra delay in seconds; a value above 0 reorders messages.

    Attributes:
        sent_bytes: bytes sent, by sending and receiving region.
        messages: messages sent, by sending and receiving region.
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
        """Return the bytes sent so far between different regions."""
        return sum(
            size for (one, other), size in self.sent_bytes.items() if one != other
        )

    def transmit(
        self, sender: VmAddress, address: tuple[str, int], envelope: Envelope
    ) -> None:
        """Deliver an envelope to the VM that listens at the address on arrival."""
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
        network: the network shared by all VMs.
        vm: the VM, with the address that it listens on.
    """

    def __init__(self, *, network: FakeNetwork, vm: VmAddress) -> None:
        super().__init__(world=network.world)
        self.vm = vm
        self._network = network
        self._addresses: dict[str, tuple[str, int]] = {}

    async def start(self, emit: Emit) -> None:
        """Start listening.

        Raises:
            OSError: if another VM listens on the address.
        """
        address = (self.vm.host, self.vm.peer_port)
        if address in self._network.listeners:
            raise OSError(f"address {address} is in use")
        await super().start(emit)
        self._network.listeners[address] = self

    def set_address(self, vm: str, host: str, port: int) -> None:
        """Set the address of a VM."""
        self._addresses[vm] = (host, port)

    def send(self, vm: str, envelope: Envelope) -> None:
        """Send an envelope; it is dropped if the VM's address is unknown."""
        address = self._addresses.get(vm)
        if address is not None:
            self._network.transmit(self.vm, address, envelope)

    async def stop(self) -> None:
        """Stop listening."""
        await super().stop()
        self._network.listeners.pop((self.vm.host, self.vm.peer_port), None)
