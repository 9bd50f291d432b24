"""Graceful shutdown of a VM under load, in simulated time."""

import asyncio

import looptime
import pytest

from siskinhold.model import (
    Done,
    Marks,
    NotRun,
    NotRunReason,
    StatementKind,
    Unknown,
    UnknownReason,
)
from siskinhold_trial.fakes import CallerConnectionClosed
from siskinhold_trial.fleet import CRANNOG, Fleet

WRITE = "UPDATE kv SET v=CONCAT(v,',x') WHERE k='a'"


def run(script):
    loop = looptime.new_event_loop(start=0.0, noop_cycles=0)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(script())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


async def write_on(caller, outcomes):
    """Write without pauses until the connection closes."""
    while True:
        try:
            reply = await caller.run(StatementKind.WRITE, WRITE)
        except CallerConnectionClosed:
            return
        outcomes.append(reply.outcome)


class TestDrain:
    def test_callers_that_receive_slowly(self):
        """Guards against a VM that ends while its last answers are on their way."""

        async def script():
            fleet = Fleet(deployment=CRANNOG, vm_count=3, lag=0.2)
            await fleet.start()
            name, *_ = sorted(fleet.databases)
            vm = fleet.find_owner(name)
            vm.callers.delay = 0.4
            callers = [vm.callers.connect(database=name) for _ in range(20)]
            await asyncio.sleep(1.0)
            shutdown = asyncio.create_task(vm.shut_down())
            pending = []
            for caller in callers:
                await asyncio.sleep(0.08)
                if not caller.closed:
                    reply = caller.run(StatementKind.WRITE, WRITE)
                    pending.append(asyncio.create_task(reply))
            await asyncio.wait_for(shutdown, 5.0)
            for reply in await asyncio.gather(*pending):
                assert isinstance(reply.outcome, (Done, NotRun)), reply.outcome
            await fleet.stop()

        run(script)

    def test_callers_that_write_without_a_pause(self):
        """The drain completes in seconds and every statement is done or not run.

        Guards against callers that keep a VM from ever being idle, so that the
        drain timeout cuts their statements off.
        """

        async def script():
            fleet = Fleet(deployment=CRANNOG, vm_count=3, lag=0.2)
            await fleet.start()
            name, other, *_ = sorted(fleet.databases)
            vm = fleet.find_owner(name)
            outcomes = []
            tasks = []
            for _ in range(6):
                caller = vm.callers.connect(database=name)
                tasks.append(asyncio.create_task(write_on(caller, outcomes)))
            open_ = vm.callers.connect(database=other)
            await open_.run(StatementKind.BEGIN, "BEGIN")
            await open_.run(StatementKind.WRITE, WRITE)
            await asyncio.sleep(1.0)
            shutdown = asyncio.create_task(vm.shut_down())
            await asyncio.sleep(3.0)
            assert not shutdown.done()
            assert all(task.done() for task in tasks)
            ended = await open_.run(StatementKind.COMMIT, "COMMIT")
            assert isinstance(ended.outcome, Done)
            await asyncio.wait_for(shutdown, 2.0)
            assert outcomes
            for outcome in outcomes:
                assert isinstance(outcome, (Done, NotRun)), outcome
            await fleet.stop()

        run(script)

    def test_statement_during_the_stop(self):
        """Guards against a statement that is read and dropped as the VM stops."""

        async def script():
            fleet = Fleet(deployment=CRANNOG, vm_count=3)
            await fleet.start()
            name, *_ = sorted(fleet.databases)
            vm = fleet.find_owner(name)
            # A caller that completes its login when the drain is over.
            vm.driver.request_shutdown()
            vm.callers._listening = True
            await asyncio.sleep(0.9)
            vm.callers.delay = 0.15
            late = vm.callers.connect(database=name)
            vm.callers.delay = 0.0
            await vm.driver.stopped.wait()
            await asyncio.sleep(0.1)
            running = late.run(StatementKind.WRITE, WRITE)
            reply = await asyncio.wait_for(running, 5.0)
            assert reply.outcome == NotRun(reason=NotRunReason.SHUTDOWN)
            marks = Marks(once=True, key="order-1")
            reply = await late.run(StatementKind.WRITE, WRITE, marks)
            assert isinstance(reply.outcome, Unknown)
            await fleet.stop()

        run(script)


LONG = Marks(deadline_ms=600_000)


async def open_transaction(vm, name, key):
    caller = vm.callers.connect(database=name)
    await caller.run(StatementKind.BEGIN, "BEGIN")
    sql = WRITE.replace("'a'", f"'{key}'")
    await caller.run(StatementKind.WRITE, sql, LONG)
    return caller


class TestEndOfTheDrainTime:
    @pytest.mark.parametrize("stopped", ["owner", "entry"])
    def test_statements_that_still_run(self, stopped):
        """Guards against statements without an answer as the drain time ends."""

        async def script():
            times = [0.002]
            fleet = Fleet(
                deployment=CRANNOG,
                vm_count=6,
                service_time=lambda generator: times[0],
            )
            await fleet.start()
            name, *_ = sorted(fleet.databases)
            owners = {name: fleet.find_owner(name) for name in fleet.databases}
            entry = owners[name]
            if stopped == "entry":
                entry, *_ = [
                    vm for vm in fleet.vms.values() if vm not in owners.values()
                ]
            reader = entry.callers.connect(database=name)
            writer = entry.callers.connect(database=name)
            inside, committing, idle = [
                await open_transaction(entry, name, key) for key in "bcd"
            ]
            begun = entry.callers.connect(database=name)
            await begun.run(StatementKind.BEGIN, "BEGIN")
            await asyncio.sleep(1.0)
            times[0] = 500.0
            started = fleet.world.now()
            read = "SELECT v FROM kv WHERE k='a'"
            tasks = [
                asyncio.create_task(caller.run(kind, sql, LONG))
                for caller, kind, sql in (
                    (reader, StatementKind.READ, read),
                    (writer, StatementKind.WRITE, WRITE),
                    (inside, StatementKind.WRITE, WRITE.replace("'a'", "'b'")),
                    (committing, StatementKind.COMMIT, "COMMIT"),
                )
            ]
            await asyncio.sleep(0.1)
            await asyncio.wait_for(entry.shut_down(), 60.0)
            outcomes = [reply.outcome for reply in await asyncio.gather(*tasks)]
            assert fleet.world.now() - started < 60.0
            assert outcomes[0] == NotRun(reason=NotRunReason.SHUTDOWN)
            assert outcomes[1] == Unknown(reason=UnknownReason.SHUTDOWN)
            assert outcomes[2] == NotRun(reason=NotRunReason.TRANSACTION_LOST)
            assert outcomes[3] == Unknown(reason=UnknownReason.SHUTDOWN)
            assert idle.closed and begun.closed
            await fleet.stop()

        run(script)
