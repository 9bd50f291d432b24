"""Tests of the direct core after an unexpected error in a handler."""

import pytest

from siskinhold.direct import (
    BackendAnswered,
    CallerStatement,
    TimeAdvanced,
    _reducer as reducer,
)

from .world import World


def start():
    """Return a world whose VMs know the primary."""
    world = World()
    world.advance(2)
    return world


def fail_next(monkeypatch, event_type):
    """Make the handler of the next event of a type raise."""
    handler = reducer._HANDLERS[event_type]

    def fail(state, event, out):
        monkeypatch.setitem(reducer._HANDLERS, event_type, handler)
        raise KeyError("unexpected")

    monkeypatch.setitem(reducer._HANDLERS, event_type, fail)


class TestUnexpectedError:
    def test_ends_only_the_caller_whose_statement_brought_it_about(self, monkeypatch):
        """Guards against one statement that takes the whole process down."""
        world = start()
        for session in (1, 2):
            world.connect("vm1", session)
        fail_next(monkeypatch, CallerStatement)
        world.send_statement("vm1", 1, "READ x")
        world.advance(0.1)
        assert ("vm1", 1, None) in world.closed
        assert world.execute("vm1", 2, "WRITE x 1").refusal is None
        assert world.find_logs("event_failed")[0][3]["session"] == 1

    def test_in_an_answer_closes_its_connection(self, monkeypatch):
        """Guards against answers that are matched with the wrong statements."""
        world = start()
        world.connect("vm1", 1)
        fail_next(monkeypatch, BackendAnswered)
        world.advance(1.5)
        assert world.find_logs("event_failed")
        for number in range(5):
            answer = world.execute("vm1", 1, f"WRITE x {number}")
            assert answer.refusal is None
        assert len(world.servers["s1"].commits) == 5

    @pytest.mark.parametrize("event_type", [TimeAdvanced])
    def test_in_maintenance_is_only_logged(self, monkeypatch, event_type):
        """Guards against a VM that does no more maintenance after one error."""
        world = start()
        fail_next(monkeypatch, event_type)
        world.advance(1)
        assert world.find_logs("event_failed")
        world.servers["s1"].down = True
        world.advance(6)
        assert world.orders
