"""Tests of the limits on accounts' operations, in any window of several VMs."""

import pytest

from siskinhold.direct import AccountBounds, Refusal
from siskinhold.direct.accounts import rank_homes

from .accounts_world import BOUNDS, AccountsWorld

BURST = 3
"""Seconds in which an account's rate makes up its burst."""


def make_world(rate):
    """Return a world whose account has been at rest, so it may run a whole burst."""
    world = AccountsWorld(rate=rate, burst=BURST * rate)
    world.advance(3)
    world.execute(*world.open_caller("vm1", "k1"), "READ x")
    world.advance(3)
    return world


def find_order(world):
    """Return the names of the VMs in the order in which they serve the account."""
    return [vm.name for vm in rank_homes(world.states["vm1"], "acme")]


def compute_limit(rate):
    """Return the operations that may run in a window."""
    total = rate * (BOUNDS.window + BURST)
    return total * (1 + BOUNDS.excess) + BOUNDS.slack


def lose_and_return(world, first, second):
    world.press(1)
    world.stop_process(first)
    world.press(1.5)
    world.start_process(first)


def pause(world, first, second):
    world.press(0.5)
    world.paused = {first}
    world.press(3)
    world.paused = set()


def restart_all(world, first, second):
    world.press(0.3)
    for vm in list(world.states):
        world.stop_process(vm)
    for vm in list(world.states):
        world.start_process(vm)


def take_turns(world, first, second):
    for _ in range(5):
        world.store_down = {first}
        world.states[first].copy.confirmed_at = 0.0
        world.press(0.6)
        world.store_down = set()
        world.press(0.6)


def rest_and_return(world, first, second):
    world.store_down = {first}
    world.states[first].copy.confirmed_at = 0.0
    world.advance(0.5)
    world.press(0.1)
    world.advance(3)
    world.press(0.4)
    world.store_down = set()


def cut_pair(world, first, second):
    world.unheard = {(first, second), (second, first)}


def cut_off(world, first, second):
    mute(world, first, second)
    deafen(world, first, second)


def mute(world, first, second):
    world.unheard |= {(first, vm) for vm in world.states}


def deafen(world, first, second):
    world.unheard |= {(vm, first) for vm in world.states}


def cut_all(world, first, second):
    world.unheard = {(a, b) for a in world.states for b in world.states}


FAULTS = [
    lose_and_return,
    pause,
    restart_all,
    take_turns,
    rest_and_return,
    cut_pair,
    cut_off,
    mute,
    deafen,
    cut_all,
]


class TestWindows:
    @pytest.mark.parametrize("rate", [15, 40])
    @pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
    def test_limit_holds_through_a_fault(self, fault, rate):
        """Guards against two VMs that both admit what the account may run, or a new
        home that admits it again. The load: callers at all VMs send without a pause."""
        world = make_world(rate)
        fault(world, *find_order(world)[:2])
        for _ in range(4):
            # Callers connect again, to the home that their VM knows now.
            world.press(1.5)
        assert world.count_most() <= compute_limit(rate)
        # Without a home there would be nothing to limit.
        assert world.count_most(since=world.now - 3) > 0

    def test_demand_within_the_limit_is_served(self):
        """Guards against refusing what an account may run."""
        world = make_world(40)
        place = world.open_caller("vm3", "k1")
        for _ in range(60):
            assert world.execute(*place, "READ x").refusal is None
            world.advance(0.02)

    def test_whole_limit_is_used(self):
        """Guards against an account that gets only a part while all VMs run."""
        world = make_world(15)
        world.press(10)
        assert world.count_most(since=world.now - 6) >= 0.95 * 15 * BOUNDS.window

    def test_limit_is_used_again_after_a_loss(self):
        """Guards against a new home that goes on with a part of the rate."""
        world = make_world(15)
        world.stop_process(find_order(world)[0])
        world.press(8)
        assert world.count_most(since=world.now - 6) >= 0.95 * 15 * BOUNDS.window

    def test_lower_limit_binds_one_window_later(self):
        """Guards against operations that were saved up under the higher limit."""
        world = make_world(40)
        world.change(rate=4, burst=4 * BURST)
        changed_at = world.now
        world.press(2 * BOUNDS.window)
        assert world.count_most(since=changed_at) <= compute_limit(4)


class TestLimits:
    def test_refusal_names_the_time_of_a_retry(self):
        """Guards against callers that come back too early, or never."""
        world = make_world(2)
        place = world.open_caller("vm1", "k1")
        answers = [world.execute(*place, "READ x") for _ in range(8)]
        refused = answers[-1]
        assert refused.refusal is Refusal.OVERLOAD
        reason, wait = refused.detail.split(" retry_after_ms=")
        assert reason == "rate_exceeded"
        world.advance(int(wait) / 1000 + 0.01)
        assert world.execute(*place, "READ x").refusal is None

    def test_rate_of_zero_admits_nothing(self):
        """Guards against a division by zero, and a limit that counts as none."""
        world = AccountsWorld(rate=0)
        world.advance(3)
        place = world.open_caller("vm1", "k1")
        answer = world.execute(*place, "READ x")
        assert answer.detail == "rate_exceeded retry_after_ms=60000"
        assert world.execute(*place, "BEGIN").refusal is Refusal.OVERLOAD

    def test_limit_without_tolerance_admits_the_first_operation(self):
        """Guards against a refusal of each account's first operation at a new home."""
        world = AccountsWorld(rate=2)
        world.advance(3)
        for state in world.states.values():
            state.accounts.bounds = AccountBounds()
        place = world.open_caller("vm1", "k1")
        assert world.execute(*place, "READ x").refusal is None
        assert world.execute(*place, "READ x").detail.startswith("rate_exceeded")

    def test_transaction_counts_once(self):
        """Guards against a transaction that is cut in half by the limit."""
        world = AccountsWorld(rate=1)
        world.advance(3)
        place = world.open_caller("vm1", "k1", "orders")
        for text in ("BEGIN", "WRITE a 1", "WRITE b 1", "READ a", "COMMIT"):
            assert world.execute(*place, text).refusal is None
        assert world.execute(*place, "READ x").refusal is Refusal.OVERLOAD

    @pytest.mark.parametrize("anonymous", [False, True])
    def test_no_limit(self, anonymous):
        """Guards against limits on an account without one, or on an open route."""
        world = AccountsWorld(rate=1 if anonymous else None)
        world.anonymous = {"views"} if anonymous else set()
        world.version += 1
        world.advance(3)
        place = world.open_caller("vm1", "k1")
        for _ in range(50):
            assert world.execute(*place, "READ x").refusal is None

    def test_log_names_the_account_and_the_version(self):
        """Guards against refusals whose limit nobody can find."""
        world = make_world(5)
        world.press(2)
        fields = world.find_logs("account_limited")[-1][3]
        assert (fields["account"], fields["rate"], fields["version"]) == ("acme", 5, 1)
        assert fields["refused"] > 0
