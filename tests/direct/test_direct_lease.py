"""Tests of the lease: seconds between promotions that different VMs order."""

import pytest

from siskinhold.direct import LeaderState

from .world import ORDER_LEASE, World

MOMENTS = (0.0, 0.2, 0.4, 0.6)
"""Seconds after an event at which the next one is tried."""


WRITE_INTERVAL = 0.05
"""Seconds between two callers at each VM."""


def keep_writing(world, vm, session=1):
    """Have callers of a VM write, which shows it the servers that don't lead."""
    if vm not in world.paused:
        world.connect(vm, session)
        world.send_statement(vm, session, f"WRITE x {session}")
    world.at(world.now + WRITE_INTERVAL, lambda: keep_writing(world, vm, session + 1))


def order_promotion(*, lost=0, **options) -> tuple[World, str, str]:
    """Return a world with a promotion just ordered, its VM and the ordered server.

    Args:
        lost: number of orders whose answers are lost.
    """
    world = World(**options)
    world.order_lost = lost
    world.advance(2.0)
    for vm in world.states:
        keep_writing(world, vm)
    world.crash("s1")
    while not world.orders:
        world.advance(0.005)
    _, holder, promoted, _ = world.orders[0]
    return world, holder, promoted


def await_effect(world, promoted):
    """Advance until a promotion takes effect, and have the old primary join again."""
    while not world.servers[promoted].leads:
        world.advance(0.005)
    world.rejoin("s1")


def await_completion(world):
    """Advance until the record of a promotion is complete."""
    for _ in range(400):
        if world.record.state is LeaderState.STABLE:
            return
        world.advance(0.005)
    raise AssertionError("the record was not completed")


def await_leader(world, vms, name):
    """Advance until some VMs know a primary."""
    for _ in range(400):
        leaders = [world.states[vm].databases["db"].leader for vm in vms]
        if all(leader is not None and leader.server == name for leader in leaders):
            return
        world.advance(0.005)
    raise AssertionError(f"{name} was not found")


def measure_gap(world, holder, wait=9.0) -> float:
    """Return the seconds from a VM's last order to the first one by another VM."""
    until = world.now + wait
    while world.now < until:
        world.advance(0.01)
        for ordered_at, vm, _, _ in world.orders:
            if vm != holder:
                last = max(at for at, name, _, _ in world.orders if name == holder)
                return round(ordered_at - last, 6)
    raise AssertionError("no other VM ordered a promotion")


class TestSecondFailover:
    @pytest.mark.parametrize("moment", MOMENTS)
    def test_promoted_server_that_dies_as_it_takes_effect_is_replaced_by_the_same_vm(
        self, moment
    ):
        """Guards against two VMs that order promotions in turns."""
        world, holder, promoted = order_promotion()
        await_effect(world, promoted)
        world.advance(moment)
        world.crash(promoted)
        world.advance(4)
        assert {vm for _, vm, _, _ in world.orders} == {holder}
        assert len({server for _, _, server, _ in world.orders}) == 2

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_promoted_server_that_leaves_at_once_is_replaced_by_the_same_vm(
        self, moment
    ):
        """Guards against a lease that holds for lost primaries alone."""
        world, holder, promoted = order_promotion()
        await_effect(world, promoted)
        world.advance(moment)
        world.drain(promoted)
        world.advance(4)
        assert {vm for _, vm, _, _ in world.orders} == {holder}
        assert len({server for _, _, server, _ in world.orders}) == 2

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_holder_goes_on_at_once(self, moment):
        """Guards against a lease that delays its own holder."""
        world, holder, promoted = order_promotion()
        await_effect(world, promoted)
        await_completion(world)
        world.advance(moment)
        world.crash(promoted)
        crashed_at = world.now
        world.advance(3)
        assert [vm for _, vm, _, _ in world.orders] == [holder, holder]
        assert world.orders[1][0] - crashed_at < 1.2

    def test_holder_waits_after_an_order_without_an_answer(self):
        """Guards against an order that arrives after the same VM's next one."""
        world, holder, promoted = order_promotion(lost=1)
        await_effect(world, promoted)
        await_completion(world)
        completed_at = world.now
        first = world.orders[0][3]
        world.drain(promoted)
        world.advance(5)
        later = [at for at, _, _, token in world.orders if token > first]
        assert later[0] - completed_at >= ORDER_LEASE - 0.01

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_holder_without_other_vms_goes_on_at_once(self, moment):
        """Guards against a lease that delays a VM which takes no turns."""
        world, holder, promoted = order_promotion()
        world.stopped = set(world.states) - {holder}
        await_effect(world, promoted)
        await_completion(world)
        world.advance(moment)
        world.drain(promoted)
        drained_at = world.now
        world.advance(3)
        assert [vm for _, vm, _, _ in world.orders] == [holder, holder]
        assert world.orders[1][0] - drained_at < 1.2


class TestSecondVm:
    """The holder is killed, so another VM has to order the next promotion."""

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_second_vm_waits_the_lease_out_after_the_holder_is_killed(self, moment):
        """Guards against an order shortly after the record was completed."""
        world, holder, promoted = order_promotion()
        await_effect(world, promoted)
        await_completion(world)
        world.advance(moment)
        world.stop_process(holder)
        world.crash(promoted)
        assert measure_gap(world, holder) >= ORDER_LEASE

    @pytest.mark.parametrize("moment", (0.0, 0.1, 0.2, 0.3))
    def test_second_vm_waits_the_lease_out_after_the_holder_is_killed_before_completion(
        self, moment
    ):
        """Guards against an order while an order of the killed VM takes effect."""
        world, holder, promoted = order_promotion()
        world.advance(moment)
        assert world.record.state is LeaderState.PROMOTING
        world.stop_process(holder)
        await_effect(world, promoted)
        world.crash(promoted)
        assert measure_gap(world, holder) >= ORDER_LEASE

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_second_vm_waits_the_lease_out_when_told_late(self, moment):
        """Guards against a lease that a VM ends early as it didn't see the order.

        For some time, the other VMs don't reach the new primary, and no answer about
        the record reaches them. The primary leaves as soon as they know it.
        """
        world, holder, promoted = order_promotion()
        others = set(world.states) - {holder}
        world.unanswered = others
        world.servers[promoted].unreachable_from = others
        await_effect(world, promoted)
        await_completion(world)
        world.advance(moment)
        world.unanswered = set()
        world.servers[promoted].unreachable_from = set()
        world.stop_process(holder)
        await_leader(world, others, promoted)
        world.drain(promoted)
        assert measure_gap(world, holder) >= ORDER_LEASE

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_second_vm_waits_the_lease_out_when_paused(self, moment):
        """Guards against a lease that misses an order made during a pause."""
        world, holder, promoted = order_promotion()
        world.paused = set(world.states) - {holder}
        await_effect(world, promoted)
        await_completion(world)
        world.drain(promoted)
        world.stop_process(holder)
        world.advance(moment)
        world.paused = set()
        assert measure_gap(world, holder) >= ORDER_LEASE

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_second_vm_waits_the_lease_out_when_cut_off(self, moment):
        """Guards against a lease that a VM without the store doesn't learn of."""
        world, holder, promoted = order_promotion()
        world.store_down = set(world.states) - {holder}
        await_effect(world, promoted)
        await_completion(world)
        world.stop_process(holder)
        world.advance(moment)
        world.store_down = set()
        world.drain(promoted)
        assert measure_gap(world, holder) >= ORDER_LEASE

    @pytest.mark.parametrize("moment", MOMENTS)
    def test_second_vm_waits_the_lease_out_when_restarted(self, moment):
        """Guards against a lease that a VM forgets with its process."""
        world, holder, promoted = order_promotion()
        await_effect(world, promoted)
        await_completion(world)
        world.stop_process(holder)
        others = set(world.states) - {holder}
        for vm in sorted(others):
            world.stop_process(vm)
        world.drain(promoted)
        world.advance(moment)
        for vm in sorted(others):
            world.start_process(vm)
        assert measure_gap(world, holder) >= ORDER_LEASE
