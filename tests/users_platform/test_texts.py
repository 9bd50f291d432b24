"""Tests that texts of callers, operators and store entries read back the same."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies

from siskinhold.direct import (
    Account,
    Answer,
    BackendOpened,
    Command,
    CommandKind,
    DirectState,
    LeaderRecord,
    LeaderState,
    LossReason,
    OpenBackend,
    Refusal,
    Revision,
    SendCommands,
    StatementKind,
    StoreOutcome,
    Suspicion,
    join_names,
)
from siskinhold.direct._rate_state import Allowance
from siskinhold.direct.rates import list_demands
from siskinhold.lines import FieldUnencodable, HttpClient, HttpFailure
from siskinhold.lines._backends import LineBackends
from siskinhold.lines._caller_protocol import CallerProtocol
from siskinhold.lines._callers import LineCallers
from siskinhold.lines._memory import MemoryAccount
from siskinhold.lines._presence import MAX_REPORT, PresenceReport
from siskinhold.lines._relay import RelayProtocol
from siskinhold_platform import SettingsUnreadable, WireCodec
from siskinhold_platform._objects import (
    ObjectUnreadable,
    decode_configuration,
    decode_server,
    decode_vm,
    encode_vm,
)
from siskinhold_platform._settings import decode_settings

from .standins import Deployment
from .test_line_ends import OpenTransport
from .test_objects import make_accounts, make_entry
from .test_tasks import make_vm_entry, start_store

CODEC = WireCodec()

TEXT = strategies.text(alphabet="ab,./%~2 \r\né", min_size=1, max_size=6)
"""Texts with separators of lines, lists, paths and names."""

fuzz = settings(derandomize=True, deadline=None, max_examples=300)


class TestLines:
    @fuzz
    @given(TEXT, TEXT)
    @example("a\r\nQUERY - RESET", "a b")
    @example("a%20b", "a b")
    def test_any_account_is_one_field_of_its_own(self, one, other):
        """Guards against a line that an account's name adds, and accounts that a server
        takes for one."""
        lines = [CODEC.encode_connect_request("db", a, "i 1") for a in (one, other)]
        for line in lines:
            assert line.endswith(b" i 1\r\n") and line.count(b"\r\n") == 1
            assert line.count(b" ") == 4
        assert (lines[0] == lines[1]) is (one == other)
        assert CODEC.encode_connect_request("db", "u", "i") == b"CONNECT db u i\r\n"

    @pytest.mark.parametrize(
        "text", ["READ x", "SET a b", "COMMIT", "PREPARE s READ q"]
    )
    def test_id_of_own_statements_is_refused(self, text):
        """Guards against a caller's statement that looks like the system's own."""
        message = CODEC.parse_caller_line(f"QUERY - {text}".encode())
        assert message.kind is StatementKind.MALFORMED and message.request == "-"

    def test_prepared_statement_without_a_name_is_refused(self):
        """Guards against a statement that takes room and that nothing can execute."""
        message = CODEC.parse_caller_line(b"QUERY 1 PREPARE  READ q")
        assert message.kind is StatementKind.MALFORMED

    def test_answered_line_is_not_kept(self):
        """Guards against a message of 1 MiB that each idle relayed caller holds."""
        relay = RelayProtocol(codec=CODEC, write=len, lost=None)
        relay.transport = OpenTransport()
        relay.transport.write = len
        relay.start_forwarding()
        relay.handle_line(b"READY I -")
        relay.forward(b"QUERY 1 WRITE k " + b"x" * 1000)
        relay.forward(b"QUERY 2 READ k")
        for answered in (False, False, True):
            assert (relay._last_line == b"") is answered
            relay.handle_line(b"COMPLETE s")
            relay.handle_line(b"READY I -")

    def test_first_line_counts_while_the_session_lasts(self):
        """Guards against keys of 1 MiB that no account of memory knows of."""
        callers = LineCallers(
            host="", port=0, relay_port=0, codec=CODEC, limit=9, memory=None
        )
        callers.emit = [].append
        caller = CallerProtocol(callers=callers, relayed=False)
        caller.transport = OpenTransport()
        caller.transport.get_write_buffer_size = lambda: 0
        caller.data_received(b"CONNECT db " + b"k" * 10_000 + b"\r\n")
        assert callers.memory.total >= 20_000

    @fuzz
    @given(strategies.lists(TEXT, min_size=1, max_size=4))
    @example(["a,b", "\r\n"])
    def test_names_of_other_homes_are_read_as_they_were(self, names):
        """Guards against a caller that is sent to a VM that no one named."""
        line = CODEC.encode_refusal(Refusal.MOVED, join_names(names))
        relay = RelayProtocol(codec=CODEC, write=None, lost=None)
        assert line.count(b"\r\n") == 1
        relay.handle_line(line[:-2])
        assert relay.other_homes == tuple(names)
        assert join_names(("vm-1", "vm.2_é")) == "vm-1,vm.2_é"

    @pytest.mark.parametrize("text", ["a b", "a\r\nb", "\ud800", ""])
    def test_line_that_reads_back_differently_is_not_encoded(self, text):
        """Guards against a smuggled line, should a check before it be missing."""
        with pytest.raises(FieldUnencodable):
            CODEC.encode_connect_request(text, "vm", "i-1")
        with pytest.raises(FieldUnencodable):
            CODEC.encode_command(Command(kind=CommandKind.RUN, request=text or " "))
        line = CODEC.encode_refusal(Refusal.FAILED, text)
        assert line in (b"ERROR FAILED a b\r\n", b"ERROR FAILED -\r\n")
        answer = CODEC.encode_answer(Answer(refusal=Refusal.FAILED, detail=text))
        assert answer == line + b"READY I -\r\n"

    async def test_connection_whose_line_can_not_be_encoded_is_lost(self):
        """Guards against a connection that stays open, or opening, for ever."""
        writers = []
        server = await asyncio.start_server(
            lambda reader, writer: writers.append(writer)
            or writer.write(b"READY I -\r\n"),
            "127.0.0.1",
        )
        port = server.sockets[0].getsockname()[1]
        events = []
        backends = LineBackends(
            vm="vm-1",
            codec=CODEC,
            memory=MemoryAccount(limit=1000, observe=print),
            answer_limit=1000,
            observe=print,
        )
        backends.start(events.append)
        for number, service, to in (
            (1, "a b", port),
            (2, "db", 99999),
            (3, "db", port),
        ):
            backends.open(
                OpenBackend(
                    connection=number,
                    host="127.0.0.1",
                    port=to,
                    service=service,
                    server="i-1",
                )
            )
        await asyncio.sleep(0.3)
        assert isinstance(events.pop(), BackendOpened)
        command = Command(kind=CommandKind.RUN, text="READ a\r\nb", request="1")
        backends.send(SendCommands(connection=3, commands=(command,)))
        assert [event.connection for event in events] == [2, 1, 3]
        assert {event.reason for event in events} == {LossReason.GARBLED}
        await backends.stop()
        for writer in writers:
            writer.close()
        server.close()

    def test_report_with_long_names_is_not_dropped(self):
        """Guards against VMs that take each other for lost as accounts have long
        names."""
        state = DirectState(
            vm="vm-1", zone="a", regions={}, grace=1.0, random=random.Random(1)
        )
        names = [f"{number}" + "é\x01" * 60 for number in range(40)] + ["short"]
        accounts = {n: Account(name=n, rate=1.0, burst=1.0) for n in names}
        state.configuration = decode_configuration(make_accounts({}))
        state.configuration.accounts.update(accounts)
        for name in names:
            state.rates.allowances[name] = Allowance(
                operations=1.0, counted_at=0.0, measured_at=0.0, demand=1.0
            )
        demands = list_demands(state)
        report = PresenceReport(vm="vm-1", serving=True, demands=demands)
        assert "short" in demands and len(demands) > 1
        assert len(msgspec.json.encode(report)) < MAX_REPORT - 900


class TestEntries:
    @pytest.mark.parametrize("text", ["", "a b", "a\r\nb", "\ud800"])
    def test_entry_that_is_no_field_of_a_line_is_unreadable(self, text):
        """Guards against a `CONNECT` with other fields, or two lines, for an entry."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(service=text))
        if text == "a b":
            assert decode_server(text, make_entry()).server == text
            return
        with pytest.raises(ObjectUnreadable):
            decode_server(text, make_entry())

    def test_lone_surrogate_in_a_zone_is_unreadable(self):
        """Guards against an entry that no VM can send to another."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(zone="\ud800"))

    @pytest.mark.parametrize(
        ("place", "text"),
        [
            (place, text)
            for place in ("host", "service", "name", "api_keys")
            for text in ("\ud800", 7)
        ],
    )
    def test_configuration_with_another_type_or_a_surrogate(self, place, text):
        """Guards against a configuration that no VM can send to another."""
        spec = make_accounts({})
        if place in ("host", "service"):
            spec["routes"][0][place] = text
        else:
            spec["tenants"][0][place] = [text] if place == "api_keys" else text
        with pytest.raises(ObjectUnreadable):
            decode_configuration(spec)

    async def test_unreadable_bytes_make_one_entry_unreadable(self):
        """Guards against an entry whose bytes can't be read that hides the others."""
        store, client = await start_store()
        for name in ("i-1", "i-\udcff", "i-2"):
            store.put("servers", name, make_entry())
        store.put("servers", "i-3", make_entry(service="d\udcff"))
        store.put("servers", "i-4", make_entry(other="\udcff"))
        store.refresh = lambda: None
        store.encode = lambda text: text.replace("\\udcff", "\udcff")
        _, entries = await client.list_servers(fresh=True)
        assert [entry.server for entry in entries] == ["i-1", "i-2", "i-4"]
        await client.close()
        await store.stop()

    @pytest.mark.parametrize(
        "change",
        [
            {"address": "10.0.0.1:-1"},
            {"address": "10.0.0.1:99999"},
            {"address": "10.0.0.1:0"},
            {"address": "10.0.0.1: 8_0"},
            {"slots": "5"},
            {"slots": True},
            {"slots": float("inf")},
        ],
    )
    def test_text_that_python_takes_for_a_number_is_unreadable(self, change):
        """Guards against a port to which connecting raises, and other types."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(**change))

    @pytest.mark.parametrize(
        "change",
        [{"host": 7}, {"relay_port": 99999}, {"relay_port": "7441"}, {"size": "1"}],
    )
    def test_vm_whose_address_is_none_is_unreadable(self, change):
        """Guards against a relay to a port to which connecting raises."""
        spec = encode_vm(make_vm_entry("vm-1", port=7441))
        assert decode_vm("vm-1", spec).relay_port == 7441
        with pytest.raises(ObjectUnreadable):
            decode_vm("vm-1", {**spec, **change})

    @pytest.mark.parametrize(
        "name", ["", " a", "a\r\nb", "a\tb", "é", ".", "..", "_connections"]
    )
    def test_name_that_no_header_or_object_can_have_is_refused(self, name):
        """Guards against a VM that can't order a promotion, or whose entry in the list
        of VMs is that of the connection limit."""
        fields = Deployment().make_settings("vm-1 a", (1, 2, 3))
        assert decode_settings(fields).name == "vm-1 a"
        with pytest.raises(SettingsUnreadable, match="node_name"):
            decode_settings({**fields, "node_name": name})

    @pytest.mark.parametrize("section", ["platform", "cloud_api"])
    @pytest.mark.parametrize("address", ["nowhere", "h:8_0", "h:-1", ":80"])
    def test_address_that_is_none_is_refused(self, section, address):
        """Guards against a start that ends with a traceback, or at another port."""
        fields = Deployment().make_settings("vm-1", (1, 2, 3))
        with pytest.raises(SettingsUnreadable, match=f"{section}.address"):
            decode_settings({**fields, section: {"address": address}})


def make_record(vm: str = "vm-1", attempt: str = "x") -> LeaderRecord:
    return LeaderRecord(
        state=LeaderState.PROMOTING,
        server="i-1",
        term=3,
        vm=vm,
        attempt=attempt,
        holder="",
    )


class TestNames:
    async def test_objects_are_found_under_their_names(self):
        """Guards against a name that ends the path, or that can't be sent."""
        store, client = await start_store()
        names = ["a b", "a/b", "a?b", "a#b", "a%2Fb", "é", "a+b", "a:b@c", "\r\n", "a."]
        for name in names:
            record = make_record(attempt=name)
            first = await client.write_leader(name, record, Revision(era=1))
            record = make_record(vm=name, attempt=name)
            await client.write_leader(name, record, first.revision)
            await client.register_vm(make_vm_entry(name, port=7441), fresh=True)
        for name in names:
            assert (await client.read_leader(name, 1)).record.vm == name
            await client.register_vm(make_vm_entry(name, port=7442), fresh=True)
        listed, _ = await client.list_vms(fresh=True)
        assert {vm.name: vm.relay_port for vm in listed} == dict.fromkeys(names, 7442)
        await client.close()
        await store.stop()

    async def test_request_that_can_not_be_sent_has_failed(self):
        """Guards against an error that ends the task, and all later calls, of a VM."""
        client = HttpClient(host="127.0.0.1", port=1)
        for path, header in (("/a b", "x"), ("/é", "x"), ("/", "a\r\nb"), ("/", "é")):
            with pytest.raises(HttpFailure, match="Error"):
                await client.request("GET", path, headers=(("N", header),), timeout=1)
        for host, port in (("a..b", 80), ("127.0.0.1", 99999)):
            with pytest.raises(HttpFailure, match="Error"):
                await HttpClient(host=host, port=port).request("GET", "/", timeout=1)

    @pytest.mark.parametrize("service", [".", ".."])
    def test_service_that_no_path_can_name_is_unreadable(self, service):
        """Guards against a record that is written and never found."""
        with pytest.raises(ObjectUnreadable):
            decode_server("i-1", make_entry(service=service))

    async def test_record_of_another_service_is_none(self):
        """Guards against a claim of a database whose name ends like an era."""
        store, client = await start_store()
        await client.write_leader("db.2", make_record(), Revision(era=1))
        store.era = 2
        found = await client.read_leader("db", 2)
        assert found.record is None
        written = await client.write_leader("db", make_record("vm-2"), found.revision)
        assert written.outcome is StoreOutcome.DONE
        assert (await client.read_leader("db", 2)).record == make_record("vm-2")
        assert (await client.read_leader("db.2", 2)).record is None
        del store.objects["leaders", "db.2"]["spec"]["service"]
        assert (await client.read_leader("db", 2)).record == make_record("vm-2")
        await client.close()
        await store.stop()

    async def test_suspicions_have_names_of_their_own(self):
        """Guards against a vote that that of another VM and service replaces."""
        store, client = await start_store()
        votes = []
        for service, vm in (("a", "b.c"), ("a.b", "c"), ("a%2Eb", "c"), ("a", "b")):
            votes.append(Suspicion(service=service, server="i", term=2, vm=vm))
            await client.publish_suspicion(votes[-1])
        assert set(await client.list_suspicions()) == set(votes)
        assert ("suspicions", "a.b") in store.objects
        await client.close()
        await store.stop()
