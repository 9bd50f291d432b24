"""Tests of the messages between VMs over real sockets on loopback."""

import asyncio
import socket

import pynng
import pytest
import uvloop

from siskinhold.adapters import EnvelopeCodec, NngPeers
from siskinhold.messages import Envelope, Probe, TicketsWanted

LOOPS = [asyncio.new_event_loop, uvloop.new_event_loop]


def find_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


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
    """What travels between two processes, on both event loops."""

    def test_messages_arrive_in_order(self, new_loop):
        """All messages arrive once, in order; guards against a stalled reader
        when more messages wait than one turn of the loop takes."""

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
        """A peer that restarts on its address gets messages again; guards
        against a connection that is never replaced."""

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
    """What is dropped, and that it is counted."""

    async def test_full_buffer_drops(self):
        """An absent peer's messages are dropped when the buffer is full;
        guards against a send that waits."""
        a, _ = await open_peers("a", find_port(), addresses=[("b", find_port())])
        for number in range(2000):
            a.send("b", make_envelope(number))
            await asyncio.sleep(0)
        assert a.counters["dropped_full"] >= 1000
        await a.stop()

    async def test_malformed_frame_is_dropped(self, caplog):
        """Garbage bytes are dropped with a log line and the next message is
        read; guards against a reader that ends with an exception."""
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
        """Messages without the fleet's key or with another are dropped; guards
        against a stranger's views entering the membership."""
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
        """A port in use gives OSError; guards against a silent deaf process."""
        port = find_port()
        a, _ = await open_peers("a", port)
        with pytest.raises(OSError):
            await open_peers("b", port)
        await a.stop()

    async def test_key_is_replaced_vm_by_vm(self):
        """A VM that knows the old and the new key hears VMs that send with either;
        guards against a fleet that parts while its key is replaced."""
        port = find_port()
        b, events = await open_peers("b", port, key=b"new", more=(b"old",))
        a, _ = await open_peers("a", find_port(), key=b"old", addresses=[("b", port)])
        a.send("b", make_envelope(1))
        await wait_for(lambda: events)
        await a.stop()
        await b.stop()

    async def test_probe_replaces_connection(self, monkeypatch):
        """A probe of this VM replaces the connection to the asker; guards
        against a connection that stays silent for ever."""
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
