"""Tests of withdrawn keys, where what shows that a key is needed is gone as well."""

import pytest

from siskinhold.direct import Refusal

from .accounts_world import AccountsWorld


@pytest.fixture
def world():
    world = AccountsWorld()
    world.added_databases = {"ledger"}
    world.change()
    world.advance(3)
    return world


def begin(world, *, begin="BEGIN", key="k1"):
    """Open a transaction that has read; return its VM and session."""
    place = world.open_caller("vm1", key, "ledger")
    assert world.execute(*place, "PREPARE s READ q1").refusal is None
    assert world.execute(*place, begin).refusal is None
    assert world.execute(*place, "READ x").refusal is None
    return place


def list_ran(world):
    """Return the requests of callers that servers have run."""
    return [run for server in world.servers.values() for run in server.ran if run[1]]


VERSIONS = {
    "both at once": [{"keys": {"k2": "birch"}, "added_databases": set()}],
    "route first": [{"added_databases": set()}, {"keys": {"k2": "birch"}}],
    "key first": [{"keys": {"k2": "birch"}}, {"added_databases": set()}],
    "route returns with the end of the key": [
        {"added_databases": set()},
        {"added_databases": {"ledger"}, "keys": {}},
    ],
    "route returns without keys": [
        {"added_databases": set()},
        {"added_databases": {"ledger"}, "anonymous": {"ledger"}, "keys": {}},
    ],
    "key moves, route goes": [
        {"keys": {"k1": "birch", "k2": "birch"}, "added_databases": set()}
    ],
    "key moves, route needs none": [
        {"keys": {"k1": "birch", "k2": "birch"}, "anonymous": {"ledger"}}
    ],
}


class TestOpenTransactions:
    @pytest.mark.parametrize("text", ["READ x", "EXECUTE s x", "WRITE x 1", "COMMIT"])
    @pytest.mark.parametrize("idle", [0.0, 0.5], ids=["at once", "idle"])
    @pytest.mark.parametrize("versions", VERSIONS.values(), ids=VERSIONS)
    def test_nothing_runs_without_the_key(self, world, versions, idle, text):
        """Guards against a key that works on as no route says that it is needed."""
        place = begin(world)
        before = len(list_ran(world))
        for number, values in enumerate(versions):
            if number:
                world.advance(0.4)
            world.change(**values)
        world.advance(idle)
        assert world.execute(*place, text).refusal is Refusal.ABORTED
        assert len(list_ran(world)) == before
        world.execute(*place, "ROLLBACK")
        world.advance(1)
        assert (*place, None) in world.closed

    def test_idle_transaction_frees_its_connection(self, world):
        """Guards against a withdrawn key that holds a connection until it is idle for
        long, and against an end that the log does not explain."""
        begin(world)
        world.change(keys={}, added_databases=set())
        world.advance(0.5)
        assert not any(link.open for link in world.connections.values())
        (ended,) = world.find_logs("transaction_ended")
        assert ended[-1]["reason"] == "key_withdrawn"

    def test_key_that_holds_keeps_its_transaction(self, world):
        """Guards against ending transactions because their route is gone."""
        place = begin(world)
        world.change(added_databases=set())
        world.advance(0.5)
        assert world.execute(*place, "WRITE x 1").refusal is None
        assert world.execute(*place, "COMMIT").refusal is None
        refusal = world.execute(*place, "READ x").refusal
        assert refusal is Refusal.NO_DATABASE

    @pytest.mark.parametrize("key", ["", "k2"])
    def test_anonymous_transaction_outlasts_its_route(self, world, key):
        """Guards against a key that is asked for where none was needed."""
        world.change(anonymous={"ledger"})
        place = begin(world, key=key)
        world.change(added_databases=set())
        world.advance(0.5)
        assert world.execute(*place, "READ x").refusal is None
        assert world.execute(*place, "COMMIT").refusal is None

    def test_anonymous_transaction_outlasts_the_store(self, world):
        """Guards against a key that has to be confirmed where none is needed."""
        world.change(anonymous={"ledger"})
        place = begin(world)
        world.store_down = set(world.states)
        for _ in range(6):
            world.advance(1)
            assert world.execute(*place, "READ x").refusal is None


class TestSessions:
    @pytest.mark.parametrize("text", ["READ x", "EXECUTE s x", "BEGIN", "SET a 1"])
    @pytest.mark.parametrize("versions", VERSIONS.values(), ids=VERSIONS)
    def test_session_does_not_take_over_the_next_account(self, world, versions, text):
        """Guards against a session that gets the account to which its key has moved,
        which another VM may serve, while its route is gone."""
        place = world.open_caller("vm1", "k1", "ledger")
        world.execute(*place, "PREPARE s READ q1")
        before = len(list_ran(world))
        for values in versions:
            world.change(**values)
        free = "ledger" in world.anonymous
        answer = world.execute(*place, text)
        assert (answer.refusal is None) == free
        assert free or len(list_ran(world)) == before

    def test_session_without_a_key_ends_once_its_route_needs_one(self, world):
        """Guards against idle sessions of which nothing may run any more."""
        world.change(anonymous={"ledger"})
        place = world.open_caller("vm1", "", "ledger")
        world.change(anonymous=set())
        world.advance(1)
        assert (*place, None) in world.closed


class TestRates:
    def test_unknown_account_has_no_unlimited_rate(self, world):
        """Guards against operations that no limit counts, as their account is gone."""
        world.change(keys={"k1": "acme", "k2": "birch", "k3": "cedar"})
        place = world.open_caller("vm1", "k3", "ledger")
        answer = world.execute(*place, "READ x")
        assert answer.refusal is Refusal.OVERLOAD
        assert not list_ran(world)


class TestForgottenConfiguration:
    def test_missing_configuration_withdraws_no_key(self, world):
        """Guards against a final refusal by a VM that knows no keys any more."""
        vm, session = world.open_caller("vm1", "k1", "ledger")
        state = world.states[vm]
        state.configuration = None
        answer = world.execute(vm, session, "SET a 1")
        assert answer.refusal is Refusal.OVERLOAD
        assert answer.detail == "keys_unconfirmed"
