"""Tests of pooled connections: their ends, their accounts and how they are shared."""

import dataclasses

import pytest

from siskinhold.direct import CommandKind, Refusal, SendCommands, needs_servers
from siskinhold.direct._connection_life import (
    ConnectionState as State,
    IllegalTransition,
    check_transition,
)
from siskinhold.direct._holders import needs_connections
from siskinhold.direct._runs import run_statement
from siskinhold.direct._server_state import Server
from siskinhold.direct._state import Job, PendingCaller
from siskinhold.direct.pools import WrongAccount, compute_connection_limit, grow_pool

from .world import World, make_statement


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
        connections = world.states["vm1"].connections.values()
        assert all(connection.idle for connection in connections)
        world.connect("vm1", 20)
        assert world.execute("vm1", 20, "WRITE x 3").refusal is None

    def test_closes_its_connection_if_the_rollback_is_refused(self):
        """Guards against a statement that runs in another caller's transaction."""
        world = start()
        world.servers["s1"].refuses[CommandKind.ROLLBACK] = Refusal.BUSY
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

    def test_statement_of_another_account_closes_the_connection(self):
        """Guards against a statement that runs as another client account."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "WRITE x 1")
        state = world.states["vm1"]
        connection = [c for c in state.connections.values() if not c.control][0]
        session = dataclasses.replace(state.sessions[1], account="other")
        route = state.configuration.routes["orders"]
        job = Job(
            session=session,
            statement=make_statement("r1", "WRITE x 2"),
            route=route,
            arrived_at=state.now,
            since=state.now,
            deadline=state.now + 1.0,
            writes=True,
            leader_only=True,
        )
        out = []
        with pytest.raises(WrongAccount):
            run_statement(state, job, connection, out)
        assert connection.state is State.CLOSED
        assert not any(isinstance(effect, SendCommands) for effect in out)


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


def make_home(*, vm="vm1", started=10.0):
    """Return the state of a VM, one of three homes by default, and a server.

    Each of the three zones has a home and a holder that stands by.

    Args:
        started: seconds since its start.
    """
    world = World(vms=9)
    state = world.states[vm]
    state.started_at, state.now = world.now, world.now + started
    state.configuration = dataclasses.replace(
        world.configure(), connections={"db": 46}, accounts={}
    )
    state.holders = list(state.vms[:6])
    for server in world.servers.values():
        state.servers[server.name] = Server(entry=server.entry())
    return state, state.servers["s1"]


def fill(state, server, counts):
    """Open free connections of accounts, used at rising times."""
    for account, number in counts:
        for _ in range(number):
            assert grow_pool(state, server, [], account)
            for connection in server.connections.values():
                if connection.state is State.OPENING:
                    connection.advance(State.FREE)
                    connection.used_at = state.now
                    state.now += 0.1


def list_accounts(server):
    """Return the accounts of a server's connections in the order of their opening."""
    return [connection.account for connection in server.connections.values()]


class TestSharing:
    def test_large_account_uses_all_room_and_leaves_others_their_connections(self):
        """Guards against a large account that takes the connections of small ones."""
        state, server = make_home()
        fill(state, server, [("small", 1), ("large", 9)])
        assert not grow_pool(state, server, [], "large")
        assert list_accounts(server) == ["small"] + 9 * ["large"]

    def test_small_account_gets_a_connection_of_a_large_one(self):
        """Guards against accounts that wait while others' connections are idle."""
        state, server = make_home()
        fill(state, server, [("large", 10)])
        assert grow_pool(state, server, [], "small")
        assert list_accounts(server) == 9 * ["large"] + ["small"]

    def test_what_is_only_preferred_replaces_nothing(self):
        """Guards against connections that are swapped though another one is free."""
        state, server = make_home()
        fill(state, server, [("large", 10)])
        assert not grow_pool(state, server, [], "small", replace=False)

    def test_few_are_opened_at_once(self):
        """Guards against a server whose slots all open connections after a restart."""
        state, server = make_home()
        opening = [grow_pool(state, server, [], f"account{i}") for i in range(8)]
        assert opening == [True, True] + 6 * [False]

    @pytest.mark.parametrize(
        ("options", "limit"),
        [({}, 10), ({"started": 1.0}, 3), ({"vm": "vm4"}, 2)],
    )
    def test_homes_share_what_the_server_accepts(self, options, limit):
        """Guards against servers over their limit while holders come and go."""
        state, server = make_home(**options)
        assert compute_connection_limit(state, server) == limit

    @pytest.mark.parametrize(("moves", "needed"), [(0, True), (1, False)])
    def test_vm_that_relays_connects_to_no_server_for_a_caller_that_moves(
        self, moves, needed
    ):
        """Guards against all VMs that connect to all servers when a home is lost."""
        state, _ = make_home(vm="vm3")
        state.is_holder, state.connections_limit = False, 70
        caller = PendingCaller(database="db", at=state.now, relayed=False, moves=moves)
        state.pending_callers[1] = caller
        assert needs_servers(state) is needed
        assert not needs_connections(state)
