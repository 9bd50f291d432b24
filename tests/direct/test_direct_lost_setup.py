"""Tests of connections whose setup or release is refused or not answered."""

import math
from dataclasses import replace

import pytest

from siskinhold.direct import BackendLost, CommandKind, LossReason, Refusal
from siskinhold.direct._server_session import MAX_KEPT_BYTES, MAX_STATEMENTS

from .test_direct_kept_state import execute_shapes, list_kept
from .test_direct_sessions import start

OVERDUE = 5.0
"""Seconds after which nobody should await an answer any more: five statement times."""

LONG = "x" * 2 * MAX_KEPT_BYTES


def change_answers(server, change):
    """Have a server's answers go through a function before they are sent."""
    run = server.run

    def act(connection, command, now):
        return change(connection, command, *run(connection, command, now))

    server.run = act


def freeze(world, kinds, *, times=math.inf):
    """Have statement connections of `vm1` freeze at commands of some kinds."""
    left = [times]

    def change(connection, command, end, answer):
        recorded = world.states[connection.vm].connections.get(connection.number)
        if command.kind not in kinds or recorded is None or recorded.control:
            return end, answer
        if left[0] <= 0:
            return end, answer
        left[0] -= 1
        return math.inf, answer

    for server in world.servers.values():
        change_answers(server, change)


def list_overdue(world):
    """Return connections that await an answer for long, with their states."""
    state = world.states["vm1"]
    return [
        (c.number, c.state.value, c.pending[0].purpose.value)
        for c in state.connections.values()
        if c.pending and state.now - c.pending[0].sent_at > OVERDUE
    ]


class TestLostAnswers:
    @pytest.mark.parametrize(
        ("kind", "texts"),
        [
            (CommandKind.DEALLOCATE, [f"PREPARE s READ {LONG}", "EXECUTE s k"]),
            (CommandKind.RESET, [f"SET v {LONG}", "READ x"]),
            (CommandKind.ROLLBACK, ["BEGIN", "READ x", "ROLLBACK"]),
        ],
        ids=["deallocate", "reset", "rollback"],
    )
    def test_cleaning_without_an_answer_ends(self, kind, texts):
        """Guards against a connection that is cleaned for ever."""
        world = start()
        freeze(world, {kind}, times=1)
        world.connect("vm1", 1)
        for text in texts:
            assert world.execute("vm1", 1, text).refusal is None
        world.advance(30.0)
        assert list_overdue(world) == []

    @pytest.mark.parametrize("kind", [CommandKind.PREPARE, CommandKind.SET])
    def test_setup_without_an_answer_ends_when_the_caller_left(self, kind):
        """Guards against a connection whose statement nobody awaits."""
        world = start()
        freeze(world, {kind}, times=1)
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v 1")
        world.execute("vm1", 1, "PREPARE s READ q")
        world.send_statement("vm1", 1, "EXECUTE s k")
        world.advance(0.1)
        world.disconnect("vm1", 1)
        world.advance(30.0)
        assert list_overdue(world) == []

    def test_pool_outlasts_lost_answers_to_releases(self):
        """Guards against callers without connections after answers were lost."""
        world = start()
        freeze(world, {CommandKind.DEALLOCATE}, times=40)
        for session in range(1, 61):
            world.connect("vm1", session)
            world.execute("vm1", session, f"PREPARE s READ {LONG}")
            world.execute("vm1", session, "EXECUTE s k")
            world.disconnect("vm1", session)
        world.advance(20.0)
        world.connect("vm1", 100)
        answers = [world.execute("vm1", 100, "WRITE x 1") for _ in range(5)]
        assert [a.refusal for a in answers] == [None] * 5, list_overdue(world)


class TestRefusedSetup:
    def test_refused_position_query_keeps_the_recorded_values(self):
        """Guards against a record that is cleared though the server refused it."""
        world = start()
        state = world.states["vm1"]
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v 1")
        for server in state.servers.values():
            server.overloaded_until = world.now + 10
            for connection in list(server.connections.values()):
                assert connection.control
        assert world.execute("vm1", 1, "WRITE x 1").refusal is None
        for server in world.servers.values():
            server.refuses[CommandKind.RESET] = Refusal.BUSY
        world.advance(3.0)
        wrong = []
        for connection, kept in list_kept(world):
            if connection.values != kept.values:
                wrong.append((connection.number, connection.values, kept.values))
        assert not wrong

    def test_values_that_are_refused_leave_the_primary_to_others(self):
        """Guards against a caller whose values make a server count as failing."""
        world = start()
        server = world.servers["s1"]

        def change(connection, command, end, answer):
            if command.kind is CommandKind.SET and command.name == "bad":
                connection.values.pop("bad", None)
                answer = replace(answer, refusal=Refusal.MALFORMED)
            return end, answer

        change_answers(server, change)
        for session in range(1, 5):
            world.connect("vm1", session)
            world.execute("vm1", session, "SET bad 1")
        world.connect("vm1", 9)
        outcomes = []
        for round_ in range(20):
            for session in range(1, 5):
                world.send_statement("vm1", session, f"READ x{round_}")
            world.advance(0.05)
            answer = world.execute("vm1", 9, "WRITE x 1")
            outcomes.append(answer and answer.refusal)
            world.advance(0.3)
        assert not world.find_logs("server_failing")
        assert outcomes == [None] * 20
        assert not world.orders

    def test_unknown_statement_to_deallocate_leaves_a_write_certain(self):
        """Guards against a write in doubt as an unused statement was unknown."""
        world = start()
        world.connect("vm1", 1)
        execute_shapes(world, [f"q{n}" for n in range(MAX_STATEMENTS)])
        for connection, _ in list_kept(world):
            connection.prepared.clear()
        world.execute("vm1", 1, "PREPARE w WRITE new")
        assert world.execute("vm1", 1, "EXECUTE w k v").refusal is None


class TestUnknownStatements:
    def test_unknown_statement_of_a_caller_who_left_is_recorded(self):
        """Guards against a transaction that fails as an earlier answer was ignored."""
        world = start()
        world.connect("vm1", 1)
        execute_shapes(world, ["q1"])
        for connection, _ in list_kept(world):
            connection.prepared.clear()
        world.send_statement("vm1", 1, "EXECUTE s k")
        world.disconnect("vm1", 1)
        world.advance(0.5)
        for connection, kept in list_kept(world):
            assert len(connection.prepared) == kept.statement_count

    def test_server_without_statements_gets_few_commands(self):
        """Guards against a statement that is repeated without a pause."""
        world = start()
        world.connect("vm1", 1)
        counts = dict.fromkeys(CommandKind, 0)

        def change(connection, command, end, answer):
            counts[command.kind] += 1
            if command.kind is CommandKind.EXECUTE:
                answer = replace(answer, refusal=Refusal.NO_STATEMENT)
            return end, answer

        for server in world.servers.values():
            change_answers(server, change)
        world.execute("vm1", 1, "PREPARE s READ q1")
        world.execute("vm1", 1, "EXECUTE s k")
        assert counts[CommandKind.EXECUTE] <= 20, counts


class TestLimits:
    def test_free_connections_share_the_limit_when_more_are_opened(self):
        """Guards against connections that keep the share of an earlier moment."""
        world = start(statement_time=0.2)
        state = world.states["vm1"]
        state.kept_limit = 16 * 1024
        peak = 0
        world.connect("vm1", 1)
        execute_shapes(world, [f"a{n}".ljust(300, "x") for n in range(30)])
        for session in range(2, 12):
            world.connect("vm1", session)
            for n in range(30):
                text = f"PREPARE s{n} READ " + f"b{session}-{n}".ljust(300, "x")
                world.execute("vm1", session, text)
        for n in range(30):
            for session in range(2, 12):
                world.send_statement("vm1", session, f"EXECUTE s{n} k")
            for _ in range(10):
                world.advance(0.1)
                free = [c for c in state.connections.values() if c.idle]
                peak = max(peak, sum(c.kept.size for c in free))
        assert peak <= state.kept_limit

    def test_values_are_sent_once_for_many_statements(self):
        """Guards against values that are sent anew with each statement."""
        world = start()
        sent = [0]

        def change(connection, command, end, answer):
            if command.kind is CommandKind.SET:
                sent[0] += len(command.value)
            return end, answer

        for server in world.servers.values():
            change_answers(server, change)
        world.connect("vm1", 1)
        value = "x" * (1 << 19)
        for name in "ab":
            assert world.execute("vm1", 1, f"SET {name} {value}").refusal is None
        for _ in range(50):
            assert world.execute("vm1", 1, "READ x").refusal is None
        assert sent[0] <= 10 * 2 * len(value), f"{sent[0] >> 20} MiB for 50 reads"

    @pytest.mark.parametrize("database", ["orders", "views"])
    def test_read_that_breaks_connections_leaves_servers_to_others(self, database):
        """Guards against one caller's read that makes servers count as failing."""
        world = start()
        send = world.send
        broken_off = []

        def send_other(vm, number, command):
            if command.text != "READ bad":
                send(vm, number, command)
                return
            del world.connections[vm, number]
            broken_off.append(number)
            lost = BackendLost(at=0, connection=number, reason=LossReason.CLOSED)
            world.deliver(vm, world.now + 0.002, lost)

        world.send = send_other
        world.connect("vm1", 1, database)
        world.connect("vm1", 2)
        world.send_statement("vm1", 1, "READ bad")
        world.advance(0.7)
        assert world.execute("vm1", 2, "WRITE x 1").refusal is None
        assert not world.find_logs("server_failing")
        assert len(broken_off) <= 4


class TestControlConnections:
    def test_lost_answer_is_not_replaced_by_that_of_another_command(self):
        """Guards against a success that the server gave to a command of the proxy."""
        world = start()
        world.connect("vm1", 1, "views")
        state = world.states["vm1"]
        for server in state.servers.values():
            server.overloaded_until = world.now + 10
        for server in world.servers.values():
            server.lose_answers = 1
        request = world.send_statement("vm1", 1, "READ x")
        world.advance(0.01)
        for server in world.servers.values():
            server.lose_answers = 0
        state.databases["db"].leader = None
        world.advance(1.0)
        _, answer = world.replies["vm1", 1][-1]
        if answer.refusal is None:
            assert answer.signature.endswith(f":{request}")
