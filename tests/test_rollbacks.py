"""ROLLBACK of transactions that have ended already, in simulated time."""

import asyncio

import looptime
import pytest

from siskinhold.model import Done, Failed, Marks, NotRun, NotRunReason, StatementKind
from siskinhold_trial.fleet import CRANNOG, Fleet

LONG = Marks(deadline_ms=600_000)


def run(script):
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(script())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def write(caller, key):
    """Start a write to a key."""
    sql = f"UPDATE kv SET v=CONCAT(v,',x') WHERE k='{key}'"
    return caller.run(StatementKind.WRITE, sql, LONG)


async def open_transaction(vm, name, key):
    """Return a caller with an open transaction that has written to a key."""
    caller = vm.callers.connect(database=name)
    await caller.run(StatementKind.BEGIN, "BEGIN")
    await write(caller, key)
    return caller


async def start_fleet(entry):
    """Return a fleet, and a VM that owns its first database or does not."""
    fleet = Fleet(deployment=CRANNOG, vm_count=6)
    await fleet.start()
    name, *_ = sorted(fleet.databases)
    owners = [fleet.find_owner(database) for database in fleet.databases]
    vm = fleet.find_owner(name)
    if entry == "other":
        vm, *_ = [vm for vm in fleet.vms.values() if vm not in owners]
    return fleet, vm, name


@pytest.mark.parametrize("entry", ["owner", "other"])
class TestEndedTransaction:
    def test_rollback_after_a_deadlock_is_done(self, entry):
        """Guards against a caller that is told that its ROLLBACK did not run."""

        async def script():
            fleet, vm, name = await start_fleet(entry)
            first = await open_transaction(vm, name, "b")
            second = await open_transaction(vm, name, "c")
            replies = await asyncio.gather(write(first, "c"), write(second, "b"))
            assert any(isinstance(reply.outcome, Failed) for reply in replies)
            for caller in (first, second):
                reply = await caller.run(StatementKind.ROLLBACK, "ROLLBACK")
                assert isinstance(reply.outcome, Done)
            await fleet.stop()

        run(script)

    def test_commit_after_a_lost_connection_is_refused(self, entry):
        """Guards against a COMMIT that is taken for a ROLLBACK."""

        async def script():
            fleet, vm, name = await start_fleet(entry)
            caller = await open_transaction(vm, name, "b")
            server = fleet.databases[name].find_primary()
            for session in list(server.sessions.values()):
                server.close_session(session)
                session.on_close()
            await asyncio.sleep(0.5)
            reply = await caller.run(StatementKind.COMMIT, "COMMIT", LONG)
            assert reply.outcome == NotRun(reason=NotRunReason.TRANSACTION_LOST)
            await fleet.stop()

        run(script)
