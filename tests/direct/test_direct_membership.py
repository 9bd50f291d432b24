"""Tests of the direct core: proofs while the list of servers changes."""

import pytest

from .test_direct_failover import start
from .world import FakeServer

OFFSETS = (0.2, 0.8)
"""Times of a change after a list of servers was read, in seconds."""


class Replacement:
    """A primary, s1, that all VMs but vm3 lose, and a caller of vm3 that writes.

    Args:
        candidate: the replica that is ahead of the others.
        offset: when s1 is lost, in seconds after a list of servers was read.
    """

    def __init__(self, *, world, candidate, offset):
        self.world = world
        self.candidate = world.servers[candidate]
        self.others = set(world.states) - {"vm3"}
        world.connect("vm3", 1)
        world.advance(offset)
        for server in world.servers.values():
            if server.name not in ("s1", candidate):
                server.replication_paused = True
        assert self.write().refusal is None
        world.advance(0.05)

    def write(self):
        """Have the caller write; return the answer."""
        return self.world.execute("vm3", 1, "WRITE x 1", wait=0.6)

    def lose_primary(self):
        """Have the others lose s1, and return once a promotion is claimed."""
        self.world.servers["s1"].unreachable_from = self.others
        for _ in range(1000):
            if self.world.find_logs("promotion_claimed"):
                return
            self.world.advance(0.005)
        raise AssertionError("no promotion was claimed")

    def list_for_others(self):
        """Send the others the list of servers."""
        for vm in sorted(self.others):
            self.world.list_servers(vm)

    def check_writes(self, seconds):
        """Fail if a write that s1 commits after a promotion is acknowledged."""
        world = self.world
        old = world.servers["s1"]
        until = world.now + seconds
        while world.now < until:
            newest = max(s.term for s in world.servers.values())
            before = len(old.commits)
            answer = self.write()
            if answer is not None and answer.refusal is None:
                terms = {term for _, term, _ in old.commits[before:]}
                late = any(term < newest for term in terms)
                assert not late, f"{world.now:.2f}: acknowledged at s1"
            world.advance(0.02)


class TestResumption:
    def test_replica_that_has_not_learned_of_the_term_attests_nothing(self):
        """Guards against an attestation by a replica that a promotion has released.

        vm3 reaches the old primary and that replica alone.
        """
        world = start(vms=8)
        world.follow = lambda replica, primary: None
        case = Replacement(world=world, candidate="s2", offset=0.2)
        world.store_down = {"vm3"}
        world.servers["s2"].unreachable_from = {"vm3"}
        case.lose_primary()
        case.check_writes(8)
        assert world.orders and world.servers["s3"].term == 1
        assert world.servers["s3"].suspended_term == 0


class TestReleasedReplica:
    """A promotion ends the suspension of replicas that learn of its term later."""

    @pytest.mark.parametrize("idle", [0.0, 0.5])
    @pytest.mark.parametrize("store", ["reached", "lost"])
    def test_does_not_attest_that_the_old_primary_leads(self, idle, store):
        """Guards against acknowledged writes at an old primary after a promotion.

        vm3 reaches all servers, and goes on to write or pauses until the order.
        """
        world = start(vms=8)
        world.follow = lambda replica, primary: None
        case = Replacement(world=world, candidate="s2", offset=0.2)
        if store == "lost":
            world.store_down = {"vm3"}
        case.lose_primary()
        world.advance(idle)
        case.check_writes(4)
        assert world.orders
        assert world.servers["s3"].term == 1
        assert world.servers["s3"].suspended_term == 0


class TestPromotedServer:
    @pytest.mark.parametrize("offset", OFFSETS)
    @pytest.mark.parametrize("cut_off", [False, True])
    def test_that_is_listed_again_is_counted_by_all_vms(self, offset, cut_off):
        """Guards against acknowledged writes at a primary that was replaced.

        The new one was missing from the list for long, so vm3 leaves it out.
        """
        world = start(vms=8)
        world.servers["s2"].listed = False
        world.advance(20)
        case = Replacement(world=world, candidate="s2", offset=offset)
        case.lose_primary()
        world.servers["s2"].listed = True
        case.list_for_others()
        if cut_off:
            world.store_down = {"vm3"}
        case.check_writes(14)
        assert world.orders

    @pytest.mark.parametrize("offset", OFFSETS)
    @pytest.mark.parametrize("reads", ["fresh", "none"])
    def test_that_is_new_is_counted_by_all_vms(self, offset, reads):
        """Guards against acknowledged writes at a primary that was replaced.

        The new one is promoted before vm3 has read a list that contains it.
        """
        world = start(vms=8)
        new = FakeServer(world=world, name="s4", zone="b", leads=False)
        new.listed = False
        world.servers["s4"] = new
        case = Replacement(world=world, candidate="s4", offset=offset)
        case.lose_primary()
        new.listed = True
        case.list_for_others()
        if reads == "none":
            world.store_down = {"vm3"}
        case.check_writes(14)
        assert world.orders

    def test_that_is_new_leads_once_it_is_in_every_valid_list(self):
        """Guards against a read at a primary that an unlisted server has replaced.

        The other replicas do not show the new term, as they receive nothing.
        """
        world = start(vms=8)
        new = FakeServer(world=world, name="s4", zone="b", leads=False)
        new.listed = False
        world.servers["s4"] = new
        case = Replacement(world=world, candidate="s4", offset=0.2)
        case.lose_primary()
        new.listed = True
        case.list_for_others()
        world.store_down = {"vm3"}
        for name in ("s2", "s3"):
            world.servers[name].replication_paused = True
        world.connect("vm1", 2)
        until = world.now + 10
        written = False
        while world.now < until:
            if not written:
                answer = world.execute("vm1", 2, "WRITE x 1", wait=0.5)
                written = answer is not None and answer.signature.startswith("s4")
            answer = world.execute("vm3", 1, "READ x", wait=0.5)
            if written and answer is not None and answer.refusal is None:
                assert not answer.signature.startswith("s1"), f"{world.now:.2f}"
            world.advance(0.02)
        assert written

    def test_that_is_the_only_candidate_waits_while_the_old_one_goes_on(self):
        """Guards against a database without a primary until a new server is old."""
        world = start()
        for name in ("s2", "s3"):
            world.crash(name)
            world.servers[name].listed = False
        world.advance(8)
        new = FakeServer(world=world, name="s4", zone="b", leads=False)
        world.servers["s4"] = new
        world.advance(1.2)
        world.servers["s1"].state = "draining"
        for vm in world.states:
            world.list_servers(vm)
        world.advance(0.5)
        assert world.servers["s1"].leads and not world.orders
        assert world.find_logs("promotion_delayed")
        world.advance(6)
        assert world.servers["s4"].leads
