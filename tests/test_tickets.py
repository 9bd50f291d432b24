"""Tests of parsing, checking, applying and comparing change tickets."""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st
from msgspec.structs import replace
from result import Err
from store_samples import make_server

from siskinhold.model import ChangeTicket, Database, DatabaseGroup
from siskinhold.store import decode_ticket, encode_ticket, ticket_key
from siskinhold.tickets import (
    DiffKind,
    TicketFaultKind as Kind,
    TicketState,
    apply_ticket,
    check_ticket,
    diff_states,
    digest_state,
    parse_ticket,
)

# The same examples in every run.
REPEATABLE = settings(derandomize=True, deadline=None, max_examples=40)


def make_database(name: str, instances: int = 3) -> Database:
    # No two databases share a host.
    third = ord(name)
    servers = tuple(
        make_server(f"{name}-{index}", f"10.0.{third}.{index}")
        for index in range(instances)
    )
    return Database(name=name, primary=f"{name}-0", servers=servers)


def make_ticket(number: int, *groups: DatabaseGroup) -> ChangeTicket:
    return ChangeTicket(number=number, author="a", identity="i", groups=groups)


ORDERS = DatabaseGroup(name="g", databases=(make_database("a"), make_database("b")))
BASE = apply_ticket(TicketState(), make_ticket(1, ORDERS))

# Each database name belongs to one group, so that any subset of names is valid.
DATABASES_BY_GROUP = {"g": "abc", "h": "def", "k": "mno"}


@st.composite
def group_lists(draw):
    groups = []
    for name in draw(st.sets(st.sampled_from(sorted(DATABASES_BY_GROUP)), min_size=1)):
        names = draw(st.sets(st.sampled_from(DATABASES_BY_GROUP[name]), min_size=1))
        databases = tuple(
            make_database(database, draw(st.sampled_from([3, 5])))
            for database in sorted(names)
        )
        groups.append(DatabaseGroup(name=name, databases=databases))
    return tuple(groups)


def apply_all(group_lists) -> list[TicketState]:
    states = [TicketState()]
    for number, groups in enumerate(group_lists, start=1):
        states.append(apply_ticket(states[-1], make_ticket(number, *groups)))
    return states


def changes_instances(state: TicketState, groups) -> bool:
    """Return whether two or more instances of a database join or leave."""
    before = {d.name: d for g in state.groups.values() for d in g.databases}
    for database in [d for group in groups for d in group.databases]:
        old = before.get(database.name, database).servers
        addresses = [
            {(s.name, s.host, s.port) for s in x} for x in (old, database.servers)
        ]
        if len(addresses[0] ^ addresses[1]) > 1:
            return True
    return False


class TestApply:
    @REPEATABLE
    @given(st.lists(group_lists(), max_size=4))
    def test_valid_tickets(self, lists):
        """Valid tickets have no faults and replace only the groups that they name."""
        state = TicketState()
        for number, groups in enumerate(lists, start=1):
            ticket = make_ticket(number, *groups)
            faults = check_ticket(ticket, state)
            assert {fault.kind for fault in faults} <= {Kind.INSTANCES_CHANGED}
            assert bool(faults) == changes_instances(state, groups)
            after = apply_ticket(state, ticket)
            named_groups = {group.name for group in groups}
            for name in state.groups.keys() - named_groups:
                assert after.groups[name] == state.groups[name]
            for group in groups:
                assert after.groups[group.name] == group
            state = after
        assert state.number == len(lists)

    @REPEATABLE
    @given(st.lists(group_lists(), min_size=1, max_size=4), st.randoms())
    def test_repeated_and_early_deliveries(self, lists, random):
        """Tickets that arrive twice or too early never revert or skip a change."""
        tickets = [make_ticket(n, *groups) for n, groups in enumerate(lists, start=1)]
        deliveries = tickets * len(tickets)
        random.shuffle(deliveries)
        state = TicketState()
        for ticket in deliveries + tickets:
            before = state.number
            state = apply_ticket(state, ticket)
            assert before <= state.number <= before + 1
        assert digest_state(state) == digest_state(apply_all(lists)[-1])

    def test_group_without_databases(self):
        """A group without databases is removed; the other groups stay."""
        other = DatabaseGroup(name="h", databases=(make_database("d"),))
        state = apply_ticket(BASE, make_ticket(2, other))
        removal = make_ticket(3, DatabaseGroup(name="g"))
        assert check_ticket(removal, state) == []
        assert set(apply_ticket(state, removal).groups) == {"h"}
        assert set(state.groups) == {"g", "h"}

    def test_database_moved_in_one_ticket(self):
        """Moving a database to another group in one ticket is not a fault."""
        a, b = ORDERS.databases
        ticket = make_ticket(
            2,
            DatabaseGroup(name="h", databases=(b,)),
            DatabaseGroup(name="g", databases=(a,)),
        )
        assert check_ticket(ticket, BASE) == []


def change_server(**fields):
    first, *rest = ORDERS.databases[0].servers
    return change_database(servers=(replace(first, **fields), *rest))


def change_database(**fields):
    a, b = ORDERS.databases
    return lambda group: replace(group, databases=(replace(a, **fields), b))


def change_rules(**fields):
    return lambda group: replace(group, rules=replace(group.rules, **fields))


A = ORDERS.databases[0]
FAULTY = [
    (change_server(host="db1.example"), Kind.HOST_NOT_IP),
    (change_server(host=""), Kind.HOST_NOT_IP),
    (change_server(port=0), Kind.OUT_OF_RANGE),
    (change_server(port=65_536), Kind.OUT_OF_RANGE),
    (change_server(slots=0), Kind.OUT_OF_RANGE),
    (change_server(slots=36), Kind.OUT_OF_RANGE),
    (change_server(connections=-1), Kind.OUT_OF_RANGE),
    (change_server(region=""), Kind.REGION_EMPTY),
    (change_server(availability_zone=""), Kind.ZONE_EMPTY),
    (change_server(name="a-1"), Kind.DUPLICATE_SERVER),
    (change_server(name="b-1"), Kind.DUPLICATE_SERVER),
    (change_server(host=A.servers[1].host), Kind.DUPLICATE_ADDRESS),
    (change_server(host=f"::ffff:{A.servers[1].host}"), Kind.DUPLICATE_ADDRESS),
    (change_server(name="a b"), Kind.NAME_INVALID),
    (change_database(primary="b-0"), Kind.UNKNOWN_PRIMARY),
    (change_database(servers=()), Kind.INSTANCES_TOO_FEW),
    (change_database(servers=A.servers[:1]), Kind.INSTANCES_TOO_FEW),
    (change_database(servers=make_database("a", 5).servers), Kind.INSTANCES_CHANGED),
    (change_server(port=9), Kind.INSTANCES_CHANGED),
    (change_server(name="a-9"), Kind.INSTANCES_CHANGED),
    (change_database(name="b"), Kind.DUPLICATE_DATABASE),
    (change_database(name="x/y"), Kind.NAME_INVALID),
    (change_rules(max_age_ms=-1), Kind.OUT_OF_RANGE),
    (change_rules(deadline_ms=0), Kind.OUT_OF_RANGE),
]


def kinds_of(ticket: ChangeTicket, state: TicketState = BASE) -> set[Kind]:
    return {fault.kind for fault in check_ticket(ticket, state)}


class TestCheck:
    @pytest.mark.parametrize("change, kind", FAULTY)
    def test_fault_in_a_group(self, change, kind):
        """Each invalid ticket is refused with the matching kind of fault."""
        assert kind in kinds_of(make_ticket(2, change(ORDERS)))

    def test_one_instance_joins_then_another_leaves(self):
        """An instance is replaced in two tickets: one is added, then one removed."""
        four = change_database(servers=make_database("a", 4).servers)(ORDERS)
        assert kinds_of(make_ticket(2, four)) == set()
        state = apply_ticket(BASE, make_ticket(2, four))
        fourth = four.databases[0].servers[3].name
        remaining = change_database(
            servers=four.databases[0].servers[1:], primary=fourth
        )
        assert kinds_of(make_ticket(3, remaining(ORDERS)), state) == set()

    def test_database_in_two_groups(self):
        """A database name may occur in one group only, also across tickets:
        two groups would otherwise share one term record."""
        other = DatabaseGroup(name="h", databases=ORDERS.databases[:1])
        assert Kind.DATABASE_IN_TWO_GROUPS in kinds_of(make_ticket(2, other))
        assert Kind.DATABASE_IN_TWO_GROUPS in kinds_of(make_ticket(2, ORDERS, other))

    def test_server_of_a_group_not_in_the_ticket(self):
        """A server may belong to one database only, also across tickets."""
        database = replace(make_database("d"), servers=A.servers, primary="a-0")
        other = DatabaseGroup(name="h", databases=(database,))
        found = kinds_of(make_ticket(2, other))
        assert found == {Kind.DUPLICATE_SERVER, Kind.DUPLICATE_ADDRESS}

    def test_ticket_fields(self):
        """Invalid fields of the ticket itself, such as a blank author, are refused."""
        assert Kind.NUMBER_NOT_NEXT in kinds_of(make_ticket(1, ORDERS))
        assert Kind.NUMBER_NOT_NEXT in kinds_of(make_ticket(3, ORDERS))
        assert Kind.NO_GROUPS in kinds_of(make_ticket(2))
        assert Kind.DUPLICATE_GROUP in kinds_of(make_ticket(2, ORDERS, ORDERS))
        blank = replace(make_ticket(2, ORDERS), author=" ", identity="")
        assert kinds_of(blank) == {Kind.AUTHOR_EMPTY, Kind.IDENTITY_INVALID}
        removal = make_ticket(2, DatabaseGroup(name="q"))
        assert kinds_of(removal) == {Kind.UNKNOWN_GROUP_REMOVED}

    @settings(REPEATABLE, max_examples=15)
    @given(st.from_type(ChangeTicket))
    def test_any_ticket(self, ticket):
        """No field value makes checking or applying a ticket raise."""
        check_ticket(ticket, BASE)
        apply_ticket(BASE, ticket)


class TestDiff:
    @REPEATABLE
    @given(group_lists(), group_lists())
    def test_empty_means_equal(self, before, after):
        """The comparison is empty exactly if the digests are equal."""
        old = apply_ticket(TicketState(), make_ticket(1, *before))
        new = apply_ticket(TicketState(), make_ticket(1, *after))
        assert (diff_states(old, new) == []) == (digest_state(old) == digest_state(new))

    def test_changed_field(self):
        """A single changed field gives a single line."""
        ticket = make_ticket(2, change_server(slots=7)(ORDERS))
        (line,) = diff_states(BASE, apply_ticket(BASE, ticket))
        assert (line.kind, line.path) == (DiffKind.CHANGED, "g/a/a-0.slots")
        assert (line.before, line.after) == ("5", "7")

    def test_digest_ignores_order(self):
        """The order of databases and servers in a file doesn't change the digest."""
        a, b = ORDERS.databases
        a = replace(a, servers=a.servers[::-1])
        reordered = replace(ORDERS, databases=(b, a))
        state = apply_ticket(TicketState(), make_ticket(1, reordered))
        assert digest_state(state) == digest_state(BASE)


class TestParse:
    def test_round_trip(self):
        """An encoded ticket parses to itself; none of its fields is lost."""
        ticket = make_ticket(1, ORDERS)
        value = encode_ticket(ticket).unwrap()
        assert parse_ticket(value).unwrap() == ticket
        assert decode_ticket(ticket_key(1), value).unwrap() == ticket
        assert isinstance(decode_ticket(ticket_key(2), value), Err)

    def test_misspelt_field(self):
        """A misspelt field is refused at any depth; a default would hide it."""
        text = msgspec.json.encode(make_ticket(1, ORDERS))
        assert isinstance(parse_ticket(text.replace(b'"slots"', b'"slot"')), Err)

    def test_identity(self):
        """Each parse of a ticket without identity draws a different random one."""
        text = b'{"number": 1, "author": "a", "groups": []}'
        first, second = parse_ticket(text).unwrap(), parse_ticket(text).unwrap()
        assert first.identity and first.identity != second.identity

    @REPEATABLE
    @given(st.binary(max_size=40))
    def test_any_bytes_parse_without_raising(self, text):
        """Arbitrary bytes give a fault; none raises."""
        assert isinstance(parse_ticket(text), Err)
