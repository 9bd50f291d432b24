"""Tests of tickets and term records: order, distribution, store outages."""

import random

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from pump import Fleet, build_address, build_ticket

from siskinhold import effects, events
from siskinhold.core import Identity, NodeState, reduce
from siskinhold.core._tickets import find_database, fold_ticket, learn_term_record
from siskinhold.messages import Envelope, Forward, TicketsPushed
from siskinhold.model import (
    BackendServer,
    DatabaseGroup,
    Marks,
    Position,
    Reservation,
    RoutingRules,
    StatementKind,
    TermRecord,
    TermStart,
)
from siskinhold.store import encode_term, encode_ticket, term_key, ticket_key


def build_node() -> NodeState:
    address = build_address(0, "north")
    identity = Identity(address=address, incarnation=1)
    return NodeState(identity=identity, random=random.Random(1))


def push(*tickets) -> events.PeerReceived:
    message = TicketsPushed(tickets=tickets)
    envelope = Envelope(
        sender="vm1", incarnation=1, receiver_incarnation=0, clock=1, message=message
    )
    return events.PeerReceived(at=0.0, envelope=envelope)


def build_record(*, starts=1, reserved=None) -> TermRecord:
    past = tuple(TermStart(term=n + 1, offset=n, primary="s") for n in range(starts))
    held = Reservation(term=reserved, vm="vm1", run="r") if reserved else None
    return TermRecord(database="db", starts=past, reservation=held)


def applied(fleet) -> set[int]:
    return {node.config.applied for node in fleet.nodes.values()}


class TestOrder:
    """Tickets come into force in order and once, and are never reverted."""

    @settings(max_examples=60, deadline=None)
    @given(st.permutations(range(1, 9)), st.lists(st.integers(1, 8), max_size=8))
    def test_racing_arrivals(self, order, repeated):
        """In any order of arrival, with duplicates, the number in force never
        falls, and the result equals all tickets applied in order.

        Guards against a ticket that is applied before a lower one.
        """
        node = build_node()
        seen = 0
        for number in (*order, *repeated):
            out = reduce(node, push(build_ticket(number)))
            assert node.config.applied >= seen
            seen = node.config.applied
            assert all(n in node.config.tickets for n in range(1, seen + 1))
            assert not any(
                e.name == "ticket_conflict" for e in out if hasattr(e, "name")
            )
        groups = {}
        for number in range(1, 9):
            groups = fold_ticket(groups, build_ticket(number))
        assert (node.config.applied, node.config.groups) == (8, groups)
        assert find_database(node, "db8")[0].name == "g8"

    def test_other_ticket_with_a_known_number(self):
        """Another ticket with a number in force changes nothing and is recorded.

        Guards against a ticket that the store rejected but one VM applies.
        """
        node = build_node()
        reduce(node, push(build_ticket(1)))
        out = reduce(node, push(build_ticket(1, "other")))
        assert node.config.tickets[1].identity == "i1"
        assert [effect.name for effect in out] == ["ticket_conflict"]

    def test_group_without_databases_is_removed(self):
        """A ticket with an empty group removes the group.

        Guards against databases that stay in force.
        """
        node = build_node()
        empty = msgspec.structs.replace(
            build_ticket(2), groups=(DatabaseGroup(name="g1"),)
        )
        reduce(node, push(build_ticket(1), empty))
        assert node.config.groups == {}
        assert find_database(node, "db1") is None

    def test_unreadable_object(self):
        """An unreadable object is recorded, and the others are applied.

        Guards against one malformed object that blocks all tickets.
        """
        node = build_node()
        fleet = Fleet(size=0)
        fleet.put("ticket/2", b"\xff{")
        fleet.put(ticket_key(1), encode_ticket(build_ticket(1)).unwrap())
        event = events.StoreChanged(at=0.0, objects=tuple(fleet.objects), revision=2)
        out = reduce(node, event)
        assert [effect.name for effect in out] == [
            "object_unreadable",
            "ticket_applied",
        ]


class TestRecords:
    """A term record is replaced only by a newer one."""

    @pytest.mark.parametrize(
        "newer",
        [build_record(starts=2), build_record(starts=1, reserved=2)],
    )
    def test_only_forwards(self, newer):
        """A record with more starts or a higher reservation wins in either order.

        Guards against an old record from a peer that hides a promotion.
        """
        for first, second in ((build_record(), newer), (newer, build_record())):
            node = build_node()
            learn_term_record(node, first, 0, [])
            learn_term_record(node, second, 0, [])
            assert node.config.records["db"] == newer

    def test_store_version(self):
        """The store version belongs to the record that is kept.

        Guards against a conditional write that expects another record's version.
        """
        node = build_node()
        learn_term_record(node, build_record(), 4, [])
        learn_term_record(node, build_record(starts=2), 0, [])
        assert node.config.record_versions["db"] == 0
        learn_term_record(node, build_record(starts=2), 5, [])
        assert node.config.record_versions["db"] == 5


class TestSpread:
    """Tickets and term records reach all VMs."""

    def test_ticket_reaches_all(self):
        """A ticket is in force on all VMs within 0.5 s, with one store watch per
        region.

        Guards against VMs that get tickets late or that all query the store.
        """
        fleet = Fleet(size=9, remote=4)
        fleet.run(4)
        assert len(fleet.watches) == 2
        fleet.accept(build_ticket(1))
        fleet.put(term_key("db"), encode_term(build_record()).unwrap())
        fleet.run(0.5)
        assert applied(fleet) == {1}
        assert all("db" in node.config.records for node in fleet.nodes.values())
        assert {at for at, _ in fleet.find_events("ticket_applied")}

    def test_ticket_reaches_all_of_a_large_fleet(self):
        """VMs beyond the bounded push get a ticket by gossip within 1 s, at 10 %
        message loss.

        Guards against VMs that a ticket never reaches.
        """
        fleet = Fleet(size=60, remote=20, loss=0.1)
        fleet.run(6)
        fleet.accept(build_ticket(1))
        fleet.run(1)
        assert applied(fleet) == {1}

    def test_vm_that_was_away_for_three_tickets(self):
        """A VM that was cut off during three tickets gets them in order.

        Guards against a VM that applies only the last one.
        """
        fleet = Fleet(size=9, remote=4)
        fleet.run(4)
        isolated = next(name for name in fleet.nodes if name not in fleet.watches)
        fleet.cut = lambda a, b: isolated in (a, b)
        for number in (1, 2, 3):
            fleet.accept(build_ticket(number))
            fleet.run(1)
        assert fleet.nodes[isolated].config.applied == 0
        fleet.cut = lambda a, b: False
        fleet.run(1.5)
        assert applied(fleet) == {3}
        order = [
            r.ticket
            for _, vm, r in fleet.records
            if (vm, r.name) == (isolated, "ticket_applied")
        ]
        assert order == [1, 2, 3]

    def test_start_during_store_outage(self):
        """VMs that restart one by one during a store outage get tickets and term
        records from peers.

        Guards against a fleet that falls back to a lower ticket.
        """
        fleet = Fleet(size=5)
        fleet.run(3)
        fleet.accept(build_ticket(1), build_ticket(2))
        fleet.put(term_key("db"), encode_term(build_record()).unwrap())
        fleet.run(1)
        fleet.store_up = False
        for name in list(fleet.nodes):
            fleet.stop(name)
            fleet.start(name, incarnation=2)
            fleet.run(2)
        assert applied(fleet) == {2}
        assert all("db" in node.config.records for node in fleet.nodes.values())

    def test_store_returns_after_outage(self):
        """A fleet that starts during a store outage retries with growing delays
        and starts its watch when the store is back.

        Guards against a watcher that stops retrying.
        """
        fleet = Fleet(size=3)
        fleet.store_up = False
        fleet.accept(build_ticket(1))
        fleet.run(60)
        failures = len(fleet.find_events("store_list_failed"))
        assert 5 <= failures <= 30
        fleet.store_up = True
        fleet.run(10)
        assert applied(fleet) == {1}
        assert len(fleet.watches) == 1

    def test_next_watcher_takes_over(self):
        """After the loss of a watcher, the next one lists and watches the store.

        Guards against tickets that no VM reads.
        """
        fleet = Fleet(size=6)
        fleet.run(4)
        fleet.stop(next(iter(fleet.watches)))
        fleet.accept(build_ticket(1))
        fleet.run(4.5)
        assert applied(fleet) == {1}
        assert len(fleet.watches) == 1


class TestUnknownRules:
    def test_statement_gets_the_rules_that_its_database_has(self, monkeypatch):
        """Guards against a read that may be older than its database's rules allow, as
        they were unknown when it arrived."""
        monkeypatch.setattr("siskinhold.core._routes.find_owner", lambda *_: "vm1")
        node = build_node()
        reduce(node, events.Started(at=0.0))
        caller = events.CallerOpened(at=0.0, session=1, user="mill", database="db1")
        reduce(node, caller)
        positions = {"db1": Position(1, 1)}
        reduce(node, events.TokenPresented(at=0.0, session=1, positions=positions))
        read = events.StatementReceived(
            at=0.0, session=1, kind=StatementKind.READ, sql="SELECT 1", marks=Marks()
        )
        reduce(node, read)
        ticket = build_ticket(1)
        server = BackendServer(
            name="s",
            host="10.1.0.1",
            port=1,
            region="north",
            availability_zone="north-a",
        )
        database = msgspec.structs.replace(
            ticket.groups[0].databases[0], servers=(server,)
        )
        group = msgspec.structs.replace(
            ticket.groups[0],
            databases=(database,),
            rules=RoutingRules(max_age_ms=0, replica_reads=False),
        )
        sent = reduce(node, push(msgspec.structs.replace(ticket, groups=(group,))))
        for step in range(20):
            sent += reduce(node, events.TimeAdvanced(at=0.1 * step))
        ages = {
            effect.message.request.max_age_ms
            for effect in sent
            if isinstance(effect, effects.SendPeer)
            and isinstance(effect.message, Forward)
        }
        assert ages == {0}
