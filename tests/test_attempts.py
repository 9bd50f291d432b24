"""Tests of promotion attempts: which answers and records continue them."""

import random

import pytest
from store_samples import make_server
from test_ticket_spread import build_address

from siskinhold import events
from siskinhold.core import Identity, NodeState, reduce
from siskinhold.core._attempts import PRIMARY_LEAVING, choose_term
from siskinhold.core._failover import evaluate
from siskinhold.core._failover_state import DatabaseFailover
from siskinhold.core._health_state import ServerHealth
from siskinhold.core._promotion import (
    FENCE_GRACE_PERIOD,
    READ_BACK_DELAY,
    begin_attempt,
)
from siskinhold.core._tickets import learn_term_record
from siskinhold.effects import CallStore, FenceServer, PromoteServer
from siskinhold.model import (
    Database,
    DatabaseGroup,
    Position,
    Reservation,
    Role,
    ServerStatus,
    TermRecord,
    TermStart,
)
from siskinhold.store import (
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
    decode_term,
    encode_term,
)

FIRST = TermStart(term=1, offset=0, primary="a")
LATER = TermStart(term=3, offset=9, primary="b")


def make_database(*names):
    """Return a database with servers of these names."""
    servers = tuple(make_server(name) for name in names)
    return Database(name="db", primary="a", servers=servers)


def begin_reserving():
    """Return a VM that reserves term 2, and the call that writes the reservation."""
    database = make_database("a", "b", "c")
    identity = Identity(address=build_address(0, "north"), incarnation=1)
    node = NodeState(identity=identity, random=random.Random(1))
    put_in_force(node, database)
    learn_term_record(node, TermRecord(database="db", starts=(FIRST,)), 4, [])
    failover = node.failover.databases["db"] = DatabaseFailover()
    out = []
    begin_attempt(node, database, failover, PRIMARY_LEAVING, out)
    (call,) = [effect for effect in out if isinstance(effect, CallStore)]
    return node, call


def find_fences(out):
    """Return the commands that fence servers."""
    return [effect for effect in out if isinstance(effect, FenceServer)]


def begin_fencing():
    """Return a VM that has reserved term 2, and the calls that fence the servers."""
    node, call = begin_reserving()
    return node, find_fences(reduce(node, answer_write(call, 5)))


def put_in_force(node, database):
    """Bring a database into force, as a change ticket does."""
    group = DatabaseGroup(name="g", databases=(database,))
    node.config.databases[database.name] = (group, database)


def answer_write(call, version):
    """Return the answer to a write that was carried out."""
    stored = StoredObject(
        key=call.operation.key,
        value=call.operation.value,
        version=version,
        revision=version,
    )
    return events.StoreAnswered(
        at=0.0, call=call.call, result=StoreResult(objects=(stored,))
    )


def answer_fence(fence, role=Role.FENCED):
    """Return the answer of a server, which has the fence's term."""
    status = ServerStatus(
        term=fence.term, role=role, position=Position(term=1, offset=7)
    )
    return events.ControlAnswered(
        at=0.0, server=fence.server.name, call=fence.call, status=status
    )


def end_fencing(node, fences):
    """Have a majority fenced, and return the effects of the end of the wait."""
    out = []
    for fence in fences[:2]:
        out += reduce(node, answer_fence(fence))
    out += reduce(node, events.TimeAdvanced(at=FENCE_GRACE_PERIOD + 0.01))
    return out


def find_writes(out):
    """Return the terms of the records that are written, and the versions replaced."""
    found = []
    for effect in out:
        if isinstance(effect, CallStore) and isinstance(effect.operation, WriteObject):
            operation = effect.operation
            record = decode_term(operation.key, operation.value).unwrap()
            terms = [start.term for start in record.starts]
            found.append((terms, operation.expected_version))
    return found


class TestReplacedReservation:
    def test_attempt_records_its_term_over_its_reservation(self):
        """Guards against an attempt that ends although its reservation stands."""
        node, fences = begin_fencing()
        assert find_writes(end_fencing(node, fences)) == [([1, 2], 5)]

    @pytest.mark.parametrize(
        "record",
        [
            TermRecord(database="db", starts=(FIRST, LATER)),
            TermRecord(
                database="db",
                starts=(FIRST,),
                reservation=Reservation(term=3, vm="vm1", run="r"),
            ),
        ],
    )
    def test_record_of_another_vm_is_not_replaced(self, record):
        """Guards against two promotions with the same term."""
        node, fences = begin_fencing()
        learn_term_record(node, record, 8, [])
        assert find_writes(end_fencing(node, fences)) == [([1, 2], 5)]

    def test_promotion_whose_reservation_a_ticket_replaced_ends(self):
        """Guards against a majority of the servers of two tickets ago."""
        node, fences = begin_fencing()
        out = end_fencing(node, fences)
        (call,) = [effect for effect in out if isinstance(effect, CallStore)]
        withdrawn = TermRecord(
            database="db",
            starts=(FIRST,),
            reservation=Reservation(term=2, vm="", run="ticket"),
        )
        conflict = StoreResult(failure=StoreFailure.CONFLICT)
        reduce(node, events.StoreAnswered(at=0.1, call=call.call, result=conflict))
        out = reduce(node, events.TimeAdvanced(at=0.1))
        (call,) = [effect for effect in out if isinstance(effect, CallStore)]
        stored = StoredObject(
            key=call.operation.key,
            value=encode_term(withdrawn).unwrap(),
            version=6,
            revision=6,
        )
        result = StoreResult(objects=(stored,))
        out = reduce(node, events.StoreAnswered(at=0.2, call=call.call, result=result))
        assert find_writes(out) == []
        assert node.failover.databases["db"].attempt is None
        assert choose_term(node, make_database("a", "b", "c")) == 3

    def test_unanswered_write_is_not_repeated_over_another_vms_record(self):
        """Guards against a promotion that is lost from the record."""
        node, fences = begin_fencing()
        out = end_fencing(node, fences)
        (call,) = [effect for effect in out if isinstance(effect, CallStore)]
        record = TermRecord(database="db", starts=(FIRST, LATER))
        learn_term_record(node, record, 8, [])
        lost = StoreResult(failure=StoreFailure.NO_ANSWER)
        reduce(node, events.StoreAnswered(at=0.1, call=call.call, result=lost))
        out = reduce(node, events.TimeAdvanced(at=0.1 + READ_BACK_DELAY + 0.01))
        (call,) = [effect for effect in out if isinstance(effect, CallStore)]
        stored = StoredObject(
            key=call.operation.key,
            value=encode_term(record).unwrap(),
            version=8,
            revision=8,
        )
        result = StoreResult(objects=(stored,))
        answer = events.StoreAnswered(at=0.3, call=call.call, result=result)
        out = reduce(node, answer)
        assert find_writes(out) == []
        assert not any(isinstance(effect, PromoteServer) for effect in out)
        assert node.failover.databases["db"].attempt is None


class TestForeignTerm:
    @pytest.mark.parametrize("role", [Role.PRIMARY, Role.REPLICA])
    def test_server_that_acts_in_the_term_is_not_fenced(self, role):
        """Guards against a second primary of a term that the store has lost."""
        node, fences = begin_fencing()
        out = reduce(node, answer_fence(fences[0], role))
        for fence in fences[1:]:
            out += reduce(node, answer_fence(fence))
        assert find_writes(out) == []
        assert node.failover.databases["db"].attempt is None


class TestChangedServers:
    def test_servers_in_force_are_fenced(self):
        """Guards against a majority of servers that were replaced while the store
        was slow."""
        node, call = begin_reserving()
        put_in_force(node, make_database("a", "b", "d"))
        fences = find_fences(reduce(node, answer_write(call, 5)))
        assert [fence.server.name for fence in fences] == ["a", "b", "d"]

    def test_servers_of_a_removed_database_are_not_fenced(self):
        """Guards against a promotion of a database that is no longer in force."""
        node, call = begin_reserving()
        node.config.databases.clear()
        assert find_fences(reduce(node, answer_write(call, 5))) == []
        assert node.failover.databases["db"].attempt is None

    def test_term_is_not_recorded_for_replaced_servers(self):
        """Guards against a new primary while a majority of the servers in force
        confirms writes of the old one."""
        node, fences = begin_fencing()
        put_in_force(node, make_database("a", "b", "d"))
        assert find_writes(end_fencing(node, fences)) == []
        assert node.failover.databases["db"].attempt is None


SECOND = TermStart(term=2, offset=5, primary="b")


def find_promotions(queried, position):
    """Return the servers that a VM promotes which finds b fenced in term 2.

    Args:
        queried: the other servers that have been queried and did not answer.
        position: position of b's log.
    """
    node, _ = begin_reserving()
    database = make_database("a", "b", "c")
    node.failover.databases.clear()
    learn_term_record(node, TermRecord(database="db", starts=(FIRST, SECOND)), 8, [])
    for server in database.servers:
        health = ServerHealth(server=server, database="db")
        health.failures = int(server.name in queried)
        node.health.servers[server.name] = health
    status = ServerStatus(term=2, role=Role.FENCED, position=position)
    node.health.servers["b"].status = status
    node.health.servers["b"].started = node.now
    out = []
    evaluate(node, database, out)
    return [item.server.name for item in out if isinstance(item, PromoteServer)]


class TestRecordedPrimary:
    def test_promotion_of_another_vm_is_completed(self):
        """Guards against a database without a primary after the loss of a VM."""
        assert find_promotions("ac", Position(term=1, offset=5)) == ["b"]

    def test_server_without_the_log_of_its_start_is_not_promoted(self):
        """Guards against a primary that has lost entries and cuts the others' logs."""
        assert find_promotions("ac", Position(term=1, offset=4)) == []

    def test_server_is_not_promoted_before_the_others_were_queried(self):
        """Guards against a VM that has just started and promotes such a primary."""
        assert find_promotions("a", Position(term=1, offset=5)) == []
