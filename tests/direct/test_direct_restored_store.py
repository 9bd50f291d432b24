"""Tests of the direct core: the store is restored from an older copy."""

import random

from siskinhold.direct import (
    Configuration,
    ConfigurationRead,
    DirectState,
    ListVms,
    PublishConnections,
    RegisterVm,
    Revision,
    StoreEraBegan,
    Suspicion,
    TimeAdvanced,
    VmEntry,
    VmsRead,
    WriteLeaderRecord,
    reduce,
)
from siskinhold.direct._database_state import Leadership
from siskinhold.direct._promotion_steps import find_rank
from siskinhold.direct._records import RECORDS_PER_SECOND

from .world import World


def start(vms=3, **arguments):
    """Return a world with an era of the store, long after its beginning."""
    world = World(vms=vms, **arguments)
    world.era = 1
    world.advance(6)
    return world


def write(world, vm, seconds):
    """Have a caller write for a time, so that the replicas receive something."""
    world.connect(vm, 1)
    for _ in range(round(seconds / 0.2)):
        world.send_statement(vm, 1, "WRITE x 1")
        world.advance(0.2)


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

    def test_server_that_left_stays_draining(self):
        """Guards against statements to a server whose entry in the copy is older."""
        world = start()
        copy = world.copy_store()
        server = world.servers["s2"]
        server.state = "draining"
        world.advance(2)
        world.restore_store(copy)
        server.state = "ready"
        world.advance(4)
        for state in world.states.values():
            assert state.servers["s2"].draining_at is not None
            assert state.servers["s2"].entry.draining
        server.started = 2
        world.advance(1.1)
        for state in world.states.values():
            assert state.servers["s2"].usable

    def test_primary_that_the_copy_lacks_is_kept(self):
        """Guards against a new primary that is taken for gone after a restore."""
        world = start()
        copy = world.copy_store()
        world.advance(1)
        world.restore_store(copy)
        world.servers["s1"].listed = False
        for _ in range(8):
            world.advance(0.25)
            assert all(state.servers["s1"].usable for state in world.states.values())
        world.servers["s1"].listed = True
        world.advance(5)
        assert not world.find_logs("server_gone")
        assert not world.orders

    def test_server_that_stays_missing_is_gone(self):
        """Guards against statements to a server that has left for ever."""
        world = start()
        world.restore_store(world.copy_store())
        world.servers["s2"].listed = False
        world.advance(5)
        for state in world.states.values():
            assert not state.servers["s2"].usable
        world.advance(6)
        for state in world.states.values():
            assert "s2" not in state.servers

    def test_entry_of_an_older_process_is_ignored(self):
        """Guards against a primary that is replaced as it was draining before its
        restart."""
        world = start()
        copy = world.copy_store()
        server = world.servers["s1"]
        server.started = 2
        world.advance(2)
        world.restore_store(copy)
        server.started, server.state = 1, "draining"
        world.advance(2)
        server.started, server.state = 2, "ready"
        world.advance(5)
        assert not world.find_logs("server_draining")
        assert not world.orders


class TestSuspicions:
    def suspect(self, world, *vms):
        """Have VMs lose the primary, in addition to those that have."""
        world.servers["s1"].unreachable_from |= set(vms)
        write(world, "vm8", 2)
        assert world.orders == []

    def test_suspicion_that_the_copy_lacks_counts_again(self):
        """Guards against a lost primary that is never replaced."""
        world = start(vms=8)
        copy = world.copy_store()
        self.suspect(world, "vm1", "vm2", "vm3")
        world.restore_store(copy)
        self.suspect(world)
        world.servers["s1"].unreachable_from |= {"vm4"}
        write(world, "vm8", 6)
        assert world.orders

    def test_withdrawn_suspicion_that_is_back_does_not_count(self):
        """Guards against replacing a primary that nearly all VMs reach."""
        world = start(vms=8)
        self.suspect(world, "vm1", "vm2", "vm3")
        copy = world.copy_store()
        world.servers["s1"].unreachable_from = set()
        write(world, "vm8", 2)
        world.restore_store(copy)
        world.servers["s1"].unreachable_from = {"vm4"}
        write(world, "vm8", 7)
        assert world.orders == []


class TestClaims:
    def test_fence_tokens_increase(self):
        """Guards against an order with a lower token than an earlier one."""
        world = start(vms=8)
        copy = world.copy_store()
        world.revision += 40
        world.servers["s1"].down = True
        world.advance(3)
        world.restore_store(copy)
        world.advance(6)
        leader = world.states["vm1"].databases["db"].leader.server
        world.servers[leader].down = True
        world.servers["s1"].down = False
        world.servers["s1"].leads = False
        world.advance(8)
        tokens = [token for _, _, _, token in world.orders]
        assert len(set(tokens)) == 2
        assert tokens == sorted(tokens)

    def test_claim_that_the_copy_lacks_is_waited_for(self):
        """Guards against two VMs that order promotions in turns."""
        world = start(vms=8)
        copy = world.copy_store()
        world.servers["s1"].down = True
        world.orders_ignored = True
        while not world.records:
            world.advance(0.0005)
        claimant = world.record.vm
        world.advance(0.01)
        world.store_down.add(claimant)
        world.restore_store(copy)
        world.advance(8)
        holders = [vm for _, vm, _, _ in world.orders]
        assert len(set(holders)) == 2
        assert holders == sorted(holders, key=lambda vm: vm != claimant)

    def test_callers_are_told_how_long_the_claims_are_waited_for(self):
        """Guards against callers that come back seconds before there is a primary."""
        world = start(vms=8)
        world.restore_store(world.copy_store())
        world.advance(1.1)
        world.servers["s1"].down = True
        world.advance(1)
        world.connect("vm1", 1)
        detail = world.execute("vm1", 1, "WRITE x 1").detail
        found_at = world.now + int(detail.split("retry_after_ms=")[1]) / 1000
        leader = world.states["vm1"].databases["db"].leader
        while leader is None or leader.server == "s1":
            world.advance(0.05)
            leader = world.states["vm1"].databases["db"].leader
        assert abs(world.now - found_at) < 1

    def test_claim_carried_out_after_the_restore_is_not_used(self):
        """Guards against an order by a claim that no other VM sees."""
        world = start(vms=8)
        copy = world.copy_store()
        world.record_delay = 0.4
        world.servers["s1"].down = True
        databases = [state.databases["db"] for state in world.states.values()]
        while not any(d.promotion and d.promotion.claim_sent for d in databases):
            world.advance(0.005)
        world.restore_store(copy)
        world.record_delay = 0.0
        world.advance(3)
        assert world.orders == []
        world.advance(6)
        assert world.orders
        assert all(token > 1 << 40 for _, _, _, token in world.orders)


class TestOlderVersions:
    def test_tokens_of_a_store_that_was_not_restored_are_revisions(self):
        """Guards against older VMs whose tokens are lower in a rolling update."""
        assert Revision(era=1, number=7).to_token() == 7
        assert Revision(number=7).to_token() == 7
        assert Revision(era=2, number=1).to_token() > 1 << 30

    def test_suspicion_without_an_era_counts(self):
        """Guards against a lost primary that is not replaced in a rolling update."""
        world = start(vms=8)
        for vm in ("vm5", "vm6", "vm7"):
            suspicion = Suspicion(service="db", server="s1", term=1, vm=vm)
            world.suspicions[vm] = suspicion
        world.servers["s1"].unreachable_from = {"vm4"}
        write(world, "vm8", 4)
        assert world.orders


class TestStoreProof:
    def replace_behind_partition(self):
        """Return a world in which `vm1` reaches only the store and a replaced primary,
        and a copy of the store of before."""
        world = start(vms=8)
        world.advance(15)
        world.connect("vm1", 1)
        copy = world.copy_store()
        others = set(world.states) - {"vm1"}
        world.servers["s1"].unreachable_from = others
        for name in ("s2", "s3"):
            world.servers[name].unreachable_from = {"vm1"}
            world.servers[name].replication_paused = True
        world.advance(4)
        assert world.servers["s2"].leads or world.servers["s3"].leads
        return world, copy

    def test_record_that_the_copy_lacks_does_not_confirm_a_primary(self):
        """Guards against stale reads at a primary that was replaced."""
        world, copy = self.replace_behind_partition()
        world.restore_store(copy)
        world.advance(1)
        for _ in range(20):
            answer = world.execute("vm1", 1, "READ x")
            assert answer is None or answer.refusal is not None

    def test_store_confirms_primaries_again_after_a_while(self):
        """Guards against a database that stops with the loss of its replicas."""
        world = start(vms=8)
        world.advance(15)
        world.connect("vm1", 1)
        world.restore_store(world.copy_store())
        world.advance(15)
        for name in ("s2", "s3"):
            world.servers[name].unreachable_from = {"vm1"}
        world.advance(1)
        assert world.execute("vm1", 1, "READ x").refusal is None


class TestFirstRecords:
    def test_unproved_primary_is_not_recorded(self):
        """Guards against a store that confirms a primary which was replaced."""
        world = start(vms=8)
        world.restore_store(world.copy_store())
        world.servers["s2"].unreachable_from = set(world.states)
        world.advance(20)
        assert world.record is None
        world.servers["s2"].unreachable_from = set()
        world.advance(5)
        assert world.record.server == "s1"

    def test_vm_that_misses_the_record_writes_it(self):
        """Guards against a primary that the store never confirms as the VMs that should
        record it don't reach the store."""
        world = start(vms=8)
        world.restore_store(world.copy_store())
        world.advance(1.5)
        state = world.states["vm1"]
        database = state.databases["db"]
        term = database.leader.term
        ranks = {vm: find_rank(s, database, term) for vm, s in world.states.items()}
        world.store_down = {vm for vm, rank in ranks.items() if rank < 2}
        last = max(ranks, key=ranks.get)
        world.advance(15)
        assert world.record is None
        world.connect(last, 1)
        world.servers["s2"].unreachable_from = {last}
        world.execute(last, 1, "READ x")
        world.servers["s2"].unreachable_from = set()
        world.advance(8)
        assert world.record.vm == last

    def test_unanswered_writes_are_repeated_at_the_rate_of_the_first_ones(self):
        """Guards against more writes than the store accepts after an outage."""
        state, _ = make_vm("vm1", configured=True, databases=200)
        for database in state.databases.values():
            database.leader = Leadership(server="s1", term=1, since=1.0)
        seconds = []
        for tenth in range(13, 400):
            out = reduce(state, TimeAdvanced(at=tenth / 10))
            seconds += [tenth // 10] * len(find(out, WriteLeaderRecord))
        assert len(seconds) > 200
        assert max(seconds.count(s) for s in seconds) <= 1.5 * RECORDS_PER_SECOND

    def test_completion_of_an_older_era_is_dropped(self):
        """Guards against a write that is repeated every second for ever."""
        world = start(vms=8)
        copy = world.copy_store()
        world.servers["s1"].down = True
        while not world.orders:
            world.advance(0.005)
        claimant = world.orders[0][1]
        world.store_down.add(claimant)
        world.advance(2)
        database = world.states[claimant].databases["db"]
        assert database.completion is not None
        world.restore_store(copy)
        world.store_down.clear()
        world.advance(2)
        assert database.completion is None


def make_vm(name, *, configured, connections=34, databases=1):
    """Return the state of a VM of two in an era of the store, after a list of VMs."""
    fleet = []
    for other in ("vm1", "vm2"):
        fleet.append(
            VmEntry(name=other, host="10.0.0.1", relay_port=1, zone="a", size=1000)
        )
    state = DirectState(
        vm=name, zone="a", regions={"a": "east"}, grace=6.0, random=random.Random(1)
    )
    reduce(state, StoreEraBegan(at=1.0, era=1))
    if configured:
        configuration = Configuration(
            version=1,
            routes={},
            connections={f"db{n}": connections for n in range(databases)},
            idle_transaction=3.0,
        )
        reduce(state, ConfigurationRead(at=1.0, configuration=configuration))
    vms = tuple(fleet)
    reduce(state, VmsRead(at=1.1, vms=vms, connections=connections))
    reduce(state, TimeAdvanced(at=1.2))
    return state, vms


def find(effects, kind):
    """Return the effects of a kind."""
    return [effect for effect in effects if isinstance(effect, kind)]


def list_reads(state, first, last):
    """Return when a VM reads the list of VMs, and whether it may not be stale.

    Args:
        first: time of the first tick, in tenths of a second.
        last: time of the last tick.
    """
    found = []
    for tenth in range(first, last):
        for effect in find(reduce(state, TimeAdvanced(at=tenth / 10)), ListVms):
            found.append((tenth / 10, effect.fresh))
    return found


class TestVms:
    def test_vm_that_the_copy_lacks_registers_at_once(self):
        """Guards against a VM that is missing in the list for seconds."""
        world = start(vms=8)
        copy = world.copy_store()
        copy[3].pop(3)
        world.restore_store(copy)
        world.advance(1.1)
        assert {entry.name for entry in world.entries} == set(world.states)

    def test_vms_that_the_copy_lacks_stay_known(self):
        """Guards against other holders, and shares, until all have registered again."""
        world = start(vms=8)
        copy = world.copy_store()
        del copy[3][2:]
        world.store_down = set(list(world.states)[4:])
        world.restore_store(copy)
        for _ in range(10):
            world.advance(1)
            assert all(len(state.vms) == 8 for state in world.states.values())
        world.advance(13)
        assert len(world.states["vm1"].vms) == 4
        world.store_down.clear()
        world.advance(25)
        assert all(len(state.vms) == 8 for state in world.states.values())

    def test_vm_that_is_paused_across_two_restores_catches_up(self):
        """Guards against a VM that goes on with what it knew before its pause."""
        world = start(vms=8)
        copy = world.copy_store()
        copy[3].pop(3)
        world.revision += 1000
        world.advance(1.1)
        world.paused.add("vm4")
        world.restore_store(copy)
        world.advance(3)
        world.restore_store(copy)
        world.advance(3)
        world.servers["s2"].state = "draining"
        world.paused.clear()
        world.advance(1.5)
        assert "vm4" in {entry.name for entry in world.entries}
        state = world.states["vm4"]
        assert state.store_era == state.servers_revision.era == 3
        assert state.servers["s2"].draining_at is not None
        assert len(state.vms) == 8

    def test_list_is_read_at_once_and_fresh(self):
        """Guards against a list of before the restore, or an old one for 10 s."""
        state, _ = make_vm("vm1", configured=True)
        list_reads(state, 13, 80)
        reduce(state, StoreEraBegan(at=8.05, era=2))
        reads = list_reads(state, 81, 300)
        assert reads == [
            (8.1, True),
            (11.1, True),
            (14.1, True),
            (17.1, True),
            (27.2, False),
        ]

    def test_large_fleet_registers_and_reads_in_turn(self):
        """Guards against more calls at once than the store accepts."""
        vms = []
        for index in range(5300):
            vms.append(
                VmEntry(
                    name=f"vm{index}", host="10.0.0.1", relay_port=1, zone="a", size=1
                )
            )
        registered = []
        for index in range(0, 5300, 53):
            state = DirectState(
                vm=f"vm{index}",
                zone="a",
                regions={"a": "east"},
                grace=6.0,
                random=random.Random(index),
            )
            reduce(state, StoreEraBegan(at=1.0, era=1))
            reduce(state, VmsRead(at=1.1, vms=tuple(vms), connections=34))
            reduce(state, TimeAdvanced(at=1.2))
            reduce(state, StoreEraBegan(at=20.0, era=2))
            for tenth in range(201, 320):
                out = reduce(state, TimeAdvanced(at=tenth / 10))
                assert not any(effect.fresh for effect in find(out, ListVms))
                registered += [tenth // 10] * len(find(out, RegisterVm))
        assert len(registered) == 100
        assert max(registered.count(second) for second in registered) <= 20

    def test_first_era_is_no_restore(self):
        """Guards against as many fresh reads as VMs when a whole fleet starts."""
        state, _ = make_vm("vm1", configured=True)
        assert state.store_era == 1
        assert not any(fresh for _, fresh in list_reads(state, 13, 240))

    def test_lost_connection_limit_is_published_again(self):
        """Guards against VMs that all read the configuration as no limit is known."""
        state, vms = make_vm("vm1", configured=True)
        out = reduce(state, VmsRead(at=8.0, vms=vms, connections=8))
        assert find(out, PublishConnections)
        reduce(state, StoreEraBegan(at=8.5, era=2))
        out = reduce(state, VmsRead(at=8.6, vms=vms, connections=0))
        assert find(out, PublishConnections) == [PublishConnections(connections=34)]

    def test_lost_connection_limit_is_remembered(self):
        """Guards against a VM that becomes a holder as no limit is published."""
        state, vms = make_vm("vm2", configured=False)
        reduce(state, StoreEraBegan(at=8.5, era=2))
        reduce(state, VmsRead(at=8.6, vms=vms, connections=0))
        assert state.connections_limit == 34
