"""A simulated fleet: reducers that exchange messages with loss and delay."""

import heapq
import itertools
import random

from siskinhold import effects, events
from siskinhold.core import Identity, NodeState, find_incarnation, list_live, reduce
from siskinhold.messages import Envelope
from siskinhold.model import ChangeTicket, Database, DatabaseGroup, VmAddress
from siskinhold.store import (
    StoredObject,
    StoreFailure,
    StoreResult,
    encode_ticket,
    ticket_key,
)


def build_address(number: int, region: str) -> VmAddress:
    return VmAddress(
        name=f"vm{number}",
        host=f"10.0.0.{number}",
        peer_port=7000,
        region=region,
        availability_zone=f"{region}-a",
    )


def build_ticket(number: int, identity: str = "") -> ChangeTicket:
    database = Database(name=f"db{number}", primary="s", servers=())
    group = DatabaseGroup(name=f"g{number}", databases=(database,))
    return ChangeTicket(
        number=number, author="op", identity=identity or f"i{number}", groups=(group,)
    )


class Fleet:
    """VMs, the links between them and a store, deterministic for a seed.

    Args:
        size: number of VMs.
        seed: seed of every random choice.
        loss: probability that a message is lost.
        seeds: number of VMs that the others contact at the start.
        remote: number of VMs in the region "south" instead of "north".
    """

    def __init__(self, *, size, seed=1, loss=0.0, seeds=2, remote=0):
        self.random = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.count = itertools.count()
        self.queue = []
        self.nodes = {}
        self.objects = []
        self.store_up = True
        self.watches = {}
        self.records = []
        self.sent = 0
        self.cut = lambda a, b: False
        self.addresses = [
            build_address(n, "south" if n >= size - remote else "north")
            for n in range(size)
        ]
        self.seeds = tuple(self.addresses[:seeds])
        for address in self.addresses:
            self.start(address.name, incarnation=1)

    def start(self, name, *, incarnation):
        address = next(a for a in self.addresses if a.name == name)
        identity = Identity(address=address, incarnation=incarnation, seeds=self.seeds)
        seed = self.random.random()
        node = NodeState(identity=identity, random=random.Random(seed))
        self.nodes[name] = node
        self.watches.pop(name, None)
        self.feed(node, events.Started(at=self.now))

    def stop(self, name):
        self.watches.pop(name, None)
        return self.nodes.pop(name)

    def feed(self, node, event):
        for effect in reduce(node, event):
            self.perform(node, effect)

    def perform(self, node, effect):
        name = node.identity.name
        if isinstance(effect, effects.SendPeer):
            self.send(node, effect)
        elif isinstance(effect, effects.Record):
            self.records.append((self.now, name, effect))
        elif isinstance(effect, effects.WatchStore):
            self.watches[name] = effect
            found = [o for o in self.objects if o.revision > effect.after]
            self.later(0.005, node, events.StoreChanged, found)
        elif isinstance(effect, effects.UnwatchStore):
            self.watches.pop(name, None)
        elif isinstance(effect, effects.CallStore):
            self.later(0.005, node, events.StoreAnswered, effect)

    def send(self, node, effect):
        self.sent += 1
        if self.random.random() < self.loss:
            return
        node.clock += 1
        envelope = Envelope(
            sender=node.identity.name,
            incarnation=node.identity.incarnation,
            receiver_incarnation=find_incarnation(node, effect.vm, effect.message),
            clock=node.clock,
            message=effect.message,
        )
        delay = self.random.uniform(0.001, 0.02)
        self.push(self.now + delay, effect.vm, envelope)

    def later(self, delay, node, kind, payload):
        self.push(self.now + delay, node.identity.name, (kind, payload, node))

    def push(self, at, name, item):
        heapq.heappush(self.queue, (at, next(self.count), name, item))

    def accept(self, *tickets):
        for ticket in tickets:
            self.put(ticket_key(ticket.number), encode_ticket(ticket).unwrap())

    def put(self, key, value):
        version = 1 + sum(o.key == key for o in self.objects)
        item = StoredObject(
            key=key, value=value, version=version, revision=len(self.objects) + 1
        )
        self.objects.append(item)
        for name in list(self.watches):
            self.later(0.005, self.nodes[name], events.StoreChanged, [item])

    def deliver(self, name, item):
        node = self.nodes.get(name)
        if node is None:
            return
        if isinstance(item, Envelope):
            if not self.cut(item.sender, name):
                self.feed(node, events.PeerReceived(at=self.now, envelope=item))
            return
        kind, payload, asker = item
        if asker is not node:
            return
        revision = len(self.objects)
        if kind is events.StoreChanged:
            event = kind(at=self.now, objects=tuple(payload), revision=revision)
        else:
            event = kind(at=self.now, call=payload.call, result=self.list(payload))
        self.feed(node, event)

    def list(self, effect):
        if not self.store_up:
            return StoreResult(failure=StoreFailure.NO_ANSWER)
        prefix = effect.operation.prefix
        found = tuple(o for o in self.objects if o.key.startswith(prefix))
        return StoreResult(objects=found, revision=len(self.objects))

    def run(self, seconds):
        end = self.now + seconds
        while True:
            due = [(n.timers.next_due(), name) for name, n in self.nodes.items()]
            at, name = min(
                ((at, n) for at, n in due if at is not None), default=(end, "")
            )
            if self.queue and self.queue[0][0] <= min(at, end):
                self.now, _, name, item = heapq.heappop(self.queue)
                self.deliver(name, item)
                continue
            if at >= end:
                self.now = end
                return
            self.now = max(self.now, at)
            self.feed(self.nodes[name], events.TimeAdvanced(at=self.now))

    def live(self, name):
        return set(list_live(self.nodes[name], None))

    def agree(self, names=None):
        names = set(names or self.nodes)
        return all(self.live(name) == names for name in names)

    def find_events(self, event):
        return [(at, vm) for at, vm, r in self.records if r.name == event]
