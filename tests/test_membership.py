"""Tests of heartbeats, failure detection, restart, leaving and ownership."""

from pump import Fleet, build_address

from siskinhold import events
from siskinhold.core._membership import find_owner, is_watcher, list_live
from siskinhold.model import VmState


class TestLoss:
    """Lost VMs are detected, and live VMs are not declared gone."""

    def test_lost_vm_is_gone_in_time(self):
        """All others remove a lost VM 2.5 s and one beat after its last message.

        Guards against a lost VM that remains an owner for longer.
        """
        fleet = Fleet(size=9, remote=4)
        fleet.run(3)
        assert fleet.agree()
        fleet.stop("vm3")
        fleet.run(2.0)
        assert "vm3" in fleet.live("vm1")
        fleet.run(0.75)
        assert fleet.agree()

    def test_lost_vm_is_gone_in_a_large_fleet(self):
        """In a fleet with random targets, two VMs lost at once are removed by all
        others, and no other VM is.

        Guards against a lost VM whose silence no VM measures.
        """
        fleet = Fleet(size=40, remote=10)
        fleet.run(8)
        assert fleet.agree()
        fleet.stop("vm3")
        fleet.stop("vm35")
        fleet.run(4)
        assert fleet.agree()

    def test_no_false_loss_under_message_loss(self):
        """With 20 % message loss, no VM is declared gone within a minute.

        Guards against a few lost messages that turn a suspicion into a removal.
        """
        for seed in range(3):
            fleet = Fleet(size=9, seed=seed, loss=0.2)
            fleet.run(60)
            assert fleet.agree()
            assert not fleet.find_events("vm_gone")

    def test_no_false_loss_in_a_large_fleet(self):
        """With message loss and changing random targets, no VM is declared gone.

        Guards against a sender that counts as lost because its targets changed.
        """
        fleet = Fleet(size=30, loss=0.2)
        fleet.run(30)
        assert fleet.agree()
        assert not fleet.find_events("vm_gone")

    def test_one_silent_direction_is_no_loss(self):
        """A VM that only one other VM can't receive from stays a member.

        Guards against a suspicion that is not checked by indirect probes.
        """
        fleet = Fleet(size=5)
        fleet.run(3)
        fleet.cut = lambda a, b: (a, b) == ("vm1", "vm2")
        fleet.run(10)
        assert fleet.agree()

    def test_paused_process_forgives(self):
        """A VM that was paused for 15 s and receives nothing for another second
        keeps the others, and they add it again.

        Guards against ownership that moves because of the VM's own pause.
        """
        fleet = Fleet(size=5)
        fleet.run(3)
        paused = fleet.stop("vm1")
        fleet.run(15)
        assert fleet.agree(["vm0", "vm2", "vm3", "vm4"])
        fleet.nodes["vm1"] = paused
        fleet.cut = lambda a, b: b == "vm1"
        fleet.run(1)
        fleet.cut = lambda a, b: False
        fleet.run(1)
        assert fleet.agree()
        assert not [vm for _, vm in fleet.find_events("vm_gone") if vm == "vm1"]

    def test_isolated_vm_does_not_churn(self):
        """A VM that receives nothing for 8 s keeps its view.

        Guards against ownership that moves twice because of the VM's own network.
        """
        fleet = Fleet(size=6)
        fleet.run(3)
        version = fleet.nodes["vm1"].membership.version
        fleet.cut = lambda a, b: "vm1" in (a, b)
        fleet.run(8)
        assert fleet.nodes["vm1"].membership.version == version
        fleet.cut = lambda a, b: False
        fleet.run(2)
        assert fleet.agree()


class TestChanges:
    """Restart, partition, leaving, and the platform's VM list."""

    def test_restart_with_empty_memory(self):
        """A VM that restarts at once with a higher incarnation learns all others,
        and they know its new incarnation.

        Guards against views of the old incarnation that persist.
        """
        fleet = Fleet(size=9)
        fleet.run(3)
        fleet.stop("vm5")
        fleet.start("vm5", incarnation=2)
        fleet.run(1)
        assert fleet.agree()
        for name in set(fleet.nodes) - {"vm5"}:
            assert fleet.nodes[name].membership.peers["vm5"].view.incarnation == 2

    def test_partition_and_heal(self):
        """Each region removes the other, and adds it again when a partition of
        30 s ends.

        Guards against VMs that stay gone because no VM contacts them.
        """
        fleet = Fleet(size=9, remote=4)
        fleet.run(3)
        south = {f"vm{n}" for n in range(5, 9)}
        fleet.cut = lambda a, b: (a in south) != (b in south)
        fleet.run(30)
        assert fleet.agree(south)
        assert fleet.agree(set(fleet.nodes) - south)
        fleet.cut = lambda a, b: False
        fleet.run(3)
        assert fleet.agree()

    def test_leaving_is_announced_at_once(self):
        """A VM that shuts down is no longer live anywhere 0.03 s later.

        Guards against new jobs sent to it until its silence is detected.
        """
        for moment in (3.0, 3.05, 3.1, 3.15):
            fleet = Fleet(size=4)
            fleet.run(moment)
            fleet.feed(fleet.nodes["vm2"], events.ShutdownRequested(at=fleet.now))
            fleet.run(0.03)
            assert all("vm2" not in fleet.live(name) for name in fleet.nodes)

    def test_platform_list(self):
        """A listed VM is live only if it answers, and not if it is in `leaving`.

        Guards against relying on a list that lags.
        """
        fleet = Fleet(size=3, seeds=1)
        fleet.run(2)
        new = build_address(3, "north")
        silent = build_address(4, "north")
        fleet.addresses.append(new)
        fleet.seeds = ()
        fleet.start("vm3", incarnation=1)
        fleet.run(2)
        assert "vm3" not in fleet.live("vm0")
        live = (*fleet.addresses, silent)
        watcher = next(n for n in ("vm0", "vm1", "vm2") if is_watcher(fleet.nodes[n]))
        event = events.VmListReported(at=fleet.now, live=live, leaving=("vm1",))
        fleet.feed(fleet.nodes[watcher], event)
        fleet.run(2)
        assert all(fleet.live(n) == {"vm0", "vm2", "vm3"} for n in fleet.nodes)


class TestOwnership:
    """Rendezvous hashing and its cache."""

    def test_cache_equals_fresh_search(self):
        """After each change, cached owners equal those from an empty cache.

        Guards against a cache that misses a join, a loss or a restart.
        """
        fleet = Fleet(size=9, remote=3)
        fleet.run(3)
        node = fleet.nodes["vm0"]
        peers = list(node.membership.peers.values())
        for step in range(300):
            peer = fleet.random.choice(peers)
            state = fleet.random.choice([VmState.LIVE, VmState.GONE])
            peer.view = type(peer.view)(
                address=peer.view.address,
                incarnation=1,
                state=state,
                beat=step,
                ticket=0,
            )
            node.membership.version += 1
            keys = [(f"db{k}", r) for k in range(20) for r in ("north", "south")]
            sampled_keys = fleet.random.sample(keys, 12)
            cached = [find_owner(node, *key) for key in sampled_keys]
            node.membership.owners, cache = type(node.membership.owners)(), (
                node.membership.owners
            )
            assert cached == [find_owner(node, *key) for key in sampled_keys]
            node.membership.owners = cache

    def test_one_watcher_in_each_region(self):
        """Each region has exactly one watcher, and another one after its loss.

        Guards against a region in which no VM watches the store.
        """
        fleet = Fleet(size=9, remote=4)
        fleet.run(3)
        for _ in range(2):
            found = [n for n in fleet.nodes.values() if is_watcher(n)]
            regions = sorted(n.identity.address.region for n in found)
            assert regions == ["north", "south"]
            fleet.stop(found[0].identity.name)
            fleet.run(3)

    def test_empty_region_falls_back(self):
        """A region without a live VM is served by VMs of other regions.

        Guards against databases without an owner.
        """
        fleet = Fleet(size=3, remote=1)
        fleet.run(2)
        fleet.stop("vm2")
        fleet.run(3)
        assert find_owner(fleet.nodes["vm0"], "db", "south") in ("vm0", "vm1")
        assert list_live(fleet.nodes["vm0"], "south") == ()
