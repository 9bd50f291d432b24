"""Tests of the direct core: what a graceful shutdown accepts, answers and reports."""

import pytest

from siskinhold.direct import (
    ConfigurationRead,
    Refusal,
    ShutdownRequested,
    TransactionState,
    _reducer,
)

from .world import World

GRACE = 6.0
"""Grace period of the world's VMs in seconds."""

INTAKE_PERIOD = 0.7 * GRACE
"""Seconds from SIGTERM in which callers and transactions are accepted."""


def start(**options) -> World:
    """Return a world whose VMs know the primary."""
    world = World(**options)
    world.advance(2.0)
    return world


def change_timeout(world: World, seconds: float) -> None:
    """Change the time that statements on `orders` may take."""
    world.timeouts = {"orders": seconds}
    world.version += 1
    for vm in world.states:
        event = ConfigurationRead(at=world.now, configuration=world.configure())
        world.dispatch(vm, event)


class ReturningCallers:
    """Callers that connect again after each answer until the VM is gone.

    Args:
        texts: the statements, each on a connection of its own.
        interval: seconds between two callers.
    """

    def __init__(self, *, world, vm, texts, interval=0.05):
        self.world = world
        self.vm = vm
        self.texts = texts
        self.interval = interval
        self.sessions = []
        self.next = 1000

    def connect(self):
        """Connect a caller that sends its statement once it is accepted."""
        if self.vm in self.world.stopped:
            return
        self.next += 1
        session = self.next
        text = self.texts[session % len(self.texts)]
        self.world.connect(self.vm, session)
        if session in self.world.states[self.vm].sessions:
            self.sessions.append(session)
            self.world.send_statement(self.vm, session, text)
        self.world.at(self.world.now + self.interval, self.connect)

    def list_unanswered(self):
        """Return the sessions whose statement was read and not answered."""
        found = []
        for session in self.sessions:
            if not self.world.replies.get((self.vm, session)):
                found.append(session)
        return found


class TestEveryStatementIsAnswered:
    @pytest.mark.parametrize("statement_time", [0.01, 0.3, 0.7, 3.0])
    def test_of_callers_that_connect_until_the_vm_is_gone(self, statement_time):
        """Guards against statements that run at a server when the process ends."""
        world = start(statement_time=0.01, slots=40)
        for server in world.servers.values():
            server.statement_time = statement_time
        change_timeout(world, 8.0)
        callers = ReturningCallers(world=world, vm="vm1", texts=("READ x", "WRITE x 1"))
        callers.connect()
        world.advance(0.5)
        world.shut_down("vm1")
        world.advance(GRACE)
        assert "vm1" in world.stopped
        assert callers.list_unanswered() == []
        assert not world.find_logs("cut")

    def test_while_no_server_answers(self):
        """Guards against statements that wait for a connection until the end."""
        world = start()
        change_timeout(world, 8.0)
        for server in world.servers.values():
            server.lose_answers = 1000
        callers = ReturningCallers(world=world, vm="vm1", texts=("READ x", "WRITE x 1"))
        callers.connect()
        world.advance(0.5)
        world.shut_down("vm1")
        world.advance(GRACE)
        assert "vm1" in world.stopped
        assert callers.list_unanswered() == []

    def test_in_transactions_at_a_slow_server(self):
        """Guards against a transaction whose statement outlasts the grace period."""
        world = start()
        change_timeout(world, 8.0)
        for session, last in ((1, "WRITE x 2"), (2, "COMMIT"), (3, "READ x")):
            world.connect("vm1", session)
            world.execute("vm1", session, "BEGIN", wait=0.1)
            world.execute("vm1", session, "WRITE x 1", wait=0.1)
        world.servers["s1"].statement_time = 9.0
        world.shut_down("vm1")
        for session, last in ((1, "WRITE x 2"), (2, "COMMIT"), (3, "READ x")):
            world.send_statement("vm1", session, last)
        world.advance(GRACE)
        assert "vm1" in world.stopped
        outcomes = []
        for session in (1, 2, 3):
            outcomes.append(world.replies["vm1", session][-1][1].refusal)
        assert outcomes == [Refusal.ABORTED, Refusal.IN_DOUBT, Refusal.ABORTED]


class TestIntake:
    def test_callers_are_refused_late_in_the_grace(self):
        """Guards against callers that are accepted by a VM that is about to end."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.execute("vm1", 1, "BEGIN")
        world.advance(INTAKE_PERIOD - 0.2)
        world.connect("vm1", 2)
        assert 2 in world.states["vm1"].sessions
        world.advance(0.3)
        world.connect("vm1", 3)
        assert ("vm1", 3, Refusal.OVERLOAD) in world.closed

    def test_late_caller_has_time_to_send_its_statement(self):
        """Guards against a caller that is accepted and closed at once."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.execute("vm1", 1, "BEGIN")
        world.advance(INTAKE_PERIOD - 0.2)
        world.connect("vm1", 2)
        world.advance(0.15)
        assert world.execute("vm1", 2, "WRITE x 1").refusal is None

    def test_session_that_sets_a_value_goes_on(self):
        """Guards against a close between a value and the statement that needs it."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.advance(2.5)
        world.connect("vm1", 2)
        assert world.execute("vm1", 2, "SET a 1").refusal is None
        world.advance(0.01)
        assert world.execute("vm1", 2, "READ x").refusal is None
        world.advance(0.01)
        assert ("vm1", 2, None) in world.closed

    def test_transactions_are_refused_late_in_the_grace(self):
        """Guards against a transaction that is begun only to be aborted."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.advance(INTAKE_PERIOD + 0.001)
        answer = world.execute("vm1", 1, "BEGIN")
        assert answer.refusal is Refusal.OVERLOAD
        assert answer.transaction is TransactionState.FAILED
        world.advance(0.1)
        assert ("vm1", 1, None) in world.closed

    def test_statement_behind_a_refused_begin_does_not_run(self):
        """Guards against a single write that its caller sent in a transaction."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.advance(INTAKE_PERIOD + 0.001)
        for text in ("BEGIN", "WRITE x 1", "COMMIT"):
            world.send_statement("vm1", 1, text)
        world.advance(0.1)
        refusals = [answer.refusal for _, answer in world.replies["vm1", 1]]
        assert refusals == [Refusal.OVERLOAD, Refusal.ABORTED, Refusal.ABORTED]
        assert not world.servers["s1"].commits

    def test_pending_callers_are_refused(self):
        """Guards against a caller that waits for the configuration of an ended VM."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.states["vm1"].configuration = None
        world.shut_down("vm1")
        world.advance(INTAKE_PERIOD - 0.5)
        world.connect("vm1", 2)
        world.advance(0.7)
        assert ("vm1", 2, Refusal.OVERLOAD) in world.closed

    def test_statement_that_can_not_end_in_time_is_refused_at_once(self):
        """Guards against a statement that waits for the end of the process."""
        world = start(statement_time=1.5, slots=8)
        change_timeout(world, 8.0)
        for session in range(1, 9):
            world.connect("vm1", session)
            world.send_statement("vm1", session, "WRITE x 1")
        world.connect("vm1", 20)
        world.shut_down("vm1")
        world.advance(3.9)
        answer = world.execute("vm1", 20, "WRITE x 1", wait=0.2)
        assert answer.refusal is Refusal.OVERLOAD
        assert not [run for run in world.servers["s1"].ran if run[1].endswith("20")]


class TestEnd:
    def test_vm_ends_once_no_caller_comes(self):
        """Guards against a VM that stays though the load balancer sends no one."""
        world = start()
        world.connect("vm1", 1)
        world.shut_down("vm1")
        world.advance(1.0)
        world.disconnect("vm1", 1)
        world.advance(1.5)
        assert "vm1" in world.stopped

    def test_shorter_grace_in_a_reload_cuts_nothing_off(self):
        """Guards against a running statement that outlasts the new grace."""
        world = start()
        change_timeout(world, 8.0)
        world.connect("vm1", 1)
        world.servers["s1"].statement_time = 9.0
        world.shut_down("vm1")
        world.send_statement("vm1", 1, "WRITE x 1")
        world.states["vm1"].grace = 3.0
        world.advance(GRACE)
        assert world.replies["vm1", 1][-1][1].refusal is Refusal.IN_DOUBT
        assert not world.find_logs("cut")

    def test_failing_periodic_work_does_not_keep_the_vm(self, monkeypatch):
        """Guards against a VM that has to be killed as one of its duties fails."""
        world = start()
        world.connect("vm1", 1)

        def fail(state, out):
            raise RuntimeError("duty failed")

        monkeypatch.setattr(_reducer, "watch_primaries", fail)
        world.shut_down("vm1")
        world.advance(GRACE)
        assert "vm1" in world.stopped

    def test_grace_counts_from_a_signal_during_the_start(self):
        """Guards against a process that outlasts a grace that began earlier."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        event = ShutdownRequested(at=world.now, requested_at=world.now - 1.5)
        world.dispatch("vm1", event)
        world.advance(GRACE - 1.5)
        assert "vm1" in world.stopped


class TestReport:
    def test_counts_what_was_answered(self):
        """Guards against a shutdown that doesn't tell what its callers got."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "READ x")
        world.shut_down("vm1")
        world.connect("vm1", 2)
        world.execute("vm1", 2, "WRITE x 1")
        world.execute("vm1", 2, "COMMIT")
        world.advance(GRACE)
        ((_, _, _, fields),) = world.find_logs("shutdown_complete")
        assert fields["callers_accepted"] == 1
        assert fields["done"] == 1
        assert fields["failed"] == 1
        assert fields["cut"] == 0
