"""Tests of the direct core: removal of VMs that have left for good."""

from .world import World


def start(**options) -> World:
    """Return a world whose VMs know each other."""
    world = World(vms=8, **options)
    world.advance(12)
    return world


def list_names(world):
    """Return the names in the list of VMs."""
    return {entry.name for entry in world.entries}


class TestDeparture:
    def test_vm_that_has_left_is_removed(self):
        """Guards against a list that keeps the VMs of all machines ever used.

        They would remain holders, and take their share of the servers' connections.
        """
        world = start()
        world.stopped.add("vm4")
        world.advance(60)
        assert list_names(world) == set(world.states) - {"vm4"}
        assert len(world.removed) == 1
        vm = world.states["vm1"]
        assert "vm4" not in {holder.name for holder in vm.holders}

    def test_several_that_have_left_are_removed(self):
        """Guards against a removal that works for one VM at a time only."""
        world = start()
        gone = {"vm2", "vm4", "vm7"}
        world.stopped |= gone
        world.advance(150)
        assert list_names(world) == set(world.states) - gone

    def test_frozen_vm_is_kept(self):
        """Guards against a VM that loses its role as it was silent for a while."""
        world = start()
        for _ in range(5):
            world.paused.add("vm4")
            world.advance(8)
            world.paused.clear()
            world.advance(4)
        assert world.removed == []

    def test_vm_that_reaches_no_other_one_removes_none(self):
        """Guards against a VM that is cut off and takes the others for gone."""
        world = start()
        world.cut_off = {"vm4"}
        world.advance(10)
        world.cut_off = {"vm1", "vm2", "vm4", "vm5", "vm7", "vm8"}
        world.advance(60)
        assert all(name != "vm4" for _, name, _ in world.removed)

    def test_removed_vm_that_is_alive_registers_again(self):
        """Guards against a VM that is ignored for good after it was cut off."""
        world = start()
        world.cut_off = {"vm4"}
        world.advance(60)
        assert [name for _, _, name in world.removed][:1] == ["vm4"]
        world.cut_off = set()
        world.advance(25)
        assert list_names(world) == set(world.states)
        assert world.find_logs("vm_registered_again")

    def test_vm_in_another_region_is_left_to_its_neighbours(self):
        """Guards against all VMs of a region being removed while the link is down."""
        world = start()
        west = {entry.name for entry in world.entries if entry.zone == "c"}
        world.is_reachable = lambda vm, other: (vm in west) == (other in west)
        world.advance(60)
        assert world.removed == []
