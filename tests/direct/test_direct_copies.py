"""Tests of decisions on a copy of the configuration that may be outdated."""

from siskinhold.direct import (
    AcceptCaller,
    CallerOpened,
    ConfigurationRead,
    CopySource,
    HolderVersionsSeen,
    Refusal,
    RelayTerms,
    TimeAdvanced,
    compute_confirmed_period,
    reduce,
)

from .world import World


class CopiesWorld(World):
    """The simulation with a caller for a route that is added or removed.

    Attributes:
        accepted: VM and session of accepted callers.
    """

    def __init__(self, **options):
        self.accepted = []
        super().__init__(**options)
        self.advance(8)

    def perform(self, vm, effect):
        """Carry out an effect."""
        if isinstance(effect, AcceptCaller):
            self.accepted.append((vm, effect.session))
        else:
            super().perform(vm, effect)

    def call(self, vm, session, database, *, relayed=False, terms=None):
        """Have a caller connect, by a VM that relays it on some terms."""
        opened = CallerOpened(
            at=self.now,
            session=session,
            database=database,
            relayed=relayed or terms is not None,
            terms=terms,
        )
        self.dispatch(vm, opened)

    def lose_store(self, vm):
        """Have a VM lose the store until its copy is no longer current."""
        self.store_down.add(vm)
        self.advance(compute_confirmed_period(self.states[vm]) + 1.0)

    def stand_still(self, vm, seconds):
        """Have a VM stand still, and return when it runs again."""
        self.paused.add(vm)
        self.advance(seconds)
        self.paused.discard(vm)

    def find_refusals(self, session):
        """Return the refusals of a caller."""
        return [refusal for _, number, refusal in self.closed if number == session]


class TestStandstill:
    def test_route_added_during_a_standstill_is_served_to_a_caller_that_waited(self):
        """Guards against NODB for a route that the VM has not heard of yet."""
        world = CopiesWorld()
        world.at(world.now + 0.5, lambda: world.change_routes(added=["later"]))
        world.stand_still("vm1", 6.0)
        world.call("vm1", 1, "later", relayed=True)
        world.advance(1.0)
        assert world.find_refusals(1) == []
        assert world.accepted == [("vm1", 1)]

    def test_unknown_database_is_refused_as_such_after_a_standstill(self):
        """Guards against callers that come back for a route that doesn't exist."""
        world = CopiesWorld()
        world.stand_still("vm1", 6.0)
        world.call("vm1", 1, "never", relayed=True)
        world.advance(1.0)
        assert world.find_refusals(1) == [Refusal.NO_DATABASE]

    def test_statement_that_waited_is_not_run_by_a_removed_route(self):
        """Guards against a session that goes on by a route which was removed."""
        world = CopiesWorld()
        world.change_routes(added=["later"])
        world.advance(0.1)
        world.call("vm1", 1, "later")
        world.at(world.now + 0.5, lambda: world.change_routes(removed=["later"]))
        world.stand_still("vm1", 6.0)
        answer = world.execute("vm1", 1, "WRITE x 1")
        assert answer.refusal is Refusal.NO_DATABASE
        assert not any(server.commits for server in world.servers.values())

    def test_one_check_serves_all_that_waits(self):
        """Guards against a call to the store for each caller."""
        world = CopiesWorld()
        world.stand_still("vm1", 6.0)
        world.checks.clear()
        for session in range(50):
            world.call("vm1", session, "orders", relayed=True)
        world.advance(1.0)
        assert len(world.accepted) == 50
        assert len(world.checks) == 1


class TestWithoutStore:
    def test_route_that_is_missing_is_refused_as_not_run(self):
        """Guards against NODB by a VM that the store turns away."""
        world = CopiesWorld()
        world.store_down = {"vm1"}
        world.change_routes(added=["later"])
        world.advance(5.0)
        world.call("vm1", 1, "later")
        assert world.find_refusals(1) == [Refusal.OVERLOAD]

    def test_known_route_is_served_at_once(self):
        """Guards against an outage of the store that ends the service."""
        world = CopiesWorld()
        world.lose_store("vm1")
        world.call("vm1", 1, "orders")
        assert world.accepted == [("vm1", 1)]

    def test_caller_of_another_vm_is_sent_on_to_a_holder_that_is_current(self):
        """Guards against a removed route that a VM without the store still serves."""
        world = CopiesWorld()
        world.lose_store("vm1")
        world.call("vm1", 1, "orders", terms=RelayTerms(version=1, last=False))
        assert world.find_refusals(1) == [Refusal.BEHIND]
        world.call("vm1", 2, "orders", terms=RelayTerms(version=1, last=True))
        assert world.accepted == [("vm1", 2)]

    def test_checks_are_bounded(self):
        """Guards against a storm of calls while all VMs lack the store.

        Load: a caller of each VM every 20 ms, for 10 s.
        """
        world = CopiesWorld()
        world.store_down = set(world.states)
        world.advance(4.0)
        world.checks.clear()
        for step in range(500):
            for vm in world.states:
                world.call(vm, step, "never")
            world.advance(0.02)
        assert len(world.checks) <= len(world.states) * (10 / 2 + 1)


class TestVersions:
    def test_holder_that_is_behind_its_caller_seeks_the_version(self):
        """Guards against a caller that is served by a newer version, then an older."""
        world = CopiesWorld()
        world.change_routes(added=["later"])
        terms = RelayTerms(version=2, last=False)
        world.call("vm1", 1, "later", terms=terms)
        world.advance(0.1)
        assert world.accepted == [("vm1", 1)]

    def test_holder_that_stays_behind_serves_nothing_by_its_copy(self):
        """Guards against a version that goes back for the callers of one VM."""
        world = CopiesWorld()
        for last in (False, True):
            terms = RelayTerms(version=9, last=last)
            world.call("vm1", int(last), "orders", terms=terms)
            world.advance(0.1)
            assert world.find_refusals(int(last)) == [Refusal.BEHIND]

    def test_own_callers_are_not_served_by_an_older_version_than_was_seen(self):
        """Guards against a VM that relays by a newer version than it serves by."""
        world = CopiesWorld()
        world.dispatch("vm1", HolderVersionsSeen(at=world.now, version=5))
        world.call("vm1", 1, "orders")
        world.advance(0.1)
        assert world.find_refusals(1) == [Refusal.OVERLOAD]

    def test_version_that_a_restored_store_has_lost_is_not_sought_forever(self):
        """Guards against callers that nobody serves after a restore."""
        world = CopiesWorld()
        world.dispatch("vm1", HolderVersionsSeen(at=world.now, version=5))
        world.advance(compute_confirmed_period(world.states["vm1"]) + 0.1)
        world.call("vm1", 1, "orders")
        assert world.accepted == [("vm1", 1)]


class TestFirstCopy:
    def start(self, source):
        """Return the state of a VM that has just read its first configuration."""
        world = CopiesWorld()
        world.stop_process("vm1")
        world.store_down.add("vm1")
        world.start_process("vm1")
        state = world.states["vm1"]
        state.copy.confirmed_at = -1000.0
        configuration = world.configure()
        read = ConfigurationRead(
            at=world.now, configuration=configuration, source=source
        )
        reduce(state, read)
        return world

    def test_stale_read_denies_nothing_for_good(self):
        """Guards against a first copy that counts as the newest configuration."""
        for source in (CopySource.STALE, CopySource.VM):
            world = self.start(source)
            world.call("vm1", 1, "later")
            world.advance(1.0)
            assert world.find_refusals(1) == [Refusal.OVERLOAD]

    def test_holder_is_ready_once_its_first_copy_was_checked(self):
        """Guards against callers that wait for a VM whose copy nothing confirmed."""
        world = self.start(CopySource.STALE)
        state = world.states["vm1"]
        reduce(state, TimeAdvanced(at=world.now))
        assert not state.ready
        world.store_down.clear()
        world.advance(1.5)
        assert state.ready
