"""Tests of the switchover to a replica that is slow to apply what it has received."""

import pytest

from siskinhold.direct import CommandKind

from .test_direct_load import STATEMENT_TIME, run_load, start

BACKLOG = 30.0
"""Seconds until the replicas have applied what they receive now."""

CAPACITY = 2 / STATEMENT_TIME
"""Statements per second that a server with two slots runs."""


def start_with_backlogs(backlog=BACKLOG, servers=("s2", "s3")):
    """Return a world whose primary has led for a while, and whose replicas are behind.

    A write every 0.2 s keeps them behind.
    """
    world = start(slots=2)
    world.advance(6)
    for name in servers:
        world.servers[name].applies_at = world.now + backlog

    def write():
        world.order += 1
        world.connect("vm2", world.order)
        world.send_statement("vm2", world.order, "WRITE x 1")
        world.at(world.now + 0.2, write)

    world.at(world.now, write)
    world.advance(3)
    return world


def count_done(outcomes):
    """Return the number of statements that were served."""
    return len([o for o in outcomes if o.answer.refusal is None])


def run_reads(world, *, rate, seconds):
    """Run reads with bounded staleness; return their outcomes."""
    return run_load(world, rate=rate, seconds=seconds, database="views", text="READ x")


class TestSwitchover:
    def test_replica_takes_over_and_shares_the_load(self):
        """Guards against replicas that stay unused until they have caught up.

        Load: for 8 s reads of 1.6 times the capacity of the primary, whose replicas are
        30 s behind. One server alone can serve 62 % of them.
        """
        world = start_with_backlogs()
        outcomes = run_reads(world, rate=1.6 * CAPACITY, seconds=8)
        assert count_done(outcomes) >= 0.75 * len(outcomes)
        assert len(world.orders) == 1
        assert world.servers[world.orders[0][2]].leads

    def test_loses_no_acknowledged_commit(self):
        """Guards against the promotion of a replica that lacks commits."""
        world = start_with_backlogs()
        run_reads(world, rate=1.6 * CAPACITY, seconds=6)
        commits = []
        for server in world.servers.values():
            commits += [(term, offset) for _, term, offset in server.commits]
        assert len(set(commits)) == len(commits)
        newest = max(commits)
        leader = [s for s in world.servers.values() if s.leads][0]
        assert (leader.received.term, leader.received.offset) == newest
        writes = [r for (vm, _), r in world.replies.items() if vm == "vm2"]
        done = [r for r in writes if r[0][1].refusal is None]
        assert len(done) == len(commits)

    def test_needs_an_overloaded_primary(self):
        """Guards against a needless pause of writes."""
        world = start_with_backlogs()
        outcomes = run_reads(world, rate=0.5 * CAPACITY, seconds=6)
        assert count_done(outcomes) == len(outcomes)
        assert not world.orders

    @pytest.mark.parametrize("servers", [("s2",), ()])
    def test_needs_all_replicas_behind(self, servers):
        """Guards against a switchover while another server can share the load."""
        world = start_with_backlogs(servers=servers)
        run_reads(world, rate=4 * CAPACITY, seconds=6)
        assert not world.orders

    def test_is_not_worth_it_for_a_short_backlog(self):
        """Guards against a pause of writes shortly before the replicas catch up."""
        world = start_with_backlogs(backlog=6.0)
        run_reads(world, rate=1.6 * CAPACITY, seconds=4)
        assert not world.orders

    def test_replica_that_receives_nothing_is_not_promoted(self):
        """Guards against commits lost by a switchover."""
        world = start_with_backlogs()
        for name in ("s2", "s3"):
            world.servers[name].replication_paused = True
        world.advance(1)
        run_reads(world, rate=1.6 * CAPACITY, seconds=6)
        assert not world.orders

    def test_is_given_up_if_the_primary_does_not_step_down(self):
        """Guards against a second primary beside one that still leads."""
        world = start_with_backlogs()
        primary = world.servers["s1"]
        run = primary.run

        def ignore_step_down(connection, command, now):
            if command.kind is CommandKind.STEP_DOWN:
                end, answer = now, run(connection, command, now)[1]
                primary.leads = True
                return end + 0.6, answer
            return run(connection, command, now)

        primary.run = ignore_step_down
        run_reads(world, rate=1.6 * CAPACITY, seconds=4)
        assert not world.orders
        dropped = [entry[3]["reason"] for entry in world.find_logs("promotion_dropped")]
        assert "step_down_unanswered" in dropped
