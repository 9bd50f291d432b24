"""Tests of what servers keep for connections: values and prepared statements."""

import pytest
from hypothesis import given, strategies

from siskinhold.direct import CommandKind, Refusal
from siskinhold.direct._server_session import (
    MAX_KEPT_BYTES,
    MAX_STATEMENTS,
    ServerSession,
)

from .test_direct_sessions import start

SHAPES = strategies.text(alphabet="ab \t\r\n", min_size=1, max_size=6)


def execute_shapes(world, shapes, *, session=1, vm="vm1"):
    """Prepare and execute shapes under one name; return the last answer."""
    for shape in shapes:
        world.execute(vm, session, f"PREPARE s READ {shape}")
        answer = world.execute(vm, session, "EXECUTE s k")
        assert answer.refusal is None
    return answer


def list_kept(world):
    """Return what servers keep: at them and as recorded, by connection."""
    found = []
    for (vm, number), connection in world.connections.items():
        recorded = world.states[vm].connections.get(number)
        if recorded is not None and connection.open is not None:
            found.append((connection, recorded.kept))
    return found


class TestNames:
    @given(strategies.lists(strategies.tuples(strategies.booleans(), SHAPES)))
    def test_name_stands_for_one_statement_of_a_connection(self, statements):
        """Guards against a text that makes one statement run under another's name."""
        session = ServerSession()
        known = {}
        for index, statement in enumerate(statements):
            if index % 7 == 6:
                session.clear()
            name = session.find_statement(*statement)
            if name is None:
                name = session.add_statement(*statement)
                assert name not in known
                known[name] = statement
            assert known[name] == statement
            assert name.isalnum() and len(name) < 16

    @given(strategies.lists(SHAPES, max_size=20), strategies.integers(0, 10))
    def test_size_is_that_of_what_is_kept(self, shapes, count):
        """Guards against bytes that are counted twice, or after they were released."""
        session = ServerSession()
        for shape in shapes:
            if session.find_statement(False, shape) is None:
                session.add_statement(False, shape)
            session.set_value(shape[0], shape)
        removed = session.remove_excess(count=count, size=MAX_KEPT_BYTES)
        assert session.statement_count == min(count, len(set(shapes)))
        assert len(removed) == len(set(shapes)) - session.statement_count
        session.remove_excess(count=0, size=0)
        fresh = ServerSession()
        for name, value in session.values.items():
            fresh.set_value(name, value)
        assert session.size == fresh.size == fresh.values_size


class TestBounds:
    def test_statements_of_a_connection_are_bounded_in_number(self):
        """Guards against servers that keep each statement of callers who are gone."""
        world = start()
        world.connect("vm1", 1)
        execute_shapes(world, [f"q{n}" for n in range(3 * MAX_STATEMENTS)])
        for connection, kept in list_kept(world):
            assert len(connection.prepared) == kept.statement_count <= MAX_STATEMENTS

    @pytest.mark.parametrize("letter", ["x", "é", "€"])
    def test_long_statement_is_released_after_its_run(self, letter):
        """Guards against long shapes that free connections keep."""
        world = start()
        world.connect("vm1", 1)
        execute_shapes(world, ["q1", letter * (MAX_KEPT_BYTES * 3 // 4)])
        execute_shapes(world, ["x" * 2 * MAX_KEPT_BYTES])
        world.advance(0.1)
        for connection, kept in list_kept(world):
            assert kept.size <= MAX_KEPT_BYTES
            shapes = "".join(connection.prepared.values())
            assert len(shapes.encode()) <= MAX_KEPT_BYTES
        assert any(connection.prepared for connection, _ in list_kept(world))

    def test_long_values_of_a_caller_who_left_are_released(self):
        """Guards against session values that outlive their session."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v " + "x" * 2 * MAX_KEPT_BYTES)
        assert world.execute("vm1", 1, "READ x").refusal is None
        world.disconnect("vm1", 1)
        world.advance(1.2)
        for connection, kept in list_kept(world):
            assert not connection.values and not kept.values

    def test_values_and_statements_of_an_unused_connection_share_the_limit(self):
        """Guards against a connection that keeps the limit of each."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v " + "x" * (MAX_KEPT_BYTES * 3 // 4))
        execute_shapes(world, ["q" * (MAX_KEPT_BYTES * 3 // 4)])
        world.advance(1.2)
        for connection, kept in list_kept(world):
            texts = [*connection.values.values(), *connection.prepared.values()]
            assert sum(map(len, texts)) <= kept.size <= MAX_KEPT_BYTES

    def test_all_connections_share_the_limit_of_the_process(self):
        """Guards against many connections that each keep what one may."""
        world = start()
        state = world.states["vm1"]
        state.kept_limit = 4096
        world.connect("vm1", 1)
        execute_shapes(world, [f"q{n}".ljust(500, "x") for n in range(30)])
        world.advance(0.1)
        assert sum(c.kept.size for c in state.connections.values()) <= 4096


class TestFailures:
    def test_unknown_statement_is_prepared_again(self):
        """Guards against a record of a statement that the server doesn't have."""
        world = start()
        world.connect("vm1", 1)
        execute_shapes(world, ["q1"])
        for connection, _ in list_kept(world):
            connection.prepared.clear()
        assert world.execute("vm1", 1, "EXECUTE s k").refusal is None
        world.advance(0.1)
        for connection, kept in list_kept(world):
            assert len(connection.prepared) == kept.statement_count

    def test_refused_release_closes_the_connection(self):
        """Guards against a connection whose server keeps more than is recorded."""
        world = start()
        world.connect("vm1", 1)
        world.servers["s1"].refuses[CommandKind.DEALLOCATE] = Refusal.BUSY
        shape = "x" * 2 * MAX_KEPT_BYTES
        answer = execute_shapes(world, ["q1", shape])
        assert answer.refusal is None
        world.advance(0.1)
        assert not any(shape in c.prepared.values() for c, _ in list_kept(world))
        assert world.find_logs("backend_closed")

    @pytest.mark.parametrize("refusal", [Refusal.BUSY, Refusal.FAILED])
    def test_refused_preparation_ends_in_its_own_execution(self, refusal):
        """Guards against a shape that costs connections, or the primary its place."""
        world = start()
        world.connect("vm1", 1)
        server = world.servers["s1"]
        server.refuses[CommandKind.PREPARE] = refusal
        world.execute("vm1", 1, "PREPARE s WRITE q1")
        answer = world.execute("vm1", 1, "EXECUTE s k")
        assert answer.refusal in (refusal, Refusal.OVERLOAD)
        assert not world.find_logs("backend_closed")
        assert not world.find_logs("server_failing")
        assert not server.ran
        server.refuses.clear()
        world.advance(0.1)
        assert world.execute("vm1", 1, "EXECUTE s k").refusal is None

    @pytest.mark.parametrize("kind", [CommandKind.SET, CommandKind.RESET])
    @pytest.mark.parametrize("text", ["WRITE x 1", "READ x", "BEGIN"])
    def test_statement_does_not_run_with_refused_session_values(self, kind, text):
        """Guards against a statement that runs with another caller's values."""
        world = start()
        server = world.servers["s1"]
        for session, value in ((1, "a"), (2, "b")):
            world.connect("vm1", session)
            world.execute("vm1", session, f"SET v{session} {value}")
        assert world.execute("vm1", 1, "WRITE x 0").refusal is None
        ran = len(server.ran)
        server.refuses[kind] = Refusal.BUSY
        world.send_statement("vm1", 2, text)
        world.advance(0.3)
        if text == "BEGIN":
            world.send_statement("vm1", 2, "WRITE x 1")
            world.advance(0.3)
        server.refuses.clear()
        world.advance(1.0)
        assert all(values == {"v2": "b"} for values in server.ran_values[ran:])
        for connection, kept in list_kept(world):
            assert connection.values == kept.values

    def test_statement_that_awaits_session_values_was_not_run(self):
        """Guards against an outcome in doubt of a write that was never sent."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v a")
        world.servers["s1"].hangs_at.add(CommandKind.SET)
        world.send_statement("vm1", 1, "WRITE x 1")
        world.advance(3)
        _, answer = world.replies["vm1", 1][-1]
        assert answer.refusal is Refusal.OVERLOAD
        assert not world.servers["s1"].commits
