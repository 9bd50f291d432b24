"""Tests of decisions on a copy of the configuration that may be outdated."""

from siskinhold.direct import AcceptCaller, CallerOpened, Refusal

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

    def call(self, vm, session, database, *, relayed=False):
        """Have a caller connect."""
        opened = CallerOpened(
            at=self.now, session=session, database=database, relayed=relayed
        )
        self.dispatch(vm, opened)

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
