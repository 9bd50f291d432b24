"""Tests of pooled connections: their ends, their accounts and how they are shared."""

import pytest

from siskinhold.direct import Refusal
from siskinhold.direct._connection_life import (
    ConnectionState as State,
    IllegalTransition,
    check_transition,
)

from .world import World


def start(**options) -> World:
    """Return a world whose VMs know the primary."""
    world = World(**options)
    world.advance(2.5)
    return world


def fail_transaction(world, session):
    """Have a caller's transaction fail at the server."""
    world.connect("vm1", session)
    world.execute("vm1", session, "BEGIN")
    assert world.execute("vm1", session, "WRITE x 1").refusal is None
    world.servers["s1"].fails_statements = True
    assert world.execute("vm1", session, "WRITE x 2").refusal is Refusal.FAILED
    world.servers["s1"].fails_statements = False


def list_taken(world, vm):
    """Return the statement connections of a VM that can't be used."""
    found = []
    for connection in world.states[vm].connections.values():
        if not connection.control and not connection.idle:
            found.append(connection)
    return found


class TestFailedTransaction:
    @pytest.mark.parametrize("end", ["ROLLBACK", "COMMIT", "leave", "stay"])
    def test_gives_its_connection_back(self, end):
        """Guards against VMs whose connections all keep failed transactions."""
        world = start()
        for session in range(1, 12):
            fail_transaction(world, session)
            if end == "leave":
                world.disconnect("vm1", session)
            elif end != "stay":
                world.execute("vm1", session, end)
        world.advance(0.1)
        assert list_taken(world, "vm1") == []
        world.connect("vm1", 20)
        assert world.execute("vm1", 20, "WRITE x 3").refusal is None

    def test_closes_its_connection_if_the_rollback_is_refused(self):
        """Guards against a statement that runs in another caller's transaction."""
        world = start()
        world.servers["s1"].refuses_rollbacks = True
        fail_transaction(world, 1)
        world.advance(0.1)
        assert not any(c.wrote for c in world.connections.values())
        (closed,) = world.find_logs("backend_closed")
        assert closed[3]["reason"] == "transaction_uncertain"
        world.connect("vm1", 20)
        assert world.execute("vm1", 20, "WRITE x 3").refusal is None


class TestLife:
    @pytest.mark.parametrize("after", [State.PREPARING, State.IN_USE])
    def test_statement_is_not_sent_before_the_rollback_is_confirmed(self, after):
        """Guards against a statement that the rollback takes with it."""
        with pytest.raises(IllegalTransition):
            check_transition(State.CLEANING, after, control=False)

    @pytest.mark.parametrize("after", State)
    @pytest.mark.parametrize("control", [False, True])
    def test_closed_connection_stays_closed(self, after, control):
        """Guards against the reuse of a connection that has ended."""
        with pytest.raises(IllegalTransition):
            check_transition(State.CLOSED, after, control=control)


class TestShutdown:
    def test_refuses_what_was_never_sent_as_not_run(self):
        """Guards against statements cut off while they wait for a connection."""
        world = World()
        world.timeouts = {"orders": 60.0}
        world.version += 1
        world.advance(2.5)
        for session in range(1, 12):
            world.connect("vm1", session)
            world.execute("vm1", session, "BEGIN")
            world.send_statement("vm1", session, "WRITE x 1")
            world.advance(0.1)
        for session in range(20, 40):
            world.connect("vm1", session)
            world.send_statement("vm1", session, "WRITE x 3")
        world.shut_down("vm1")
        world.advance(7.0)
        assert "vm1" in world.stopped
        for session in range(20, 40):
            refusals = [answer.refusal for _, answer in world.replies["vm1", session]]
            assert refusals == [Refusal.OVERLOAD]
