"""Tests that texts of callers, operators and store entries read back the same."""

import asyncio
import random

import msgspec
import pytest
from hypothesis import example, given, settings, strategies

from siskinhold import direct, lines
from siskinhold.direct import CommandKind, Refusal, Revision, StatementKind, _rate_state
from siskinhold.direct.rates import list_demands
from siskinhold.lines import _backends, _memory, _presence
from siskinhold.lines._caller_protocol import CallerProtocol
from siskinhold.lines._callers import LineCallers
from siskinhold.lines._relay import RelayProtocol
from siskinhold_platform import SettingsUnreadable, WireCodec, _objects
from siskinhold_platform._settings import decode_settings

from .standins import Deployment
from .test_line_ends import OpenTransport
from .test_objects import make_accounts, make_entry
from .test_restored_records import make_record
from .test_tasks import make_vm_entry, start_store

CODEC = WireCodec()

TEXT = strategies.text(alphabet="ab,./%~2 \r\né", min_size=1, max_size=6)
"""Texts with separators of lines, lists, paths and names."""

ENTRIES = [("i-1", {"service": text}) for text in ("", "a b", "a\r\nb", ".", "..")]
ENTRIES += [(text, {}) for text in ("", "a\r\nb", "\ud800")]
ENTRIES += [("i-1", {name: "\ud800"}) for name in ("service", "zone")]
ENTRIES += [("i-1", {"address": f"1.2.3.4:{n}"}) for n in (-1, 99999, 0, " 8_0")]
ENTRIES += [("i-1", {"slots": slots}) for slots in ("5", True, float("inf"))]
VMS = [{"host": 7}, {"relay_port": 99999}, {"relay_port": "7441"}, {"size": "1"}]
NAMES = ["", " a", "a\r\nb", "a\tb", "é", ".", "..", "_connections"]
SETTINGS = [("node_name", name) for name in NAMES]
for part in ("platform", "cloud_api"):
    SETTINGS += [(part, {"address": a}) for a in ("nowhere", "h:8_0", "h:-1", ":80")]


class TestLines:
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(strategies.lists(TEXT, min_size=2, max_size=4))
    @example(["a\r\nQUERY - RESET", "a b", "a%20b", "a,b"])
    def test_accounts_and_names_of_homes(self, texts):
        """Guards against smuggled lines, and texts that are taken for others."""
        encoded = {CODEC.encode_connect_request("db", text, "i 1") for text in texts}
        assert len(encoded) == len(set(texts))
        for line in encoded:
            assert line.endswith(b" i 1\r\n") and line.count(b"\r\n") == 1
            assert line.count(b" ") == 4
        line = CODEC.encode_refusal(Refusal.MOVED, direct.join_names(texts))
        relay = RelayProtocol(codec=CODEC, write=None, lost=None)
        relay.handle_line(line[:-2])
        assert relay.other_homes == tuple(texts) and line.count(b"\r\n") == 1
        assert direct.join_names(("vm-1", "vm.2_é")) == "vm-1,vm.2_é"

    @pytest.mark.parametrize("text", ["- READ x", "- SET a b", "1 PREPARE  READ q"])
    def test_own_id_and_missing_name_are_refused(self, text):
        """Guards against statements that look like the system's, or can't be run."""
        message = CODEC.parse_caller_line(f"QUERY {text}".encode())
        assert message.kind is StatementKind.MALFORMED

    @pytest.mark.parametrize("text", ["a b", "a\r\nb", "\ud800", ""])
    def test_line_that_reads_back_differently_is_not_encoded(self, text):
        """Guards against a smuggled line, should a check before it be missing."""
        with pytest.raises(lines.FieldUnencodable):
            CODEC.encode_connect_request(text, "vm", "i-1")
        line = CODEC.encode_refusal(Refusal.FAILED, text)
        assert line == b"ERROR FAILED " + (b"a b" if text == "a b" else b"-") + b"\r\n"
        answer = direct.Answer(refusal=Refusal.FAILED, detail=text)
        assert CODEC.encode_answer(answer) == line + b"READY I -\r\n"


class TestConnections:
    async def test_line_that_can_not_be_encoded_ends_its_connection(self):
        """Guards against a connection that stays open, or opening, for ever."""
        events = []
        memory = _memory.MemoryAccount(limit=1000, observe=print)
        backends = _backends.LineBackends(
            vm="vm", codec=CODEC, memory=memory, answer_limit=1000, observe=print
        )
        backends.start(events.append)
        common = {"host": "127.0.0.1", "server": "i-1"}
        deployment = Deployment()
        await deployment.instances[0].start()
        port = deployment.instances[0].port
        for number, name, to in ((1, "a b", port), (2, "db", 99999), (3, "db", port)):
            event = direct.OpenBackend(
                connection=number, service=name, port=to, **common | {"server": "i-0"}
            )
            backends.open(event)
        await asyncio.sleep(0.3)
        command = direct.Command(kind=CommandKind.RUN, text="READ a\r\nb", request="1")
        backends.send(direct.SendCommands(connection=3, commands=(command,)))
        lost = [event for event in events if isinstance(event, direct.BackendLost)]
        assert [event.connection for event in lost] == [2, 1, 3]
        assert {event.reason for event in lost} == {direct.LossReason.GARBLED}
        await deployment.instances[0].stop()

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
            relay.handle_line(b"READY I -")

    def test_first_line_counts_while_the_session_lasts(self):
        """Guards against keys of 1 MiB that no account of memory knows of."""
        callers = LineCallers(host="", port=0, relay_port=0, codec=CODEC, limit=9)
        callers.emit = [].append
        caller = CallerProtocol(callers=callers, relayed=False)
        caller.transport = OpenTransport()
        caller.transport.get_write_buffer_size = lambda: 0
        caller.data_received(b"CONNECT db " + b"k" * 10_000 + b"\r\n")
        assert callers.memory.total >= 20_000

    def test_report_with_long_names_is_not_dropped(self):
        """Guards against VMs that take each other for lost by long names."""
        names = [f"{number}" + "é\x01" * 60 for number in range(40)] + ["short"]
        state = direct.DirectState(
            vm="vm-1", zone="a", regions={}, grace=1.0, random=random.Random(1)
        )
        spec = make_accounts(*({"name": name, "rate_per_s": 1} for name in names))
        state.configuration = _objects.decode_configuration(spec)
        new = {"operations": 1.0, "counted_at": 0.0, "measured_at": 0.0, "demand": 1.0}
        for name in names:
            state.rates.allowances[name] = _rate_state.Allowance(**new)
        demands = list_demands(state)
        report = _presence.PresenceReport(vm="vm-1", serving=True, demands=demands)
        assert "short" in demands and len(demands) > 1
        assert len(msgspec.json.encode(report)) < _presence.MAX_REPORT - 900


class TestEntries:
    @pytest.mark.parametrize(("name", "change"), ENTRIES)
    def test_unusable_entry_is_unreadable(self, name, change):
        """Guards against a `CONNECT` with other fields, two lines, or no port."""
        assert _objects.decode_server("i 1", make_entry()).server == "i 1"
        with pytest.raises(_objects.ObjectUnreadable):
            _objects.decode_server(name, make_entry(**change))

    @pytest.mark.parametrize("change", VMS)
    def test_vm_without_an_address_is_unreadable(self, change):
        """Guards against a relay to a port to which connecting raises."""
        spec = _objects.encode_vm(make_vm_entry("vm-1", port=7441))
        assert _objects.decode_vm("vm-1", spec).relay_port == 7441
        with pytest.raises(_objects.ObjectUnreadable):
            _objects.decode_vm("vm-1", {**spec, **change})

    @pytest.mark.parametrize("text", ["\ud800", 7])
    @pytest.mark.parametrize("place", ["host", "service", "name", "api_keys"])
    def test_configuration_with_another_type_or_a_surrogate(self, place, text):
        """Guards against a configuration that no VM can send to another."""
        spec = make_accounts({})
        section = "routes" if place in ("host", "service") else "tenants"
        spec[section][0][place] = [text] if place == "api_keys" else text
        with pytest.raises(_objects.ObjectUnreadable):
            _objects.decode_configuration(spec)

    @pytest.mark.parametrize(("name", "value"), SETTINGS)
    def test_unusable_setting_is_refused(self, name, value):
        """Guards against a VM that can't order a promotion or be listed."""
        fields = Deployment().make_settings("vm-1 a", (1, 2, 3))
        assert decode_settings(fields).name == "vm-1 a"
        with pytest.raises(SettingsUnreadable, match=name):
            decode_settings({**fields, name: value})


class TestStore:
    @pytest.fixture
    async def started(self):
        store, client = await start_store()
        yield store, client
        await client.close()
        await store.stop()

    async def test_unreadable_bytes_make_one_entry_unreadable(self, started):
        """Guards against an entry whose bytes can't be read that hides the others."""
        store, client = started
        changes = {"service": "d\udcff"}, {"other": "\udcff"}, {"slots": 123456}, {}, {}
        names = "i-1", "i-2", "i-3", "i-\udcff", "i-5"
        for name, change in zip(names, changes, strict=True):
            store.put("servers", name, make_entry(**change))
        store.refresh = lambda: None
        digits = "9" * 5000
        store.encode = lambda text: text.replace("\\udcff", "\udcff").replace(
            "123456", digits
        )
        _, entries = await client.list_servers(fresh=True)
        assert [entry.server for entry in entries] == ["i-2", "i-5"]

    async def test_objects_are_found_under_their_names(self, started):
        """Guards against a name that ends the path, or that can't be sent."""
        _, client = started
        names = ["a b", "a/b", "a?b", "a#b", "a%2Fb", "é", "a+b", "a:b@c", "\r\n", "a."]
        for name in names:
            first = await client.write_leader(name, make_record("x"), Revision(era=1))
            await client.write_leader(name, make_record(name), first.revision)
            await client.register_vm(make_vm_entry(name, port=7441), fresh=True)
        for name in names:
            assert (await client.read_leader(name, 1)).record == make_record(name)
            await client.register_vm(make_vm_entry(name, port=7442), fresh=True)
        listed, _ = await client.list_vms(fresh=True)
        assert {vm.name: vm.relay_port for vm in listed} == dict.fromkeys(names, 7442)

    async def test_record_of_another_service_is_none(self, started):
        """Guards against a claim of a database whose name ends like an era."""
        store, client = started
        await client.write_leader("db.2", make_record("vm-1"), Revision(era=1))
        store.era = 2
        found = await client.read_leader("db", 2)
        assert found.record is None
        written = await client.write_leader("db", make_record("vm-2"), found.revision)
        assert written.outcome is direct.StoreOutcome.DONE
        assert (await client.read_leader("db", 2)).record == make_record("vm-2")
        del store.objects["leaders", "db.2"]["spec"]["service"]
        assert (await client.read_leader("db", 2)).record == make_record("vm-2")

    async def test_suspicions_have_names_of_their_own(self, started):
        """Guards against a vote that that of another VM and service replaces."""
        store, client = started
        votes = set()
        for service, vm in (("a", "b.c"), ("a.b", "c"), ("a%2Eb", "c"), ("a", "b")):
            vote = direct.Suspicion(service=service, server="i", term=2, vm=vm)
            votes.add(vote)
            await client.publish_suspicion(vote)
        assert set(await client.list_suspicions()) == votes
        assert ("suspicions", "a.b") in store.objects

    async def test_request_that_can_not_be_sent_has_failed(self):
        """Guards against an error that ends the task, and all later calls, of a VM."""
        ends = [(path, "x", "127.0.0.1", 1) for path in ("/a b", "/é")]
        ends += [("/", value, "127.0.0.1", 1) for value in ("a\r\nb", "é")]
        ends += [("/", "x", "a..b", 80), ("/", "x", "127.0.0.1", 99999)]
        for path, value, host, port in ends:
            client = lines.HttpClient(host=host, port=port)
            with pytest.raises(lines.HttpFailure, match="Error"):
                await client.request("GET", path, headers=(("N", value),), timeout=1)
