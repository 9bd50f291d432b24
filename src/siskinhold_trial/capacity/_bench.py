"""A few nodes in virtual time, with backend servers that always answer.

The bench performs and counts the nodes' effects. Only the time inside `reduce`
is measured, so that the cost of the simulation is left out.
"""

import heapq
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from siskinhold import effects, events
from siskinhold.core import NodeState, reduce
from siskinhold.messages import Heartbeat, Probe, ProbeAnswer
from siskinhold.model import Column, Done, Position, Role, ServerStatus

from ._samples import make_view, wrap

LOCAL_DELAY = 0.001
"""One-way delay within a region in seconds."""
REMOTE_DELAY = 0.008
"""One-way delay between regions in seconds."""
CONNECT_TIME = 0.012
"""Seconds until a new backend connection is open."""


class Bench:
    """Runs several nodes together in virtual time.

    Args:
        nodes: the simulated VMs; messages to other VMs are only counted.
        service: service time of a statement in seconds.
        rows: number of rows in the answer to a read.

    Attributes:
        seconds: time spent in `reduce` by VM.
        sent: sent messages by (VM, type name).
        sent_bytes: encoded bytes of sent messages by (VM, type name).
        queries: status queries by (VM, whether to another region).
        on_reply: called with the VM and the effect of each reply to a caller.
    """

    def __init__(
        self, *nodes: NodeState, service: float = 0.002, rows: int = 1
    ) -> None:
        self.nodes = {node.identity.name: node for node in nodes}
        self.now = max(node.now for node in nodes)
        self.seconds: Counter[str] = Counter()
        self.sent: Counter[tuple[str, str]] = Counter()
        self.sent_bytes: Counter[tuple[str, str]] = Counter()
        self.queries: Counter[tuple[str, bool]] = Counter()
        self.effects: Counter[str] = Counter()
        self.on_reply: Callable[[str, effects.ReplyCaller], None] | None = None
        self._service = service
        row = (b"1", b"a short text")
        self._done = Done(columns=(Column("id"), Column("name")), rows=(row,) * rows)
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0
        self._connections: dict[tuple[str, int], str] = {}
        self._offsets: Counter[str] = Counter()

    def call_later(self, delay: float, call: Callable, *arguments: object) -> None:
        """Schedule a call after `delay` seconds of virtual time."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + delay, self._count, call, arguments))

    def feed(self, vm: str, event_type: type, /, **fields: object) -> None:
        """Reduce an event on a VM and perform its effects."""
        node = self.nodes[vm]
        event = event_type(at=self.now, **fields)
        started = time.perf_counter()
        out = reduce(node, event)
        self.seconds[vm] += time.perf_counter() - started
        self.carry_out(vm, out)

    def carry_out(self, vm: str, out: list) -> None:
        """Perform and count the effects of a VM."""
        for effect in out:
            self.effects[type(effect).__name__] += 1
            handler = _HANDLERS.get(type(effect))
            if handler is not None:
                handler(self, vm, effect)

    def run(self, seconds: float) -> None:
        """Advance virtual time, with all due timers and calls."""
        end = self.now + seconds
        while True:
            due, vm = self._find_timer()
            at = self._heap[0][0] if self._heap else end
            if min(due, at) >= end:
                break
            if due <= at:
                self.now = max(self.now, due)
                self.feed(vm, events.TimeAdvanced)
                continue
            self.now = max(self.now, at)
            _, _, call, arguments = heapq.heappop(self._heap)
            call(*arguments)
        self.now = end

    def reset(self) -> None:
        """Set all counts to zero."""
        for counts in (
            self.seconds,
            self.sent,
            self.sent_bytes,
            self.queries,
            self.effects,
        ):
            counts.clear()

    def _find_timer(self) -> tuple[float, str]:
        earliest = (float("inf"), "")
        for name, node in self.nodes.items():
            due = node.timers.next_due()
            if due is not None and due < earliest[0]:
                earliest = (due, name)
        return earliest

    def _delay(self, vm: str, region: str) -> float:
        return (
            LOCAL_DELAY
            if self.nodes[vm].identity.address.region == region
            else REMOTE_DELAY
        )

    def _send(self, vm: str, effect: effects.SendPeer) -> None:
        envelope = wrap(vm, effect.message)
        key = (vm, type(effect.message).__name__)
        self.sent[key] += 1
        self.sent_bytes[key] += len(msgspec.msgpack.encode(envelope))
        if effect.vm in self.nodes:
            region = self.nodes[effect.vm].identity.address.region
            self.call_later(
                self._delay(vm, region),
                self._deliver,
                effect.vm,
                envelope,
            )
        elif isinstance(effect.message, Probe) and effect.message.suspect == effect.vm:
            probe = effect.message
            answer = ProbeAnswer(suspect=effect.vm, sequence=probe.sequence, heard_ms=0)
            self.call_later(LOCAL_DELAY, self._deliver, vm, wrap(effect.vm, answer))

    def _deliver(self, vm: str, envelope) -> None:
        self.feed(vm, events.PeerReceived, envelope=envelope)

    def _query(self, vm: str, effect: effects.QueryStatus) -> None:
        server = effect.server
        delay = self._delay(vm, server.region)
        self.queries[vm, delay == REMOTE_DELAY] += 1
        self.call_later(delay, self._report, vm, server, effect.call, delay)

    def _report(self, vm: str, server, call: int, delay: float) -> None:
        database, _, number = server.name.rpartition("-")
        status = ServerStatus(
            term=1,
            role=Role.PRIMARY if number == "0" else Role.REPLICA,
            position=Position(1, self._offsets[database]),
        )
        fields = {"server": server.name, "call": call, "status": status}
        self.call_later(delay, lambda: self.feed(vm, events.StatusReported, **fields))

    def _open(self, vm: str, effect: effects.OpenBackend) -> None:
        self._connections[vm, effect.connection] = effect.server.name
        fields = {"connection": effect.connection}
        self.call_later(
            CONNECT_TIME, lambda: self.feed(vm, events.BackendOpened, **fields)
        )

    def _run(self, vm: str, effect: effects.RunStatement) -> None:
        self.call_later(self._service, self._answer, vm, effect)

    def _answer(self, vm: str, effect: effects.RunStatement) -> None:
        position = None
        if effect.want_position:
            server = self._connections[vm, effect.connection]
            database = server.rpartition("-")[0]
            self._offsets[database] += 1
            position = Position(1, self._offsets[database])
        self.feed(
            vm,
            events.BackendAnswered,
            connection=effect.connection,
            request=effect.request,
            outcome=Done(affected_rows=1) if position else self._done,
            position=position,
        )

    def _reply(self, vm: str, effect: effects.ReplyCaller) -> None:
        if self.on_reply is not None:
            self.on_reply(vm, effect)


_HANDLERS: dict = {
    effects.SendPeer: Bench._send,
    effects.QueryStatus: Bench._query,
    effects.OpenBackend: Bench._open,
    effects.RunStatement: Bench._run,
    effects.ReplyCaller: Bench._reply,
}


def schedule_heartbeats(
    bench: Bench, vm: str, *, vm_count: int, senders: int, views: int
) -> None:
    """Schedule heartbeats to a VM, 5 per second from each of `senders` VMs.

    Args:
        vm_count: number of VMs in the fleet.
        senders: number of sending VMs, which are not simulated otherwise.
        views: maximum number of views of other VMs in each heartbeat.
    """
    others = [n for n in range(vm_count) if make_view(n).address.name != vm]
    sending = others[:senders]
    node = bench.nodes[vm]

    def send_beat(index: int) -> None:
        number = int(bench.now * 5) + 2
        seen = [make_view(index, number)]
        if vm_count > 2:
            for other in node.random.sample(others, min(views, len(others))):
                if other != index:
                    seen.append(make_view(other, number - 1))
        sender = seen[0].address.name
        bench._deliver(vm, wrap(sender, Heartbeat(views=tuple(seen))))
        bench.call_later(0.2, send_beat, index)

    for offset, index in enumerate(sending):
        bench.call_later(0.2 * offset / len(sending), send_beat, index)
