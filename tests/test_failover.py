"""Tests of failover and switchover in a whole fleet, on simulated time."""

import asyncio

import looptime
import pytest
from msgspec.structs import replace

from siskinhold.core._failover_state import Phase
from siskinhold.model import (
    Acknowledge,
    Done,
    Marks,
    NotRun,
    NotRunReason,
    Role,
    RoutingRules,
    ServerState,
    StatementKind,
    Unknown,
    UnknownReason,
)
from siskinhold_trial.fakes import FakeServer
from siskinhold_trial.fleet import CRANNOG, Fleet
from siskinhold_trial.proof._faults import _with_state

FAILOVER_BOUND = 7.0
"""Seconds from the loss of a primary until writes succeed again."""


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


async def write(fleet, deadline_ms=20_000):
    caller = fleet.vms["vm0"].callers.connect(database="bookings")
    sql = "UPDATE kv SET v='x' WHERE k='a'"
    reply = await caller.run(StatementKind.WRITE, sql, Marks(deadline_ms=deadline_ms))
    return reply.outcome


async def time_next_write(fleet):
    """Return the seconds until a write succeeds; each try has a 0.5 s deadline."""
    began = fleet.world.now()
    while not isinstance(await write(fleet, 500), Done):
        continue
    return fleet.world.now() - began


class TestLoss:
    @pytest.mark.parametrize("fault", ["kill", "freeze", "isolate", "cut_off"])
    def test_writes_succeed_again(self, fault):
        """Guards against a lost primary that is not detected.

        The primary refuses connections, does not answer, is isolated, or is cut
        off from its replicas while VMs still reach it.
        """

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            server = database.find_primary()
            if fault == "kill":
                server.kill()
            elif fault == "freeze":
                server.freeze()
            else:
                vms = None if fault == "isolate" else ()
                database.isolate(server.endpoint.name, vms=vms)
            gap = await time_next_write(fleet)
            return gap, database.find_primary() is server

        gap, same = run(scenario)
        assert gap < FAILOVER_BOUND
        assert not same

    def test_no_promotion_without_the_store(self):
        """Guards against a promotion without a term reserved in the store."""

        async def scenario(fleet):
            fleet.store.down = True
            fleet.databases["bookings"].find_primary().kill()
            outcome = await write(fleet, 5_000)
            promotions = len(fleet.databases["bookings"].promotions)
            fleet.store.restore()
            return outcome, promotions, await time_next_write(fleet)

        outcome, promotions, gap = run(scenario)
        assert outcome == NotRun(reason=NotRunReason.NO_PRIMARY)
        assert promotions == 1
        assert gap < FAILOVER_BOUND

    def test_refused_retry_of_a_keyed_write_is_unknown(self):
        """Guards against "not run" for an order that ran a while ago, when its caller
        got no answer and repeats it with its key through another VM."""

        async def scenario(fleet):
            sql = "UPDATE kv SET v='x' WHERE k='a'"
            marks = Marks(once=True, key="order-1", deadline_ms=5_000)
            outcomes = []
            for name in ("vm0", "vm1"):
                caller = fleet.vms[name].callers.connect(database="bookings")
                reply = await caller.run(StatementKind.WRITE, sql, marks)
                outcomes.append(reply.outcome)
                if len(outcomes) == 1:
                    await asyncio.sleep(70.0)
                    fleet.store.down = True
                    fleet.databases["bookings"].find_primary().kill()
            return outcomes

        first, retried = run(scenario)
        assert isinstance(first, Done)
        assert retried == Unknown(reason=UnknownReason.KEY_UNSETTLED)

    def test_slow_store_and_busy_primary(self):
        """Guards against a promotion without a loss, while the store is slow and
        the primary is busy."""

        async def scenario(fleet):
            fleet.store.latency = 2.0
            sql = "SELECT v FROM kv WHERE k='a' /* cost_ms=4000 */"
            callers = []
            for number in range(30):
                vm = fleet.vms[f"vm{number % 3}"]
                caller = vm.callers.connect(database="bookings")
                callers.append(asyncio.create_task(caller.run(StatementKind.READ, sql)))
            await asyncio.sleep(6.0)
            for task in callers:
                task.cancel()
            return len(fleet.databases["bookings"].promotions)

        assert run(scenario) == 1


class TestSwitchover:
    @pytest.mark.parametrize("cut_off", [False, True])
    def test_leaving_primary_hands_over(self, cut_off):
        """Guards against promoting the leaving primary again because it holds
        writes that its replicas lack."""

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            server = database.find_primary()
            if cut_off:
                database.isolate(server.endpoint.name, vms=())
                await write(fleet, 300)
            name = server.endpoint.name
            fleet.accept_ticket(_with_state(fleet, name, ServerState.LEAVING))
            await asyncio.sleep(6.0)
            return database.find_primary().endpoint.name != name, await write(fleet)

        moved, outcome = run(scenario)
        assert moved
        assert isinstance(outcome, Done)

    def test_planned_work_waits_for_commits_of_the_primary_alone(self):
        """Guards against a switchover that loses acknowledged writes, as the primary
        alone acknowledges them and the replicas are behind."""

        async def scenario(fleet):
            rules = RoutingRules(acknowledge=Acknowledge.PRIMARY)
            fleet.accept_ticket(replace(fleet.group, rules=rules))
            await asyncio.sleep(1.0)
            database = fleet.databases["bookings"]
            server = database.find_primary()
            for other in database.servers.values():
                other.lag = 6.0
            outcome = await write(fleet)
            group = _with_state(fleet, server.endpoint.name, ServerState.LEAVING)
            fleet.accept_ticket(replace(group, rules=rules))
            await asyncio.sleep(12.0)
            primary = database.find_primary()
            return outcome, primary is not server, primary.log.rows.get("a")

        outcome, moved, row = run(scenario)
        assert isinstance(outcome, Done)
        assert moved
        assert row == "x"


def add_replica(fleet, database):
    """Start another instance, which no change ticket names yet, and return it."""
    primary = database.find_primary().endpoint
    endpoint = replace(primary, name=f"{database.config.name}-new", port=1)
    server = FakeServer(
        world=fleet.world, database=database, endpoint=endpoint, primary=False
    )
    server.source = primary.name
    database.servers[endpoint.name] = server
    fleet.world.servers[endpoint.name] = server
    database.after_change()
    return server


async def change_servers(fleet, name, servers):
    """Give a database other servers by a ticket, and wait until it is in force."""
    databases = []
    for database in fleet.group.databases:
        if database.name == name:
            database = replace(database, servers=tuple(servers))
        databases.append(database)
    fleet.accept_ticket(replace(fleet.group, databases=tuple(databases)))
    while not fleet.is_ready():
        await asyncio.sleep(0.01)


async def await_term(vm, term):
    """Wait until the VM knows the record of a term of the database."""
    while vm.node.config.records["bookings"].term < term:
        await asyncio.sleep(0.0001)


async def write_through(vm, value):
    """Write the row through a VM and return the outcome."""
    caller = vm.callers.connect(database="bookings")
    sql = f"UPDATE kv SET v='{value}' WHERE k='a'"
    return (
        await caller.run(StatementKind.WRITE, sql, Marks(deadline_ms=2_000))
    ).outcome


async def read_through(vm):
    """Read the row through a VM and return the outcome."""
    caller = vm.callers.connect(database="bookings")
    sql = "SELECT v FROM kv WHERE k='a'"
    return (await caller.run(StatementKind.READ, sql, Marks(deadline_ms=2_000))).outcome


async def await_phase(vm, phase):
    """Wait until the VM's promotion of the database has reached a step."""
    attempts = vm.node.failover.databases["bookings"]
    while attempts.attempt is None or attempts.attempt.phase is not phase:
        await asyncio.sleep(0.0001)


class TestReplacedServers:
    def test_servers_replaced_while_the_new_term_is_recorded(self):
        """Guards against an acknowledged write that is lost, as the servers fenced
        before two tickets are no majority of those after them."""

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            primary = database.find_primary()
            added = add_replica(fleet, database)
            owner = fleet.find_owner("bookings")
            first, second, third = database.config.servers
            last = added.endpoint
            fleet.world.isolate(primary.endpoint.name)
            await await_phase(owner, Phase.RECORDING)
            fleet.world.cut(owner.address.name, "store")
            fleet.world.rejoin(primary.endpoint.name)
            await change_servers(fleet, "bookings", (first, second, third, last))
            await change_servers(fleet, "bookings", (first, second, last))
            outcome = await write(fleet, 2_000)
            fleet.world.heal(owner.address.name, "store")
            await asyncio.sleep(5.0)
            return outcome, database.find_primary().log.rows.get("a")

        outcome, row = run(scenario)
        assert isinstance(outcome, Done)
        assert row == "x"


class TestLateCommands:
    def test_server_that_is_promoted_after_its_successor_confirms_nothing(self):
        """Guards against an acknowledged write, or a stale read, at a server that a
        VM with an older term record promotes after another VM's promotion."""

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            first = database.find_primary()
            owner = fleet.find_owner("bookings")
            other = fleet.vms["vm1" if owner is fleet.vms["vm0"] else "vm0"]
            first.kill()
            await await_phase(owner, Phase.RECORDING)
            attempt = owner.node.failover.databases["bookings"].attempt
            late = database.servers[attempt.written.primary]
            fleet.world.isolate(late.endpoint.name)
            await await_term(other, 2)
            for name in (owner.address.name, "vm2", "store"):
                fleet.world.cut(other.address.name, name)
            first.restart()
            await await_term(owner, 3)
            await write_through(owner, "kept")
            await asyncio.sleep(12.0)
            fleet.world.rejoin(late.endpoint.name)
            for name in (owner.address.name, "vm2", *database.servers):
                if name != late.endpoint.name:
                    fleet.world.cut(name, late.endpoint.name)
            await asyncio.sleep(1.0)
            terms = [promotion.term for promotion in database.promotions]
            outcomes = [await write_through(other, "lost"), await read_through(other)]
            return terms, outcomes, await read_through(owner)

        terms, (written, read), row = run(scenario)
        assert terms == [1, 3, 2]
        assert isinstance(written, Unknown)
        assert not isinstance(read, Done)
        assert row.rows == ((b"kept",),)


class TestRestartedVm:
    def test_promotion_of_the_process_before_is_completed_once(self):
        """Guards against two primaries of a term when the promoting VM restarts under
        its name while its record is on the way to the store."""

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            owner = fleet.find_owner("bookings")
            database.find_primary().kill()
            await await_phase(owner, Phase.FENCING)
            fleet.store.latency = 0.5
            await await_phase(owner, Phase.RECORDING)
            await owner.kill()
            await owner.start()
            gap = await time_next_write(fleet)
            await asyncio.sleep(5.0)
            return gap, [promotion.term for promotion in database.promotions]

        gap, terms = run(scenario)
        assert gap < FAILOVER_BOUND
        assert terms == [1, 2]


class TestLostLog:
    def test_primary_without_its_log_is_not_promoted_again(self):
        """Guards against acknowledged writes that are lost, as a primary that restarts
        fenced and without its log is promoted again in its term."""

        async def scenario(fleet):
            database = fleet.databases["bookings"]
            server = database.find_primary()
            outcome = await write(fleet)
            await asyncio.sleep(0.5)
            server.kill()
            server.log.cut(0)
            server.role = Role.FENCED
            server.restart()
            await asyncio.sleep(5.0)
            rows = [one.log.rows.get("a") for one in database.servers.values()]
            return outcome, rows, await time_next_write(fleet)

        outcome, rows, gap = run(scenario)
        assert isinstance(outcome, Done)
        assert rows == ["x", "x", "x"]
        assert gap < 1.0


class TestRoutingRules:
    def test_no_replica_reads(self):
        """Guards against a replica that serves reads although the group's rules
        forbid it, as the pool of the primary's region contains replicas too."""

        async def scenario(fleet):
            rules = RoutingRules(replica_reads=False)
            fleet.accept_ticket(replace(fleet.group, rules=rules))
            await asyncio.sleep(1.0)
            caller = fleet.vms["vm0"].callers.connect(database="bookings")
            sql = "SELECT v FROM kv WHERE k='a'"
            for _ in range(10):
                await caller.run(StatementKind.READ, sql)
            database = fleet.databases["bookings"]
            reads = [item for item in database.executions if item.form == "read"]
            return {
                item.server for item in reads
            }, database.find_primary().endpoint.name

        servers, primary = run(scenario)
        assert servers == {primary}


class TestReadsWithoutPrimary:
    def test_floor_wait_names_the_primary(self):
        """A read that waits for a floor is refused at its deadline with the reason."""

        async def scenario(fleet):
            fleet.store.down = True
            fleet.databases["bookings"].find_primary().kill()
            await asyncio.sleep(1.0)
            caller = fleet.vms["vm0"].callers.connect(database="bookings")
            began = fleet.world.now()
            sql = "SELECT v FROM kv WHERE k='a'"
            reply = await caller.run(StatementKind.READ, sql, Marks(deadline_ms=1_000))
            return reply.outcome, fleet.world.now() - began

        outcome, seconds = run(scenario)
        assert outcome == NotRun(reason=NotRunReason.NO_PRIMARY)
        assert seconds < 1.05
