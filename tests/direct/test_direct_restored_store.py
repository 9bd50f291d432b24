"""Tests of the direct core: the store is restored from an older copy."""

from .world import World


def start(vms=3, **arguments):
    """Return a world with an era of the store, in which all primaries are known."""
    world = World(vms=vms, **arguments)
    world.era = 1
    world.advance(1)
    return world


class TestServers:
    def test_server_list_of_a_new_era_is_applied(self):
        """Guards against statements to a server that leaves, after a restore."""
        world = start()
        copy = world.copy_store()
        world.revision += 1000
        world.advance(2)
        world.restore_store(copy)
        world.servers["s2"].state = "draining"
        world.advance(1.1)
        for state in world.states.values():
            assert state.servers["s2"].draining_at is not None
