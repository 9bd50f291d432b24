"""Tests of the fake store, network and callers, and of a small VM built on them."""

import asyncio

import pytest
from trial_support import Vm, make_database, make_vm, run

from siskinhold import effects, events
from siskinhold.messages import Envelope, TermsWanted
from siskinhold.model import Done, Marks, Position, RequestId, StatementKind
from siskinhold.store import ListObjects, ReadObject, StoreFailure, WriteObject
from siskinhold_trial import history as checks
from siskinhold_trial.fakes import (
    CallerConnectionClosed,
    FakeCallers,
    FakeDatabase,
    FakeNetwork,
    FakePeers,
    FakeStore,
    FakeStoreClient,
    FakeWorld,
)


class StoreVm:
    """A VM's fake store adapter and a queue of its events."""

    def __init__(self, store: FakeStore, number: int = 0) -> None:
        self.client = FakeStoreClient(store=store, vm=make_vm(number))
        self.events: asyncio.Queue = asyncio.Queue()

    async def call(self, operation):
        """Return the result of a call."""
        self.client.call(effects.CallStore(call=1, operation=operation))
        return (await asyncio.wait_for(self.events.get(), 5)).result


def run_script(script):
    """Run `script(store, one, two)` with two VMs of different regions."""

    async def start(world):
        store = FakeStore(world=world, endpoint=make_vm(0), list_lag=1.0)
        users = StoreVm(store, 1), StoreVm(store, 2)
        for user in users:
            await user.client.start(user.events.put_nowait)
        await script(store, *users)

    run(start)


def write(key, version, value=b"x"):
    """Return a conditional write."""
    return WriteObject(key=key, value=value, expected_version=version)


class TestStore:
    def test_conditional_writes(self):
        """Guards against a conflicting write that is reported as accepted."""

        async def script(store, one, two):
            assert (await one.call(write("a", 0))).objects[0].version == 1
            conflict = await two.call(write("a", 0))
            assert conflict.failure is StoreFailure.CONFLICT
            assert (await two.call(write("a", 1))).objects[0].version == 2
            assert (await one.call(ReadObject(key="b"))).failure is (
                StoreFailure.NOT_FOUND
            )
            large = await one.call(write("b", 0, bytes(1_000_001)))
            assert large.failure is StoreFailure.REJECTED
            assert len((await one.call(ListObjects(prefix="a"))).objects) == 1
            assert store.calls == {"write": 4, "read": 1, "list": 1}

        run_script(script)

    def test_lost_answer_took_effect(self):
        """Guards against a simulated answer loss that prevents the write."""

        async def script(store, one, two):
            store.answer_loss = 1.0
            assert (await one.call(write("a", 0))).failure is StoreFailure.NO_ANSWER
            assert "a" in store.objects

        run_script(script)

    def test_watch_continues_after_an_outage(self):
        """Guards against changes lost while the watching VM was unreachable."""

        async def script(store, one, two):
            two.client.watch(effects.WatchStore(prefix="a", after=0))
            await one.call(write("a", 0))
            assert (await two.events.get()).revision == 1
            store.world.isolate("vm2")
            await one.call(write("a", 1))
            await one.call(write("b", 0))
            store.down = True
            assert (await one.call(write("a", 2))).failure is StoreFailure.NO_ANSWER
            store.world.rejoin("vm2")
            assert two.events.empty()
            store.restore()
            changed = await two.events.get()
            assert [stored.version for stored in changed.objects] == [2]
            assert store.calls["watch"] == 3

        run_script(script)

    def test_link_cut_during_a_delivery(self):
        """Guards against a change lost on its way to the watching VM."""

        async def script(store, one, two):
            two.client.watch(effects.WatchStore(prefix="", after=0))
            await asyncio.sleep(0.1)
            store.execute(write("a", 0))
            store.world.isolate("vm2")
            await asyncio.sleep(0.1)
            store.world.rejoin("vm2")
            assert (await two.events.get()).objects[0].key == "a"

        run_script(script)

    def test_list_of_vms_lags(self):
        """Guards against a list of VMs that shows changes without its lag."""

        async def script(store, one, two):
            store.set_vm(make_vm(1))
            store.set_vm(make_vm(2), leaving=True)
            one.client.read_vm_list()
            assert (await one.events.get()).live == ()
            await asyncio.sleep(1)
            one.client.read_vm_list()
            listed = await one.events.get()
            assert (listed.live, listed.leaving) == ((make_vm(1),), ("vm2",))

        run_script(script)


class TestNetwork:
    def run_script(self, script, **faults):
        async def start(world):
            network = FakeNetwork(world=world, **faults)
            peers = [FakePeers(network=network, vm=make_vm(n)) for n in (0, 2)]
            received: list = []
            for peer in peers:
                await peer.start(received.append)
            vm = make_vm(2)
            peers[0].set_address(vm.name, vm.host, vm.peer_port)
            await script(network, peers, received)

        run(start)

    def send(self, peers, clock=0):
        names = {"sender": "vm0", "incarnation": 1, "receiver_incarnation": 0}
        envelope = Envelope(clock=clock, message=TermsWanted(), **names)
        peers[0].send("vm2", envelope)

    def test_delay_and_bytes(self):
        """Messages take the network delay and their bytes are counted by region."""

        async def script(network, peers, received):
            self.send(peers)
            await asyncio.sleep(0.0079)
            assert not received
            await asyncio.sleep(0.0002)
            assert isinstance(received[0], events.PeerReceived)
            assert list(network.sent_bytes) == [("kochi", "kozhikode")]
            assert network.sent_bytes[("kochi", "kozhikode")] > 20

        self.run_script(script)

    def test_loss_cut_and_stop(self):
        """Guards against delivery over a cut link or to a stopped VM."""

        async def script(network, peers, received):
            network.world.cut("kochi", "kozhikode")
            self.send(peers)
            await asyncio.sleep(0.1)
            network.world.heal("kochi", "kozhikode")
            network.loss = 1.0
            self.send(peers)
            await asyncio.sleep(0.1)
            network.loss = 0.0
            self.send(peers)
            await peers[1].stop()
            await asyncio.sleep(0.1)
            assert received == []

        self.run_script(script)

    def test_jitter_reorders(self):
        """Guards against a network that keeps messages in order despite jitter."""

        async def script(network, peers, received):
            for clock in range(20):
                self.send(peers, clock)
            await asyncio.sleep(1)
            order = [event.envelope.clock for event in received]
            assert order != sorted(order) and sorted(order) == list(range(20))

        self.run_script(script, jitter=0.1)


class PassThroughVm:
    """A VM that forwards statements to the primary, one connection per session."""

    def __init__(self, world: FakeWorld, database: FakeDatabase, number: int) -> None:
        self.world, self.database = world, database
        self.callers = FakeCallers(world=world, delay=0.001)
        self.vm = Vm(world, number)
        self.number = number
        self._sequence = 0
        self._sessions: dict[RequestId, int] = {}

    async def start(self) -> "PassThroughVm":
        """Start accepting callers."""
        await self.callers.start(self.handle_event)
        await self.vm.backends.start(self.handle_event)
        return self

    def handle_event(self, event: events.Event) -> None:
        """Handle an event as the reducer and the driver would."""
        if isinstance(event, events.CallerOpened):
            target = {"server": self.database.find_primary().endpoint, "database": "db"}
            self.vm.backends.perform(
                effects.OpenBackend(connection=event.session, **target)
            )
        elif isinstance(event, events.CallerClosed):
            self.vm.backends.perform(effects.CloseBackend(connection=event.session))
        elif isinstance(event, events.StatementReceived):
            self.world.call_later(0.05, self.run, event)
        elif isinstance(event, events.BackendAnswered):
            positions = {"db": event.position} if event.position else {}
            session = self._sessions.pop(event.request)
            ids = {"session": session, "request": event.request}
            self.callers.reply(
                effects.ReplyCaller(outcome=event.outcome, positions=positions, **ids)
            )

    def run(self, event: events.StatementReceived) -> None:
        """Run a caller's statement."""
        self._sequence += 1
        request = RequestId(f"vm{self.number}", 1, self._sequence)
        self._sessions[request] = event.session
        single = event.kind in (StatementKind.READ, StatementKind.WRITE)
        options = {"key": event.marks.key, "autocommit": single, "want_position": True}
        ids = {"connection": event.session, "request": request}
        self.vm.backends.perform(effects.RunStatement(sql=event.sql, **ids, **options))


async def run_session(world, history, vms, name):
    """Append and read in one session through one VM after the other."""
    session = checks.RecordedSession(
        world=world, history=history, name=name, database="db"
    )
    for number, vm in enumerate(vms):
        session.connect(f"vm{number}", vm.callers)
        await session.run(StatementKind.BEGIN, "BEGIN")
        await session.append("a")
        await session.run(StatementKind.COMMIT, "COMMIT")
        await session.append("a", Marks(once=True, key=name), value=name)
        await session.read("a")
    session.close()


def run_chain(seed: int):
    """Run two sessions over two VMs; return the history and the database."""

    async def script(world):
        world.random.seed(seed)
        database = FakeDatabase(
            world=world,
            config=make_database(),
            service_time=lambda generator: generator.expovariate(1 / 0.005),
        )
        vms = [await PassThroughVm(world, database, n).start() for n in (0, 1)]
        history = checks.History()
        await asyncio.gather(
            *(run_session(world, history, vms, name) for name in ("s", "t"))
        )
        assert world.errors == []
        return history, database

    return run(script)


class TestCallers:
    def test_whole_chain_keeps_the_guarantees(self):
        """The history of two sessions over two VMs passes all checks."""
        history, database = run_chain(1)
        assert len(history.invocations) == 20
        assert all(invocation.is_done for invocation in history.invocations)
        assert history.invocations[-1].positions == {"db": Position(1, 6)}
        value = database.find_primary().log.rows["a"]
        assert sorted(value.split(",")) == ["s", "s.2", "s.7", "t", "t.2", "t.7"]
        assert checks.check_all(history, [checks.read_database(database)]) == []

    def test_seed_repeats_the_run(self):
        """Guards against an order or a choice that the seed does not determine."""

        def trace(seed):
            calls = run_chain(seed)[0].invocations
            return [(call.tag, call.answered_at, call.outcome) for call in calls]

        assert trace(1) == trace(1)
        assert trace(1) != trace(2)

    def test_acknowledged_on_isolated_primary_is_found(self):
        """The checks find that a VM that doesn't confirm terms violates guarantee 2."""

        async def script(world):
            database = FakeDatabase(world=world, config=make_database())
            vm = await PassThroughVm(world, database, 0).start()
            history = checks.History()
            session = checks.RecordedSession(
                world=world, history=history, name="s", database="db"
            )
            session.connect("vm0", vm.callers)
            await session.append("a")
            await asyncio.sleep(0.1)
            database.isolate("db-0", vms=())
            for name in ("db-1", "db-2"):
                database.servers[name].fence(2)
            database.servers["db-1"].promote(2)
            await session.append("a")
            session.connect("vm0", vm.callers)
            await session.read("a")
            records = [checks.read_database(database)]
            assert [type(found) for found in checks.check_all(history, records)] == [
                checks.ReadMissedOwnWrite,
                checks.WriteLost,
                checks.WriteOnReplacedPrimary,
            ]

        run(script)

    def test_stop_breaks_callers_and_rolls_back(self):
        """Guards against a stopped VM whose callers wait forever."""

        async def script(world):
            database = FakeDatabase(world=world, config=make_database())
            vm = await PassThroughVm(world, database, 0).start()
            caller = vm.callers.connect(database="db")
            await caller.run(StatementKind.BEGIN, "BEGIN")
            write = "UPDATE kv SET v='1' WHERE k='a'"
            await caller.run(StatementKind.COMMIT, write)
            await vm.callers.stop()
            await vm.vm.backends.stop()
            with pytest.raises(CallerConnectionClosed):
                await caller.run(StatementKind.COMMIT, "COMMIT")
            await asyncio.sleep(0.1)
            assert database.find_primary().sessions == {}
            assert database.find_primary().log.rows == {}

        run(script)

    def test_unexpected_reply_is_recorded(self):
        """Guards against a second reply to a statement that goes unnoticed."""

        async def script(world):
            callers = FakeCallers(world=world)
            await callers.start(lambda event: None)
            caller = callers.connect(database="db")
            ids = {"session": caller.session, "request": RequestId("vm0", 1, 1)}
            reply = effects.ReplyCaller(outcome=Done(), positions={}, **ids)
            callers.reply(reply)
            await asyncio.sleep(0.1)
            assert callers.stray == [reply]

        run(script)
