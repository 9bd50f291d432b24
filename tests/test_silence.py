"""Unresponsive connections, stragglers, old connections and the retry budget."""

import asyncio
import random

import looptime

from siskinhold.core import Identity, NodeState, reduce
from siskinhold.core._retries import MIN_RETRIES, record_request, spend_retry
from siskinhold.effects import QueryStatus
from siskinhold.events import ActivityReported
from siskinhold.model import Done, Marks, StatementKind, Unknown
from siskinhold_trial.fakes import FakeWorld
from siskinhold_trial.load import MALABAR, make_policy
from siskinhold_trial.load._deployments import make_vm
from siskinhold_trial.load._simulation import START_TIME, PoolSimulation

READ = "SELECT v FROM kv WHERE k='a' /* cost_ms={} */"
WRITE = "UPDATE kv SET v='1' WHERE k='a' /* cost_ms={} */"


def run_script(script) -> None:
    """Run `script(simulation, caller)` on a started VM in simulated time."""
    loop = looptime.new_event_loop(start=0, noop_cycles=0)

    async def start() -> None:
        simulation = PoolSimulation(
            world=FakeWorld(loop=loop, seed=1),
            deployment=MALABAR,
            policy=make_policy(),
            seed=1,
        )
        await simulation.start()
        await asyncio.sleep(START_TIME)
        caller = simulation.callers.connect(database="db")
        caller.present({})
        await script(simulation, caller)
        await simulation.driver.stop()

    try:
        loop.run_until_complete(start())
    finally:
        loop.close()


def silence_connections(simulation: PoolSimulation) -> None:
    """Make all open connections for statements unresponsive; new ones work."""
    for server in simulation.database.servers.values():
        for session in list(server.sessions.values()):
            if not session.control:
                server.silence_session(session)


class TestUnresponsiveConnections:
    def test_read_is_retried(self):
        """Guards against a read that ends at its deadline or never."""

        async def script(simulation, caller):
            silence_connections(simulation)
            begin = simulation.world.now()
            reply = await caller.run(StatementKind.READ, READ.format(3))
            assert isinstance(reply.outcome, Done)
            assert simulation.world.now() - begin < 1.5

        run_script(script)

    def test_write_is_unknown_and_a_keyed_one_runs_once(self):
        """Guards against running an unkeyed write twice."""

        async def script(simulation, caller):
            for marks, kind in ((Marks(), Unknown), (Marks(once=True, key="k"), Done)):
                silence_connections(simulation)
                begin = simulation.world.now()
                reply = await caller.run(StatementKind.WRITE, WRITE.format(3), marks)
                assert isinstance(reply.outcome, kind)
                assert simulation.world.now() - begin < 1.5
                await asyncio.sleep(1)
            writes = [e for e in simulation.database.executions if e.form == "set"]
            assert len(writes) == 1

        run_script(script)

    def test_straggler_is_never_disconnected(self):
        """Guards against taking a slow statement for one on a lost connection."""

        async def script(simulation, caller):
            marks = Marks(deadline_ms=60_000)
            for kind, text in (
                (StatementKind.READ, READ),
                (StatementKind.WRITE, WRITE),
            ):
                reply = await caller.run(kind, text.format(20_000), marks)
                assert isinstance(reply.outcome, Done)
            slow = [
                e for e in simulation.database.executions if e.form in ("read", "set")
            ]
            assert len(slow) == 2

        run_script(script)

    def test_failed_activity_query_closes_nothing(self):
        """Guards against closing a connection because an activity query failed.

        The failure only requests a fresh status of the server.
        """

        async def script(simulation, caller):
            marks = Marks(deadline_ms=9_000)
            call = asyncio.create_task(
                caller.run(StatementKind.WRITE, WRITE.format(3_000), marks)
            )
            await asyncio.sleep(0.4)
            connections = simulation.node.connections.connections.values()
            busy = next(c for c in connections if c.request is not None)
            busy.activity_requested = True
            simulation.node.health.servers[busy.server].query_started = None
            event = ActivityReported(
                at=simulation.world.now(), connection=busy.number, executing=None
            )
            out = reduce(simulation.node, event)
            assert [effect.fresh for effect in out] == [True]
            assert isinstance(out[0], QueryStatus)
            simulation.backends.perform(out[0])
            assert isinstance((await call).outcome, Done)

        run_script(script)

    def test_old_idle_connections_are_replaced(self):
        """Guards against reusing connections that were idle for so long that they may
        be unresponsive."""

        async def script(simulation, caller):
            before = set(simulation.node.connections.connections)
            await asyncio.sleep(40)
            after = simulation.node.connections.connections
            assert before and not before & set(after)
            assert len(after) >= len(before)

        run_script(script)


class TestRetryBudget:
    def test_read_is_not_retried_without_budget(self):
        """Guards against retries that bypass the budget."""

        async def script(simulation, caller):
            silence_connections(simulation)
            call = asyncio.create_task(caller.run(StatementKind.READ, READ.format(3)))
            await asyncio.sleep(0.6)
            while spend_retry(simulation.node):
                pass
            assert isinstance((await call).outcome, Unknown)
            assert simulation.node.now < START_TIME + 1.5

        run_script(script)

    def make(self) -> NodeState:
        """Return a VM's state."""
        return NodeState(
            identity=Identity(address=make_vm(), incarnation=1), random=random.Random(1)
        )

    def test_minimum_and_share(self):
        """Guards against retries that multiply the load, and none at low load."""
        node = self.make()
        node.now = 10.5
        assert [spend_retry(node) for _ in range(15)].count(True) == MIN_RETRIES
        node.now = 20.0
        for _ in range(500):
            record_request(node)
        assert [spend_retry(node) for _ in range(100)].count(True) == 50

    def test_window_ends(self):
        """Guards against a budget that never refills or counts old requests."""
        node = self.make()
        node.now = 10.9
        for _ in range(500):
            record_request(node)
        while spend_retry(node):
            pass
        node.now = 11.1
        assert not spend_retry(node)
        node.now = 13.0
        assert [spend_retry(node) for _ in range(100)].count(True) == MIN_RETRIES
