"""Tests of promotions that keep every acknowledged commit.

`SISKINHOLD_CAMPAIGN_SEEDS=FIRST:END` in the environment plays other seeds.
"""

import os

import pytest

from siskinhold.direct import Refusal

from .logs_campaign import play
from .logs_world import LogsWorld

FIRST_SEED, END_SEED = (
    int(number)
    for number in os.environ.get("SISKINHOLD_CAMPAIGN_SEEDS", "0:12").split(":")
)

FAR = "s3"
"""The server that receives nothing in most tests."""


def start(**options):
    """Return a world in which callers write at all VMs."""
    world = LogsWorld(**options)
    world.advance(2)
    for vm in list(world.states):
        world.write(vm)
    world.advance(0.5)
    return world


def make_deaf(world, seconds, *names):
    """Have servers receive nothing for some seconds."""
    world.deaf |= set(names)
    for name in names:
        world.at(world.now + seconds, lambda name=name: world.hear(name))


def check(world, seconds):
    """Check that no commit is lost, and that writes go on at the end."""
    world.advance(seconds)
    assert world.lost == []
    assert world.late == []
    since = world.now
    world.advance(3)
    assert world.count_writes(since) > 20


class TestPlannedEnds:
    @pytest.mark.parametrize("deaf", [0.0, 4.0, 6.5, 9.0, 12.0])
    @pytest.mark.parametrize("gap", [0.0, 1.0, 3.0])
    @pytest.mark.parametrize("order", [("s2", "s1"), ("s1", "s2")])
    @pytest.mark.parametrize("replaced", [False, True], ids=["returns", "replaced"])
    def test_series_beside_a_deaf_replica(self, deaf, gap, order, replaced):
        """Guards against the promotion of a server that receives nothing while others,
        which are about to leave, have every commit (review/6)."""
        world = start()
        if deaf:
            make_deaf(world, deaf, FAR)
        world.advance(0.5)
        for name in order:
            world.leave(name, returns=2.0, replaced=replaced)
            world.advance(gap)
        check(world, 22)

    @pytest.mark.parametrize("acknowledging", [0, 1, 2])
    @pytest.mark.parametrize("servers", [3, 5])
    def test_primary_leaves_while_all_replicas_follow(self, acknowledging, servers):
        """Guards against a switchover that waits though nothing is in its way."""
        world = start(servers=servers, acknowledging=acknowledging)
        world.leave("s1", returns=1.0)
        world.advance(2)
        assert world.orders and world.primary.name != "s1"
        check(world, 8)

    def test_primary_goes_on_until_a_replica_follows(self):
        """Guards against writes that wait for a switchover that can't succeed yet."""
        world = start(acknowledging=0)
        make_deaf(world, 4.0, "s2", "s3")
        world.leave("s1", returns=1.0)
        since = world.now
        world.advance(3.9)
        assert not world.orders
        assert world.count_writes(since) > 150
        check(world, 10)

    def test_end_of_the_drain_period_is_not_missed_without_acknowledgement(self):
        """Guards against a primary that ends before another one is promoted."""
        world = start(acknowledging=0)
        make_deaf(world, 30.0, "s2", "s3")
        world.leave("s1")
        world.advance(6.9)
        assert world.primary.name != "s1"

    def test_primary_leads_again_if_no_replica_gets_the_rest(self):
        """Guards against the promotion of what is there after a constant wait."""
        world = start()
        world.leave("s1", returns=2.0)
        while not world.claims:
            world.advance(0.001)
        make_deaf(world, 3.0, "s2", "s3")
        check(world, 12)


class TestLostPrimaries:
    @pytest.mark.parametrize("back", [2.0, 5.0, 12.0])
    @pytest.mark.parametrize("servers, acknowledging", [(3, 1), (5, 1), (5, 2)])
    def test_holders_that_no_vm_reaches(self, servers, acknowledging, back):
        """Guards against a majority without a server that has the commits."""
        world = start(servers=servers, acknowledging=acknowledging)
        holders = [f"s{2 + number}" for number in range(acknowledging)]
        others = {name for name in world.servers if name not in ("s1", *holders)}
        make_deaf(world, 1.0, *others)
        world.advance(0.9)
        for name in holders:
            world.servers[name].unreachable_from = set(world.states)
        world.crash("s1")

        def reach():
            for name in holders:
                world.servers[name].unreachable_from = set()

        world.at(world.now + back, reach)
        world.at(world.now + back + 3, lambda: world.come_back("s1"))
        check(world, back + 12)

    def test_holder_whose_entry_has_expired_counts(self):
        """Guards against a majority of the servers that are listed."""
        world = start()
        make_deaf(world, 3.0, FAR)
        world.advance(1)
        holder = world.servers["s2"]
        holder.listed = False
        holder.unreachable_from = set(world.states)
        world.crash("s1")
        world.servers["s1"].listed = False
        world.advance(20)
        assert not world.orders
        delayed = world.find_logs("promotion_delayed")
        assert {"logs": 1, "needed": 2} == {
            name: delayed[-1][3][name] for name in ("logs", "needed")
        }
        holder.listed = True
        holder.unreachable_from = set()
        check(world, 10)

    def test_draining_holder_takes_over(self):
        """Guards against waiting for the end of a server that has every commit."""
        world = start()
        make_deaf(world, 20.0, FAR)
        world.advance(1)
        world.leave("s2", returns=1.0)
        world.crash("s1")
        world.advance(4)
        assert world.primary.name == "s2"
        world.come_back("s1")
        check(world, 15)

    def test_server_that_lost_its_log_shows_nothing(self):
        """Guards against counting a server that started again with an empty log."""
        world = start()
        make_deaf(world, 60.0, FAR)
        world.advance(1)
        world.crash("s2")
        world.crash("s1")
        world.advance(1)
        world.entries_of["s2"] = []
        world.copy_log(world.servers["s2"], world.servers["s2"])
        world.come_back("s2")
        world.advance(6)
        assert not world.orders
        world.come_back("s1")
        check(world, 10)

    def test_lost_server_whose_commits_others_hold_is_not_waited_for(self):
        """Guards against a service that no primary leads any more once two servers were
        lost for good, one after the other had everything."""
        world = start()
        world.crash("s2")
        world.servers["s2"].listed = False
        world.advance(15)
        assert world.find_logs("departed_server_covered")
        world.crash("s1")
        world.servers["s1"].listed = False
        world.advance(12)
        assert world.primary.name == FAR and not world.lost


class TestRestartedVms:
    def restart(self, world):
        """Start all VMs again."""
        for vm in list(world.states):
            world.stop_process(vm)
            world.start_process(vm)

    def test_holder_that_they_have_never_seen_counts(self):
        """Guards against VMs that know only the servers that are listed."""
        world = start()
        world.advance(8)
        assert len(world.record.servers) == 3
        make_deaf(world, 3.0, FAR)
        world.advance(1)
        holder = world.servers["s2"]
        holder.listed = False
        holder.unreachable_from = set(world.states)
        world.crash("s1")
        world.servers["s1"].listed = False
        world.advance(2)
        self.restart(world)
        world.advance(20)
        assert not world.orders
        holder.listed = True
        holder.unreachable_from = set()
        check(world, 10)

    def test_lost_server_is_taken_out_of_the_record(self):
        """Guards against waiting for a server that was lost long before."""
        world = start()
        world.advance(8)
        world.crash("s2")
        world.servers["s2"].listed = False
        world.advance(25)
        assert [place.server for place in world.record.servers] == ["s1", FAR]
        self.restart(world)
        world.advance(4)
        world.crash("s1")
        world.servers["s1"].listed = False
        world.advance(12)
        assert world.primary.name == FAR and not world.lost

    def test_record_is_written_once(self):
        """Guards against calls of the store that nothing has to be written for."""
        world = start()
        world.advance(30)
        assert len(world.find_logs("servers_recorded")) == 1

    def test_record_is_not_written_without_acknowledgement(self):
        """Guards against the cost of a record that nobody needs."""
        world = start(acknowledging=0)
        world.advance(15)
        assert world.record is None


class TestCampaign:
    @pytest.mark.parametrize("seed", range(FIRST_SEED, END_SEED))
    def test_nothing_that_callers_were_told_of_is_lost(self, seed):
        """Guards against the same under faults that nobody has put together."""
        world = play(seed)
        assert world.lost == [], f"seed {seed}"
        assert world.late == [], f"seed {seed}"
        since = world.now
        world.advance(3)
        assert world.count_writes(since) > 20, f"seed {seed}"


class TestAcknowledgedByThePrimaryAlone:
    def test_lost_primary_is_replaced_by_a_majority(self):
        """Guards against an outage where no replica has to acknowledge commits."""
        world = start(acknowledging=0)
        world.crash("s1")
        world.advance(4)
        assert world.primary.name != "s1"
        world.connect("vm1", 90_000)
        assert world.execute("vm1", 90_000, "WRITE x 1").refusal is not Refusal.OVERLOAD
