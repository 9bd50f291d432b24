"""Tests the search for a connection holder that accepts a caller."""

import asyncio
import contextlib
import dataclasses
import socket

import pytest

from siskinhold.direct import (
    CallerOpened,
    HoldersUnavailable,
    RelayActivity,
    RelayCaller,
    RelayTerms,
    VmEntry,
    find_silent_holders,
)
from siskinhold.lines import _reachability
from siskinhold.lines._callers import LineCallers
from siskinhold.lines._reachability import is_reachable
from siskinhold.lines._relay import RelayProtocol
from siskinhold.lines._relay_search import open_relay
from siskinhold.lines._relay_terms import (
    encode_terms,
    encode_version,
    parse_terms,
    parse_version,
)
from siskinhold_platform import WireCodec

CONNECT_LINE = b"CONNECT orders u1"
"""A caller's first line."""


@contextlib.asynccontextmanager
async def run_holder(name: str, *answers: bytes | None):
    """Run a fake holder that answers lines in turn, None for not; yield its entry."""

    tasks = []

    async def answer(reader, writer):
        tasks.append(asyncio.current_task())
        try:
            for data in answers:
                await reader.readline()
                if data is not None:
                    writer.write(data)
            await reader.read()
        except ConnectionError:
            return
        finally:
            writer.transport.abort()

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield VmEntry(name=name, host="127.0.0.1", relay_port=port, zone="a", size=1000)
    finally:
        server.close()
        # An open connection would be closed only after the end of the event loop.
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await asyncio.sleep(0)


class Caller:
    """Collects the bytes that a relay writes and counts its losses."""

    def __init__(self) -> None:
        self.written = b""
        self.lost = 0

    def make_relay(self) -> RelayProtocol:
        """Return a relay connection for this caller."""
        return RelayProtocol(codec=WireCodec(), write=self._write, lost=self._lose)

    def _write(self, data: bytes) -> None:
        self.written += data

    def _lose(self) -> None:
        self.lost += 1


class TestSearch:
    async def test_frozen_holder_is_passed_over(self):
        """Guards against callers that wait for a holder whose process is frozen."""
        caller = Caller()
        async with (
            run_holder("a", None) as frozen,
            run_holder("b", b"READY I -\r\n") as well,
        ):
            search = await open_relay((frozen, well), CONNECT_LINE, caller.make_relay)
            assert search.silent == ["a"]
            search.relay.start_forwarding()
            assert caller.written == b"READY I -\r\n"
            search.relay.close()

    async def test_holder_without_room_is_passed_over(self):
        """Guards against refusing callers while another holder has capacity."""
        caller = Caller()
        async with (
            run_holder("a", b"ERROR OVERLOAD x\r\n") as full,
            run_holder("b", b"READY I -\r\n") as well,
        ):
            search = await open_relay((full, well), CONNECT_LINE, caller.make_relay)
            assert search.refused == ["a"]
            search.relay.start_forwarding()
            assert caller.written == b"READY I -\r\n"
            search.relay.close()

    async def test_unknown_database_ends_the_search(self):
        """Guards against a further search after a final refusal."""
        caller = Caller()
        async with (
            run_holder("a", b"ERROR NODB x\r\n") as first,
            run_holder("b", b"READY I -\r\n") as second,
        ):
            search = await open_relay((first, second), CONNECT_LINE, caller.make_relay)
            search.relay.start_forwarding()
            assert caller.written == b"ERROR NODB x\r\n"
            search.relay.close()

    async def test_search_ends_while_the_caller_waits(self):
        """Guards against callers that time out before they are refused."""
        caller = Caller()
        clock = asyncio.get_running_loop().time
        async with contextlib.AsyncExitStack() as stack:
            frozen = []
            for name in ("a", "b", "c", "d"):
                holder = run_holder(name, None)
                frozen.append(await stack.enter_async_context(holder))
            began = clock()
            search = await open_relay(tuple(frozen), CONNECT_LINE, caller.make_relay)
            assert search.relay is None
            assert clock() - began < 2.0

    async def test_closing_relay_forwards_the_next_answer_first(self):
        """Guards against a planned stop that cuts off a statement under way."""
        caller = Caller()
        answers = (b"READY I -\r\n", b"COMPLETE -\r\nREADY I -\r\n")
        async with run_holder("a", *answers) as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            relay = search.relay
            relay.start_forwarding()
            relay.close_after_answer()
            await asyncio.sleep(0.05)
            assert caller.lost == 0
            relay.forward(b"QUERY 1 READ x")
            await asyncio.sleep(0.05)
            assert caller.written == b"".join(answers)
            assert caller.lost == 1

    async def test_log_leads_from_a_request_to_its_holder(self, caplog):
        """Guards against a failed request whose holder nobody finds among many VMs."""
        caplog.set_level("INFO", logger="siskinhold")
        caller = Caller()
        refusal = b"ERROR OVERLOAD no_primary\r\nREADY I -\r\n"
        async with run_holder("vm-7", b"READY I -\r\n", refusal, None) as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            relay = search.relay
            relay.start_forwarding()
            relay.forward(b"QUERY 5c0e READ x")
            await asyncio.sleep(0.05)
            relay.forward(b"QUERY 77aa WRITE x 1")
            relay.transport.abort()
            await asyncio.sleep(0.05)
        failed, lost = [m for m in caplog.messages if "request=" in m]
        assert "event=relayed_failure" in failed
        assert "request=5c0e holder=vm-7 reason=overload" in failed
        assert "event=relay_lost" in lost
        assert "request=77aa holder=vm-7" in lost

    async def test_lost_holder_ends_the_caller_once(self):
        """Guards against a caller that waits for the answer of a lost holder."""
        caller = Caller()
        async with run_holder("a", b"READY I -\r\n") as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            search.relay.start_forwarding()
            search.relay.transport.abort()
            await asyncio.sleep(0.05)
            assert caller.lost == 1


class TestSilentHolder:
    async def run_relay(self, *lines: bytes) -> tuple[Caller, bool]:
        """Relay lines to a holder that answers only the first; check the holder."""
        caller = Caller()
        answers = (b"READY I -\r\n",)
        async with run_holder("a", *answers) as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            relay = search.relay
            relay.start_forwarding()
            for line in lines:
                relay.forward(line)
            now = relay.activity.received_at + 1
            silent = find_silent_holders([relay.activity], now)
            assert silent == (["a"] if lines else [])
            given_up = relay.give_up()
            await asyncio.sleep(0.05)
            return caller, given_up

    async def test_caller_that_can_repeat_its_read_is_set_free(self):
        """Guards against reads that wait for a lost holder until their deadline."""
        caller, given_up = await self.run_relay(b"QUERY 1 READ x")
        assert given_up
        assert caller.lost == 1

    @pytest.mark.parametrize("text", [b"WRITE x 1", b"EXECUTE s1 1a4", b"COMMIT"])
    async def test_write_under_way_is_not_given_up(self, text):
        """Guards against giving up a write of a holder that is silent for a while."""
        caller, given_up = await self.run_relay(b"QUERY 1 " + text)
        assert not given_up
        assert caller.lost == 0

    async def test_idle_holder_is_not_suspected(self):
        """Guards against checks of holders that owe no answer."""
        await self.run_relay()

    async def test_refusing_machine_counts_as_reachable(self):
        """Guards against cutting off callers of a holder that shuts down."""
        async with run_holder("a", b"READY I -\r\n") as holder:
            assert await is_reachable(holder)
        assert await is_reachable(holder)

    async def test_machine_that_drops_packets_does_not(self, monkeypatch):
        """Guards against waiting for a holder that has lost power."""
        monkeypatch.setattr(_reachability, "CONNECT_TIMEOUT", 0.05)
        with socket.socket() as full:
            # With its queue of connections full, a socket drops further attempts.
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            with contextlib.ExitStack() as stack:
                for _ in range(2):
                    client = stack.enter_context(socket.socket())
                    client.setblocking(False)
                    client.connect_ex(full.getsockname())
                await asyncio.sleep(0.05)
                port = full.getsockname()[1]
                holder = VmEntry(
                    name="a", host="127.0.0.1", relay_port=port, zone="a", size=1
                )
                assert not await is_reachable(holder)

    def test_answer_on_any_relay_shows_that_a_holder_lives(self):
        """Guards against suspecting a holder because of one slow statement."""
        waiting = RelayActivity(holder="a", waiting_since=1.0, received_at=0.5)
        busy = RelayActivity(holder="a", waiting_since=None, received_at=2.9)
        assert find_silent_holders([waiting, busy], 3.0) == []
        assert find_silent_holders([waiting], 3.0) == ["a"]


class TestTerms:
    async def search(self, *holders, **options):
        """Search among holders that take terms; return the search and its output."""
        caller = Caller()
        async with contextlib.AsyncExitStack() as stack:
            entries = []
            for index, answers in enumerate(holders):
                holder = run_holder(f"vm{index}", *answers)
                entry = await stack.enter_async_context(holder)
                entries.append(dataclasses.replace(entry, takes_terms=True))
            search = await open_relay(
                tuple(entries), CONNECT_LINE, caller.make_relay, **options
            )
            if search.relay is not None:
                search.relay.start_forwarding()
                search.relay.close()
            return search, caller.written

    async def test_holder_that_is_behind_is_passed_over(self):
        """Guards against NODB by an outdated holder while another one is current."""
        search, written = await self.search(
            (None, b"VERSION 3\r\nERROR BEHIND x\r\n"),
            (None, b"VERSION 4\r\nREADY I -\r\n"),
        )
        assert written == b"READY I -\r\n"
        assert (search.version, search.unconfirmed) == (4, False)
        assert search.refused == search.silent == []

    async def test_unconfirmed_holder_is_asked_again_if_there_is_no_other(self):
        """Guards against callers that nobody serves while the store is away."""
        search, written = await self.search(
            (None, b"VERSION 3\r\nERROR BEHIND x\r\n"),
            (None, b"VERSION 3\r\nERROR BEHIND x\r\n"),
        )
        assert (search.relay, written) == (None, b"")
        search, written = await self.search(
            (None, b"VERSION 3\r\nREADY I -\r\n"), unconfirmed=True
        )
        assert written == b"READY I -\r\n"

    async def test_caller_is_given_back_if_all_holders_are_behind(self):
        """Guards against a caller without an answer until it gives up."""
        events = []
        callers = LineCallers(
            host="127.0.0.1", port=0, relay_port=0, codec=WireCodec(), limit=10
        )
        behind = b"VERSION 3\r\nERROR BEHIND x\r\n"
        async with run_holder("a", None, behind) as holder:
            holder = dataclasses.replace(holder, takes_terms=True)

            def emit(event):
                events.append(event)
                if isinstance(event, CallerOpened):
                    effect = RelayCaller(session=event.session, holders=(holder,))
                    callers.relay(effect)

            await callers.start(emit)
            port = callers._listener.getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(CONNECT_LINE + b"\r\n")
            async with asyncio.timeout(1):
                while not any(isinstance(e, HoldersUnavailable) for e in events):
                    await asyncio.sleep(0.01)
            lost = next(e for e in events if isinstance(e, HoldersUnavailable))
            assert (lost.session, lost.silent, lost.refused) == (1, (), ())
            writer.close()
            await callers.stop()

    async def test_holder_of_an_older_version_gets_no_terms(self):
        """Guards against holders that refuse a line which they don't know."""
        caller = Caller()
        async with run_holder("a", b"READY I -\r\n") as holder:
            search = await open_relay((holder,), CONNECT_LINE, caller.make_relay)
            search.relay.start_forwarding()
            assert caller.written == b"READY I -\r\n"
            search.relay.close()

    def test_lines_read_back_the_same(self):
        """Guards against terms that a holder takes for a caller's line."""
        for terms in (
            RelayTerms(version=0, last=False),
            RelayTerms(version=1 << 40, last=True),
        ):
            assert parse_terms(encode_terms(terms)) == terms
        assert parse_version(encode_version(12)) == 12
        for line in (b"RELAY", b"RELAY 1", b"RELAY 1 -1", b"RELAY x 1", b"\xff 1 1"):
            assert parse_terms(line) is None
        for line in (b"VERSION", b"VERSION 1 2", b"READY I -", b"VERSION \xc2\xb2"):
            assert parse_version(line) is None
