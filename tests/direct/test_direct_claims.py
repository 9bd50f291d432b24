"""Tests of the direct core: waits before a claim of the leader record."""

from siskinhold.direct import LeaderState
from siskinhold.direct._lease import CLAIM_TIMEOUT

from .world import World


def lose_primary_and_claimant(**options) -> tuple[World, str]:
    """Return a world whose lost primary one VM has claimed to replace, and that VM.

    The VM's process has ended before its order.
    """
    world = World(vms=8, **options)
    world.advance(2.0)
    world.servers["s1"].down = True
    while not world.claims:
        world.advance(0.001)
    vm = next(iter(world.claims.values()))[0]
    world.stop_process(vm)
    return world, vm


class TestDelays:
    def test_wait_for_another_vms_claim_is_logged(self):
        """Guards against a wait that looks like a VM which sees no lost primary."""
        world, vm = lose_primary_and_claimant()
        world.advance(3)
        waits = world.find_logs("promotion_delayed")
        longest = CLAIM_TIMEOUT * 1000
        assert waits and not world.orders
        for _, _, _, fields in waits:
            assert fields["holder"] == vm
            assert fields["record"] == LeaderState.PROMOTING.value
            assert longest - 1000 < fields["for_ms"] <= longest
        assert len(waits) == len({name for _, name, _, _ in waits})

    def test_claim_names_the_holder_before_it(self):
        """Guards against a claim of which no line shows how long it waited."""
        world, vm = lose_primary_and_claimant()
        world.advance(7)
        sent = [entry[3] for entry in world.find_logs("promotion_claim_sent")]
        assert sent[0]["holder"] == ""
        assert sent[-1]["holder"] == vm
        assert sent[-1]["seen_ms"] > 4000
