"""Tests of a store that goes back to an older copy, on simulated time."""

import asyncio

import looptime
import pytest

from siskinhold.model import Done, Marks, StatementKind
from siskinhold.store import WriteObject, decode_term, term_key, ticket_key
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
