"""Messages between VMs over real sockets on loopback."""

import asyncio

import pynng
import pytest
import uvloop

from siskinhold.adapters import EnvelopeCodec, NngPeers
from siskinhold.messages import Envelope, Probe, TicketsWanted
from siskinhold_trial.processes import find_free_ports

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def find_port() -> int:
    return find_free_ports(1)[0]


def make_envelope(number: int, message=None) -> Envelope:
    return Envelope(
        sender="a",
        incarnation=1,
        receiver_incarnation=0,
        clock=number,
        message=message or TicketsWanted(first=number),
    )


async def open_peers(vm, port, key=b"", addresses=(), more=()):
    events = []
    peers = NngPeers(
        vm=vm, host="127.0.0.1", port=port, fleet_keys=((key, *more) if key else ())
    )
    await peers.start(events.append)
    for name, other in addresses:
        peers.set_address(name, "127.0.0.1", other)
    return peers, events


async def wait_for(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)


@pytest.mark.parametrize("new_loop", LOOPS)
class TestSockets:
    """Delivery between two sockets, on both event loops."""

    def test_messages_arrive_in_order(self, new_loop):
        """All messages arrive once and in order.

        Guards against a reader that stalls if more frames are queued than it reads in
        one turn of the event loop.
        """

        async def run():
            ports = find_port(), find_port()
            a, _ = await open_peers("a", ports[0], addresses=[("b", ports[1])])
            b, events = await open_peers("b", ports[1])
            for number in range(1, 201):
                a.send("b", make_envelope(number))
            await wait_for(lambda: len(events) == 200)
            assert [e.envelope.clock for e in events] == list(range(1, 201))
            await a.stop()
            await b.stop()

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(run())

    def test_restarted_peer_is_reached_again(self, new_loop):
        """A peer that restarts at its address receives messages again.

        Guards against a connection that is not established again.
        """

        async def run():
            ports = find_port(), find_port()
            a, _ = await open_peers("a", ports[0], addresses=[("b", ports[1])])
            b, events = await open_peers("b", ports[1])
            a.send("b", make_envelope(1))
            await wait_for(lambda: events)
            await b.stop()
            b, events = await open_peers("b", ports[1])

            def reached():
                a.send("b", make_envelope(2))
                return events

            await wait_for(reached)
            await a.stop()
            await b.stop()

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(run())


class TestRefusals:
    """Dropped messages and frames, and their counters."""

    async def test_full_buffer_drops(self):
        """Messages to an absent peer are dropped once the queue is full.

        Guards against a `send` that blocks.
        """
        a, _ = await open_peers("a", find_port(), addresses=[("b", find_port())])
        for number in range(2000):
            a.send("b", make_envelope(number))
            await asyncio.sleep(0)
        assert a.counters["dropped_full"] >= 1000
        await a.stop()

    async def test_malformed_frame_is_dropped(self, caplog):
        """Malformed frames are dropped with one log line and reading continues.

        Guards against a reader that ends with an exception.
        """
        port = find_port()
        b, events = await open_peers("b", port)
        with pynng.Push0(dial=f"tcp://127.0.0.1:{port}") as push:
            for data in (b"", b"\xc1garbage", b"\x93" * 5000):
                push.send(data)
            codec = EnvelopeCodec()
            push.send(codec.encode_frame([codec.encode(make_envelope(7))]))
            await wait_for(lambda: events)
        assert b.counters["dropped_garbage"] == 3
        assert caplog.text.count("reason=garbage") == 1
        await b.stop()

    async def test_process_without_key_is_refused(self):
        """Frames without a key or with another key than the fleet's are dropped.

        Guards against membership views from processes outside the fleet.
        """
        port = find_port()
        b, events = await open_peers("b", port, key=b"secret")
        senders = []
        for key in (b"", b"other", b"secret"):
            a, _ = await open_peers("a", find_port(), key=key, addresses=[("b", port)])
            a.send("b", make_envelope(len(senders)))
            senders.append(a)
        await wait_for(lambda: events and b.counters["dropped_bad_tag"] == 2)
        assert [event.envelope.clock for event in events] == [2]
        for peers in (*senders, b):
            await peers.stop()

    async def test_unusable_address_is_reported(self):
        """A port in use raises OSError; guards against a VM that does not listen."""
        port = find_port()
        a, _ = await open_peers("a", port)
        with pytest.raises(OSError):
            await open_peers("b", port)
        await a.stop()

    async def test_key_is_replaced_vm_by_vm(self):
        """A VM with the old and the new key accepts messages made with either.

        Guards against a partitioned fleet while its key is replaced.
        """
        port = find_port()
        b, events = await open_peers("b", port, key=b"new", more=(b"old",))
        a, _ = await open_peers("a", find_port(), key=b"old", addresses=[("b", port)])
        a.send("b", make_envelope(1))
        await wait_for(lambda: events)
        await a.stop()
        await b.stop()

    async def test_probe_replaces_connection(self, monkeypatch):
        """A probe of this VM replaces the connection to the VM that sent it.

        Guards against a connection that stays unresponsive.
        """
        monkeypatch.setattr("siskinhold.adapters._peers.MIN_RECONNECT_AGE", 0.0)
        ports = find_port(), find_port()
        a, seen = await open_peers("a", ports[0], addresses=[("b", ports[1])])
        b, events = await open_peers("b", ports[1], addresses=[("a", ports[0])])
        b.send("a", make_envelope(1))
        await wait_for(lambda: seen)
        a.send("b", make_envelope(1, Probe(suspect="b", sequence=1)))
        await wait_for(lambda: events)
        b.send("a", make_envelope(2))
        await wait_for(lambda: len(seen) == 2)
        assert b.counters["dialled"] == 2
        await a.stop()
        await b.stop()
