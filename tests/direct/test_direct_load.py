"""Tests of the direct core under load: throughput, refusals and connections."""

from siskinhold.direct import (
    CallerClosed,
    ConfigurationRead,
    Refusal,
    ReplyCaller,
    ShutdownRequested,
    Stop,
    TimeAdvanced,
    reduce,
)
from siskinhold.direct._state import JobState

from .world import World

STATEMENT_TIME = 0.02
"""Seconds that a statement takes at a server."""


TARGET = 0.4
"""Target latency of all routes, in seconds."""


class Outcome:
    """Outcome of a caller's statement."""

    def __init__(self, *, sent_at, database):
        self.sent_at = sent_at
        self.database = database
        self.answer = None
        self.duration = None


def run_load(world, *, rate, seconds, database="orders", text="WRITE x 1", vm="vm1"):
    """Run statements at an even rate, each by a new caller; return their outcomes."""
    return run_mixed_load(world, loads=[(database, text, rate)], seconds=seconds, vm=vm)


def run_mixed_load(world, *, loads, seconds, vm="vm1"):
    """Run statements of several kinds, each by a new caller; return their outcomes.

    Args:
        loads: database, text and rate of each kind.
    """
    outcomes = {}
    for database, text, rate in loads:
        for index in range(int(rate * seconds)):
            world.order += 1
            session = 1000 + world.order
            at = world.now + index / rate

            def arrive(session=session, database=database, text=text):
                world.connect(vm, session, database)
                outcomes[session] = Outcome(sent_at=world.now, database=database)
                world.send_statement(vm, session, text)

            world.at(at, arrive)
    world.advance(seconds + 3)
    for session, outcome in outcomes.items():
        replies = world.replies.get((vm, session), [])
        assert len(replies) == 1, "each statement has one answer"
        at, outcome.answer = replies[0]
        outcome.duration = at - outcome.sent_at
    return list(outcomes.values())


def start(**options):
    """Return a world whose VMs know the primary."""
    world = World(statement_time=STATEMENT_TIME, **options)
    world.advance(2)
    return world


class TestOverload:
    def test_servers_stay_busy_with_statements_that_end_in_time(self):
        """Guards against slots wasted on statements whose callers have timed out.

        Load: twice the primary's capacity for 4 s.
        """
        world = start(slots=2)
        capacity = 2 / STATEMENT_TIME
        outcomes = run_load(world, rate=2 * capacity, seconds=4)
        done = [o for o in outcomes if o.answer.refusal is None]
        assert len(done) >= 0.85 * capacity * 4
        assert all(o.duration <= world.timeout for o in done)

    def test_what_does_not_fit_is_refused_before_its_time_is_up(self):
        """Guards against refusals that callers get only at their timeout.

        Load: three times the primary's capacity for 4 s.
        """
        world = start(slots=2)
        outcomes = run_load(world, rate=3 * 2 / STATEMENT_TIME, seconds=4)
        refused = [o for o in outcomes if o.answer.refusal is not None]
        assert refused
        assert all(o.answer.refusal is Refusal.OVERLOAD for o in refused)
        late = [o for o in refused if o.duration > 0.9 * world.timeout]
        assert len(late) <= 0.1 * len(refused)

    def test_mixed_load_is_refused_at_once(self):
        """Guards against statements that wait in vain behind later arrivals.

        Load: for 6 s 1.6 times the capacity of a primary whose replicas are gone:
        writes with priority, and reads with a short and a long timeout.
        """
        world = start(slots=2)
        world.timeouts = {"views": 2.0}
        world.version += 1
        for vm in world.states:
            event = ConfigurationRead(at=world.now, configuration=world.configure())
            world.dispatch(vm, event)
        for name in ("s2", "s3"):
            world.servers[name].process_down = True
        world.advance(1)
        capacity = 2 / STATEMENT_TIME
        loads = [
            ("orders", "WRITE x 1", 0.3 * capacity),
            ("crew", "READ x", 0.9 * capacity),
            ("views", "READ x", 0.4 * capacity),
        ]
        begin = world.now
        outcomes = run_mixed_load(world, loads=loads, seconds=6)
        done = [o for o in outcomes if o.answer.refusal is None]
        assert len(done) >= 0.85 * capacity * 6
        refused = [o for o in outcomes if o.answer.refusal is not None]
        held = [o for o in refused if o.duration > TARGET / 4]
        later = [o for o in held if o.sent_at > begin + 1]
        assert len(later) <= 0.05 * len(refused)
        assert {o.database for o in done} == {"orders", "crew", "views"}

    def test_refused_writes_did_not_run(self):
        """Guards against "not run" for a write that a server has committed."""
        world = start(slots=2)
        outcomes = run_load(world, rate=3 * 2 / STATEMENT_TIME, seconds=2)
        done = [o for o in outcomes if o.answer.refusal is None]
        doubtful = [o for o in outcomes if o.answer.refusal is Refusal.IN_DOUBT]
        commits = len(world.servers["s1"].commits)
        assert len(done) <= commits <= len(done) + len(doubtful)

    def test_burst_is_followed_by_prompt_answers(self):
        """Guards against a queue that persists after a burst.

        Load: three times the primary's capacity for 2 s, then a third of the capacity.
        """
        world = start(slots=2)
        run_load(world, rate=3 * 2 / STATEMENT_TIME, seconds=2)
        outcomes = run_load(world, rate=2 / STATEMENT_TIME / 3, seconds=1, vm="vm2")
        assert all(o.answer.refusal is None for o in outcomes)
        assert max(o.duration for o in outcomes) < 0.2


class TestSlowServer:
    def test_is_used_again_once_it_has_recovered(self):
        """Guards against an estimate that refuses all statements and never improves.

        Load: a third of the primary's capacity, after it was so slow that no statement
        would end in time.
        """
        world = start(slots=2)
        world.states["vm1"].servers["s1"].service_time = 0.8 * world.timeout
        world.advance(1.5)
        outcomes = run_load(world, rate=2 / STATEMENT_TIME / 3, seconds=2)
        done = [o for o in outcomes if o.answer.refusal is None]
        assert len(done) > 0.95 * len(outcomes)


def count_connections(world, vm, server):
    """Return how many connections a VM has to a server."""
    found = [c for c in world.connections.values() if c.server.name == server]
    return len([c for c in found if c.vm == vm])


class TestConnections:
    def test_those_of_a_burst_are_closed_after_it(self):
        """Guards against connection limits exhausted by a fleet that lost power.

        Load: twice the primary's capacity for 1 s.
        """
        world = start(slots=2)
        run_load(world, rate=2 * 2 / STATEMENT_TIME, seconds=1)
        assert count_connections(world, "vm1", "s1") == 2

    def test_vm_that_starts_opens_few(self):
        """Guards against VMs without connections because others started earlier.

        Load: twice the primary's capacity in the first second.
        """
        world = World(statement_time=STATEMENT_TIME, slots=2)
        world.advance(0.3)
        seen = []
        world.at(world.now + 0.9, lambda: seen.append(count_connections(*near)))
        near = (world, "vm1", "s1")
        run_load(world, rate=2 * 2 / STATEMENT_TIME, seconds=1)
        assert seen == [2]

    def test_those_in_use_stay_open(self):
        """Guards against connections that are reopened all the time.

        Load: half of the primary's capacity for 4 s.
        """
        world = start(slots=2)
        world.at(world.now + 3.9, lambda: seen.append(dict(world.connections)))
        seen = []
        before = set(world.connections)
        run_load(world, rate=2 / STATEMENT_TIME / 2, seconds=4)
        assert len(set(seen[0]) - before) <= 3

    def test_that_of_an_idle_transaction_stays_open(self):
        """Guards against closing the connection of a transaction between statements."""
        world = start(slots=2)
        for session in (1, 2, 3):
            world.connect("vm1", session)
            assert world.execute("vm1", session, "BEGIN").refusal is None
            assert world.execute("vm1", session, "WRITE x 1").refusal is None
        world.advance(2.5)
        for session in (1, 2, 3):
            assert world.execute("vm1", session, "COMMIT").refusal is None


class TestWithoutPrimary:
    def test_writes_wait_for_the_next_one_if_it_comes_in_time(self):
        """Guards against refusals where a short wait would suffice.

        Load: a tenth of the capacity while the primary is replaced.
        """
        world = start(slots=2)
        world.servers["s1"].down = True
        outcomes = run_load(world, rate=10, seconds=4)
        late = [o for o in outcomes if o.sent_at > outcomes[0].sent_at + 1.8]
        assert all(o.answer.refusal is None for o in late)

    def test_unservable_ones_are_refused_at_once(self):
        """Guards against writes that wait though no primary is expected in time.

        Load: a tenth of the capacity, well after the usual time of a failover, without
        a store, which a failover requires.
        """
        world = start(slots=2)
        world.store_down = set(world.states)
        world.servers["s1"].down = True
        world.advance(6)
        outcomes = run_load(world, rate=10, seconds=2)
        refused = [o for o in outcomes if o.answer.refusal is not None]
        assert len(refused) == len(outcomes)
        assert max(o.duration for o in refused) < 0.25 * world.timeout


class TestLaggingReplicas:
    def run_load(self):
        """Return the world and the outcomes of reads that only the primary can run.

        Load: twice its capacity for 3 s while replication to both replicas is paused.
        """
        world = start(slots=2)
        world.connect("vm2", 1)
        for name in ("s2", "s3"):
            world.servers[name].replication_paused = True
        assert world.execute("vm2", 1, "WRITE x 1").refusal is None
        world.advance(2)
        return world, run_load(
            world,
            rate=2 * 2 / STATEMENT_TIME,
            seconds=3,
            database="views",
            text="READ x",
        )

    def test_are_not_asked_again_for_each_read(self):
        """Guards against replicas that refuse thousands of statements per second."""
        world, outcomes = self.run_load()
        refused = [e for e in world.find_logs("retried") if e[3]["reason"] == "lagging"]
        assert len(refused) < 0.25 * len(outcomes)

    def test_reads_beyond_the_primary_are_refused_early(self):
        """Guards against reads that wait for servers that can't run them."""
        world, outcomes = self.run_load()
        done = [o for o in outcomes if o.answer.refusal is None]
        refused = [o for o in outcomes if o.answer.refusal is not None]
        assert len(done) >= 0.85 * 3 * 2 / STATEMENT_TIME
        assert refused
        late = [o for o in refused if o.duration > 0.6 * world.timeout]
        assert len(late) <= 0.1 * len(refused)

    def test_reads_beyond_the_primary_are_refused_at_once(self):
        """Guards against reads held until their time is up that nothing could run.

        A caller that hears at once that its read did not run has time for a retry.
        """
        world, outcomes = self.run_load()
        refused = sorted(o.duration for o in outcomes if o.answer.refusal is not None)
        assert refused
        assert refused[len(refused) // 2] <= 0.1 * world.timeout

    def test_refusals_do_not_count_as_service_time(self):
        """Guards against a lagging replica that looks fast as it refuses quickly."""
        world, _ = self.run_load()
        for name in ("s2", "s3"):
            assert world.states["vm1"].servers[name].service_time >= STATEMENT_TIME


class TestReads:
    def test_spread_over_servers_when_the_near_one_is_full(self):
        """Guards against reads that queue at one server while others are idle.

        Load: twice the capacity of the server in the availability zone, which is the
        capacity of the servers in the region.
        """
        world = start(slots=2)
        outcomes = run_load(
            world,
            rate=2 * 2 / STATEMENT_TIME,
            seconds=3,
            database="views",
            text="READ x",
            vm="vm2",
        )
        assert all(o.answer.refusal is None for o in outcomes)
        assert all(len(world.servers[name].ran) > 100 for name in ("s1", "s2"))


class TestPause:
    """Load: statements are under way, and go on arriving, as their VM is paused."""

    def send(self, world):
        """Send a write, and wait until it runs."""
        world.connect("vm1", 1)
        world.send_statement("vm1", 1, "WRITE x 1")
        world.advance(0.018)
        assert world.states["vm1"].sessions[1].work.state is JobState.RUNNING

    def pause(self, world, seconds):
        """Pause a VM; its timer is due before it reads what has arrived meanwhile."""
        world.paused.add("vm1")
        world.advance(seconds)
        world.paused.discard("vm1")
        world.dispatch("vm1", TimeAdvanced(at=world.now))

    def test_answers_that_arrived_are_delivered(self):
        """Guards against a statement that is given up although its result is there."""
        world = start()
        self.send(world)
        timeout = world.states["vm1"].configuration.routes["orders"].timeout
        self.pause(world, timeout + 0.5)
        world.advance(0.5)
        assert [answer.refusal for _, answer in world.replies["vm1", 1]] == [None]
        assert not world.find_logs("server_lost")
        assert not world.find_logs("server_failing")

    def test_statements_that_follow_are_served(self):
        """Guards against refusals for want of time by a VM that was paused, whose
        servers are idle: the pause counted as their service time."""
        world = start()
        self.send(world)
        self.pause(world, 0.9)
        world.advance(0.06)
        outcomes = run_load(world, rate=50, seconds=1.0)
        refused = [o for o in outcomes if o.answer.refusal is not None]
        assert refused == []
        assert max(outcome.duration for outcome in outcomes) < TARGET

    def test_slow_vm_still_works(self):
        """Guards against a VM that never expires a statement nor stops, as each of its
        events comes late."""
        world = start()
        self.send(world)
        state = world.states["vm1"]
        world.stopped.add("vm1")
        at = world.now
        effects = []
        for _ in range(12):
            at += 0.4
            # Its timer is due just after something else that came late.
            reduce(state, CallerClosed(at=at, session=99))
            effects += reduce(state, TimeAdvanced(at=at + 0.001))
        assert [e for e in effects if isinstance(e, ReplyCaller)]
        effects = reduce(state, ShutdownRequested(at=at))
        for _ in range(40):
            at += 0.4
            effects += reduce(state, TimeAdvanced(at=at))
        assert [e for e in effects if isinstance(e, Stop)]
