"""Tests of a store that goes back to an older copy, on simulated time."""

import asyncio

import looptime
import msgspec
import pytest

from siskinhold.core import reduce
from siskinhold.core._attempts import PRIMARY_REMOVED
from siskinhold.core._failover_state import DatabaseFailover
from siskinhold.core._promotion import _write_record, begin_attempt
from siskinhold.core._tickets import learn_term_record
from siskinhold.core._watching import ListCall, handle_list_answer
from siskinhold.effects import CallStore, FenceServer, WatchStore
from siskinhold.events import StoreAnswered, TimeAdvanced
from siskinhold.model import Done, Marks, StatementKind
from siskinhold.store import (
    StoreFailure,
    StoreResult,
    WriteObject,
    decode_term,
    term_key,
    ticket_key,
)
from siskinhold_trial.fleet import CRANNOG, Fleet

FAILOVER_BOUND = 7.0
"""Seconds from the loss of a primary until writes succeed again."""
both_kinds = pytest.mark.parametrize("raise_era", [False, True])


def run(scenario):
    """Run a scenario on a started fleet of three VMs and return its result."""

    async def play():
        fleet = Fleet(deployment=CRANNOG, seed=3, vm_count=3)
        await fleet.start()
        await asyncio.sleep(1.0)
        result = await scenario(fleet)
        await fleet.stop()
        return result

    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    try:
        return loop.run_until_complete(play())
    finally:
        loop.close()


async def restore(fleet, copy, *, raise_era):
    """Bring the store back from a copy after an outage of 1 s."""
    fleet.store.down = True
    await asyncio.sleep(1.0)
    fleet.store.load_copy(copy, raise_era=raise_era)
    fleet.store.restore()


class TestWatch:
    @both_kinds
    def test_ticket_after_the_restore_comes_into_force(self, raise_era):
        """Guards against a watch that misses changes with revisions given out again."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            for version in range(4):
                write = WriteObject(key="t", value=b"v", expected_version=version)
                fleet.store.execute(write)
            await asyncio.sleep(1.0)
            await restore(fleet, copy, raise_era=raise_era)
            await asyncio.sleep(3.0)
            number = fleet.accept_ticket(fleet.group)
            await asyncio.sleep(3.0)
            return number, [vm.node.config.applied for vm in fleet.list_running()]

        number, applied = run(scenario)
        assert applied == [number] * 3

    def test_lists_of_two_eras(self):
        """Guards against a watch that starts between two copies of the store."""

        async def scenario(fleet):
            nodes = [vm.node for vm in fleet.list_running()]
            node = next(node for node in nodes if node.config.watching)
            node.config.watching = False
            node.config.listing = {"ticket/", "term/"}
            out = []
            for prefix, revision, era in (("ticket/", 9, 1), ("term/", 4, 2)):
                result = StoreResult(revision=revision, era=era)
                handle_list_answer(node, ListCall(prefix), result, out)
            return out

        assert not any(isinstance(effect, WatchStore) for effect in run(scenario))


async def write(fleet):
    """Return the outcome of a write and the seconds that it took."""
    began = fleet.world.now()
    caller = fleet.vms["vm0"].callers.connect(database="bookings")
    sql = "UPDATE kv SET v='x' WHERE k='a'"
    reply = await caller.run(StatementKind.WRITE, sql, Marks(deadline_ms=20_000))
    return reply.outcome, fleet.world.now() - began


def kill_primary(fleet):
    """Kill the primary of the database that `write` uses, and return it."""
    server = fleet.databases["bookings"].find_primary()
    server.kill()
    return server


class TestPromotion:
    @both_kinds
    @pytest.mark.parametrize("absent", [False, True])
    def test_primary_lost_after_the_restore(self, raise_era, absent):
        """Guards against promotions that wait for a version which the store lost."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            if absent:
                objects, revision = copy
                copy = {k: v for k, v in objects.items() if k[:5] != "term/"}, revision
            lost = kill_primary(fleet)
            first, _ = await write(fleet)
            lost.restart()
            await asyncio.sleep(1.0)
            await restore(fleet, copy, raise_era=raise_era)
            kill_primary(fleet)
            return first, *await write(fleet)

        first, second, seconds = run(scenario)
        assert isinstance(first, Done) and isinstance(second, Done)
        assert seconds < FAILOVER_BOUND

    def test_version_given_out_again(self):
        """Guards against a repeated write that replaces another VM's record, as it has
        the version of a lost one."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            reserve_term(fleet, "vm0")
            fleet.store.load_copy(copy, raise_era=False)
            reserve_term(fleet, "vm2")
            stored = fleet.store.objects[term_key("bookings")]
            node, out = begin_promotion(fleet, "vm0")
            call = next(effect.call for effect in out if isinstance(effect, CallStore))
            lost = StoreResult(failure=StoreFailure.NO_ANSWER)
            out = reduce(node, StoreAnswered(at=node.now, call=call, result=lost))
            out += reduce(node, TimeAdvanced(at=node.now + 0.2))
            answer_calls(fleet, node, out)
            return stored == fleet.store.objects[term_key("bookings")]

        assert run(scenario)


class TestLostObjects:
    @both_kinds
    def test_accepted_ticket_is_written_again(self, raise_era):
        """Guards against another ticket with the number of one in force."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            number = fleet.accept_ticket(fleet.group)
            accepted = fleet.store.objects[ticket_key(number)].value
            await asyncio.sleep(1.0)
            await restore(fleet, copy, raise_era=raise_era)
            await asyncio.sleep(1.0)
            return accepted, fleet.store.objects[ticket_key(number)].value

        accepted, stored = run(scenario)
        assert stored == accepted

    @both_kinds
    def test_term_record_is_written_again(self, raise_era):
        """Guards against a VM that starts with the primary of an older term."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            kill_primary(fleet)
            await write(fleet)
            await asyncio.sleep(1.0)
            await restore(fleet, copy, raise_era=raise_era)
            await asyncio.sleep(1.0)
            stored = fleet.store.objects[term_key("bookings")]
            record = decode_term(stored.key, stored.value).unwrap()
            return record.primary, fleet.databases["bookings"].find_primary()

        recorded, primary = run(scenario)
        assert recorded == primary.endpoint.name

    def test_newer_term_replaces_a_longer_record(self):
        """Guards against the primary of a lost promotion that replaces a later one."""

        async def scenario(fleet):
            node = fleet.list_running()[0].node
            begin = node.config.records["bookings"]
            lost = begin
            for term in (1_000_001, 1_000_002):
                lost = add_start(lost, term)
            later = add_start(begin, 2_000_001)
            learnt = []
            for record in (lost, later, lost):
                learnt.append(learn_term_record(node, record, 0, []))
            return learnt, node.config.records["bookings"] == later

        assert run(scenario) == ([True, True, False], True)

    def test_lost_answer(self):
        """Guards against objects that stay lost if the store fails again."""

        async def scenario(fleet):
            copy = fleet.store.save_copy()
            number = fleet.accept_ticket(fleet.group)
            await asyncio.sleep(1.0)
            await restore(fleet, copy, raise_era=True)
            await asyncio.sleep(0.05)
            fleet.store.down = True
            await asyncio.sleep(3.0)
            fleet.store.restore()
            await asyncio.sleep(15.0)
            return ticket_key(number) in fleet.store.objects

        assert run(scenario)


def add_start(record, term):
    """Return a term record with the start of another term."""
    start = msgspec.structs.replace(record.starts[-1], term=term)
    return msgspec.structs.replace(record, starts=(*record.starts, start))


def begin_promotion(fleet, name):
    """Begin a promotion on a VM; return its node and the first effects."""
    node = fleet.vms[name].node
    database = node.config.databases["bookings"][1]
    failover = node.failover.databases.setdefault("bookings", DatabaseFailover())
    out = []
    begin_attempt(node, database, failover, PRIMARY_REMOVED, out)
    return node, out


def answer_calls(fleet, node, pending):
    """Answer a VM's store calls until it fences; return the term, or None."""
    while pending:
        effect = pending.pop(0)
        if isinstance(effect, FenceServer):
            return effect.term
        if isinstance(effect, CallStore):
            result = fleet.store.execute(effect.operation)
            answer = StoreAnswered(at=node.now, call=effect.call, result=result)
            pending += reduce(node, answer)
            pending += reduce(node, TimeAdvanced(at=node.now))
    return None


def reserve_term(fleet, name):
    """Begin a promotion on a VM that hears the store only; return the term fenced."""
    return answer_calls(fleet, *begin_promotion(fleet, name))


class TestTerms:
    @pytest.mark.parametrize("known", [0, 1])
    @pytest.mark.parametrize("knows_lost_version", [False, True])
    def test_lost_reservation(self, known, knows_lost_version):
        """Guards against two primaries of one term, reserved before and after the
        restore by VMs that do not hear each other."""

        async def scenario(fleet):
            fleet.store.era = 1
            for vm in fleet.list_running():
                vm.node.config.era = known
            copy = fleet.store.save_copy()
            first = reserve_term(fleet, "vm0")
            fleet.store.load_copy(copy, raise_era=True)
            if knows_lost_version:
                fleet.vms["vm2"].node.config.record_versions["bookings"] = 5
            return first, reserve_term(fleet, "vm2")

        first, second = run(scenario)
        assert first is not None and second is not None
        assert first != second

    def test_record_of_an_older_era(self):
        """Guards against a write that replaces another record of the same version."""

        async def scenario(fleet):
            fleet.store.era = 1
            copy = fleet.store.save_copy()
            reserve_term(fleet, "vm0")
            node = fleet.vms["vm0"].node
            attempt = node.failover.databases["bookings"].attempt
            fleet.store.load_copy(copy, raise_era=True)
            reserve_term(fleet, "vm2")
            stored = fleet.store.objects[term_key("bookings")]
            out = []
            _write_record(node, attempt, out)
            fleet.store.execute(out[0].operation)
            return stored == fleet.store.objects[term_key("bookings")]

        assert run(scenario)
