"""Tests of the fake database through a VM's fake backend adapter."""

import asyncio

import pytest
from trial_support import Vm, make_database, run

from siskinhold import effects, events
from siskinhold.model import ControlFailure, Done, Failed, Position, Role
from siskinhold_trial.fakes import FakeDatabase


def run_script(script, **options):
    """Run `script(database, vm, servers)` in a fresh world."""

    async def start(world):
        database = FakeDatabase(world=world, config=make_database(), **options)
        vm = await Vm(world).start()
        await script(database, vm, database.config.servers)

    run(start)


async def promote(vm, servers, leader: int, term: int) -> None:
    """Fence the servers 1 and 2, promote `leader` and let the other one follow."""
    for number in (1, 2):
        await vm.control(effects.FenceServer, servers[number], term=term)
    await vm.control(effects.PromoteServer, servers[leader], term=term)
    for number in (1, 2):
        if number != leader:
            follow = {"term": term, "primary": servers[leader]}
            await vm.control(effects.FollowServer, servers[number], **follow)


class TestStatements:
    def test_write_reaches_replicas_after_their_lag(self):
        """Guards against replication that is immediate or missing."""

        async def script(database, vm, servers):
            primary = await vm.open(servers[0])
            answer = await vm.run_statement(primary, "UPDATE kv SET v='1' WHERE k='a'")
            assert answer.position == Position(1, 1)
            replica = await vm.open(servers[1])
            read = "SELECT v FROM kv WHERE k='a'"
            assert (await vm.run_statement(replica, read)).outcome.rows == ((None,),)
            await asyncio.sleep(0.2)
            assert (await vm.run_statement(replica, read)).outcome.rows == ((b"1",),)

        run_script(script, lag=0.2)

    def test_connection_cost_and_slots(self):
        """Two slots run two of three statements; guards against free concurrency."""

        async def script(database, vm, servers):
            opened = [await vm.open(servers[0]) for _ in range(3)]
            start = database.world.now()
            for connection in opened:
                vm.send(connection, "SELECT v FROM kv WHERE k='a' /* cost_ms=50 */")
            answered_after = [(await vm.next_event()).at - start for _ in opened]
            assert [round(at, 2) for at in answered_after] == [0.05, 0.05, 0.1]

        run_script(script)

    def test_too_many_connections(self):
        """A fifth connection is rejected at a limit of four."""

        async def script(database, vm, servers):
            for _ in range(4):
                await vm.open(servers[0])
            opening = effects.OpenBackend(
                connection=99, server=servers[0], database="db"
            )
            assert (await vm.perform(opening)).failure is ControlFailure.REJECTED

        run_script(script)


class TestTransactions:
    def test_rows_stay_locked_until_commit(self):
        """Guards against a write that ignores the row lock of an open transaction."""

        async def script(database, vm, servers):
            one, two = await vm.open(servers[0]), await vm.open(servers[0])
            await vm.run_statement(one, "BEGIN", autocommit=False)
            append = "UPDATE kv SET v=CONCAT(v,',{}') WHERE k='a'"
            held = await vm.run_statement(one, append.format(1), autocommit=False)
            assert held.in_transaction
            vm.send(two, append.format(2))
            assert await vm.next_event(0.5) is None
            vm.send(one, "COMMIT", autocommit=False)
            ended = [await vm.next_event(), await vm.next_event()]
            assert [event.connection for event in ended] == [one, two]
            assert database.find_primary().log.rows == {"a": "1,2"}

        run_script(script)

    def test_locks_of_the_first_statement(self):
        """Guards against a transaction without BEGIN that loses its first locks."""

        async def script(database, vm, servers):
            one, two = await vm.open(servers[0]), await vm.open(servers[0])
            write = "UPDATE kv SET v='1' WHERE k='a'"
            first = await vm.run_statement(one, write, key="k", autocommit=False)
            assert first.in_transaction
            vm.send(two, "INSERT INTO log VALUES ('x')", key="k")
            assert await vm.next_event(0.5) is None
            await vm.run_statement(one, "COMMIT", autocommit=False)
            assert (await vm.next_event()).outcome.repeated

        run_script(script)

    def test_closing_rolls_back(self):
        """Guards against locks and changes that outlast their connection."""

        async def script(database, vm, servers):
            one, two = await vm.open(servers[0]), await vm.open(servers[0])
            await vm.run_statement(one, "BEGIN", autocommit=False)
            write = "UPDATE kv SET v='{}' WHERE k='a'"
            await vm.run_statement(one, write.format(1), autocommit=False)
            vm.backends.perform(effects.CloseBackend(connection=one))
            assert (await vm.run_statement(two, write.format(2))).outcome == Done(
                affected_rows=1
            )
            assert database.executions[1].committed_at is None

        run_script(script)

    def test_key_runs_once(self):
        """Guards against a second execution of a key on any connection."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            write = "INSERT INTO log VALUES ('x')"
            assert not (await vm.run_statement(one, write, key="k1")).outcome.repeated
            assert (await vm.run_statement(one, write, key="k1")).outcome.repeated
            two = await vm.open(servers[0])
            assert (await vm.run_statement(two, write, key="k1")).outcome.repeated
            assert database.find_primary().log.inserted == ["x"]
            assert not (await vm.run_statement(two, write, key="k2")).outcome.repeated
            assert database.find_primary().log.inserted == ["x", "x"]

        run_script(script)


class TestTerms:
    def test_fence_fails_running_write(self):
        """Guards against a running write that commits after its primary was fenced."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            vm.send(one, "UPDATE kv SET v='1' WHERE k='a' /* cost_ms=100 */")
            fenced = await vm.control(effects.FenceServer, servers[0], term=2)
            assert fenced.status.role is Role.FENCED
            outcome = (await vm.next_event()).outcome
            assert isinstance(outcome, Failed) and outcome.code == 1290
            assert database.servers["db-0"].log.rows == {}

        run_script(script)

    def test_isolated_primary_is_truncated_on_rejoin(self):
        """Guards against a rejoined server that keeps entries of its diverged log."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            database.isolate("db-0", vms=())
            write = "UPDATE kv SET v='{}' WHERE k='a'"
            assert (await vm.run_statement(one, write.format("lost"))).outcome == Done(
                affected_rows=1
            )
            await asyncio.sleep(1)
            status = await vm.control(effects.QueryStatus, servers[1])
            assert status.status.source_silence_ms >= 1000
            await promote(vm, servers, 1, 2)
            two = await vm.open(servers[1])
            kept = await vm.run_statement(two, write.format("kept"))
            assert kept.position == Position(2, 1)
            database.world.rejoin("db-0")
            follow = dict(term=2, primary=servers[1])
            await vm.control(effects.FollowServer, servers[0], **follow)
            await asyncio.sleep(0.1)
            assert database.servers["db-0"].log.rows == {"a": "kept"}
            assert database.servers["db-2"].log.rows == {"a": "kept"}

        run_script(script)

    def test_promotion_needs_exact_fence(self):
        """Guards against a promotion at a term at which the server was not fenced."""

        async def script(database, vm, servers):
            await vm.control(effects.FenceServer, servers[1], term=3)
            for kind in (effects.PromoteServer, effects.FenceServer):
                answer = await vm.control(kind, servers[1], term=2)
                assert answer.failure is ControlFailure.REJECTED

        run_script(script)

    @pytest.mark.parametrize("promoted", [False, True])
    def test_late_follow_does_not_end_a_fence(self, promoted):
        """Guards against a server that an earlier promotion resumes as a replica."""

        async def script(database, vm, servers):
            await vm.control(effects.FenceServer, servers[1], term=3)
            if promoted:
                await vm.control(effects.PromoteServer, servers[1], term=3)
            before = database.servers["db-1"].role
            follow = dict(term=2, primary=servers[2])
            answer = await vm.control(effects.FollowServer, servers[1], **follow)
            assert answer.failure is ControlFailure.REJECTED
            after = database.servers["db-1"]
            assert (after.term, after.role, after.source) == (3, before, "")

        run_script(script)


class TestFaults:
    def test_killed_server_breaks_and_refuses(self):
        """Guards against a killed server that behaves like an unresponsive one."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            vm.send(one, "SELECT v FROM kv WHERE k='a' /* cost_ms=100 */")
            await asyncio.sleep(0.05)
            database.servers["db-0"].kill()
            lost = await vm.next_event()
            assert isinstance(lost, events.BackendLost) and lost.sent
            assert not (
                await vm.run_statement(one, "SELECT v FROM kv WHERE k='a'")
            ).sent
            status = await vm.control(effects.QueryStatus, servers[0])
            assert status.failure is ControlFailure.REFUSED
            database.servers["db-0"].restart()
            status = await vm.control(effects.QueryStatus, servers[0])
            assert status.status.role is Role.PRIMARY

        run_script(script)

    def test_silent_connections_beside_new_ones(self):
        """Existing connections don't answer after `silence`, a new one does."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            await vm.control(effects.QueryStatus, servers[0])
            database.servers["db-0"].silence()
            vm.send(one, "SELECT v FROM kv WHERE k='a'")
            old = await vm.control(effects.QueryStatus, servers[0])
            assert old.failure is ControlFailure.TIMEOUT
            query = effects.QueryActivity(connection=one, server=servers[0])
            assert (await vm.perform(query)).executing is False

        run_script(script)

    def test_frozen_server_times_out_and_continues(self):
        """Guards against a frozen server that drops or runs messages it receives."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            database.servers["db-0"].freeze()
            vm.send(one, "SELECT v FROM kv WHERE k='a'")
            status = await vm.control(effects.QueryStatus, servers[0])
            assert status.failure is ControlFailure.TIMEOUT
            assert await vm.next_event(1) is None
            database.servers["db-0"].unfreeze()
            assert isinstance(await vm.next_event(), events.BackendAnswered)

        run_script(script)

    def test_lost_answer_had_its_effect(self):
        """Guards against an answer loss that prevents the statement's effect."""

        async def script(database, vm, servers):
            one = await vm.open(servers[0])
            vm.backends.answer_loss = 1.0
            answer = await vm.run_statement(one, "INSERT INTO log VALUES ('x')")
            assert isinstance(answer, events.BackendLost) and answer.sent
            assert database.find_primary().log.inserted == ["x"]

        run_script(script)
