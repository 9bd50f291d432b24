"""Tests of the direct core: sessions, transactions and their replies."""

import pytest

from siskinhold.direct import BackendLost, LossReason, Refusal, TransactionState

from .world import World


def start(**options) -> World:
    """Return a world whose VMs know the primary."""
    world = World(**options)
    world.advance(2.0)
    return world


class TestTransactions:
    def test_statement_waits_for_begin(self):
        """Guards against a statement outside a transaction after a refused `BEGIN`."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.servers["s1"].leads = False
        world.send_statement("vm1", 1, "WRITE x 1")
        world.advance(0.3)
        assert not world.servers["s1"].ran

    def test_lost_connection_before_commit_is_aborted(self):
        """Guards against an outcome in doubt where nothing can have been committed."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        assert world.execute("vm1", 1, "WRITE x 1").refusal is None
        world.servers["s1"].down = True
        answer = world.execute("vm1", 1, "WRITE x 2")
        assert answer.refusal is Refusal.ABORTED
        assert answer.transaction is TransactionState.FAILED
        assert not world.servers["s1"].commits
        ended = world.execute("vm1", 1, "ROLLBACK")
        assert ended.transaction is TransactionState.NONE

    @pytest.mark.parametrize("text", ["WRITE x 1", "READ x"])
    def test_lost_connection_while_an_answer_awaits_proof_is_aborted(self, text):
        """Guards against a commit acknowledged without the writes before it."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.servers["s2"].unreachable_from = {"vm1"}
        world.record_delay = 0.3
        world.send_statement("vm1", 1, text)
        world.advance(0.05)
        assert world.servers["s1"].ran
        (key,) = [k for k, c in world.connections.items() if c.open]
        del world.connections[key]
        lost = BackendLost(at=0, connection=key[1], reason=LossReason.CLOSED)
        world.deliver("vm1", world.now, lost)
        world.advance(1)
        _, answer = world.replies["vm1", 1][-1]
        assert answer.refusal is Refusal.ABORTED
        assert answer.transaction is TransactionState.FAILED
        commit = world.execute("vm1", 1, "COMMIT")
        assert commit.refusal is Refusal.ABORTED
        assert commit.transaction is TransactionState.NONE
        assert len(world.servers["s1"].ran) == 1
        assert not world.servers["s1"].commits
        world.servers["s2"].unreachable_from = set()
        world.advance(1)
        assert world.execute("vm1", 1, "WRITE x 2").refusal is None

    def test_lost_connection_at_commit_is_in_doubt(self):
        """Guards against "not run" for a commit that may have succeeded."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.execute("vm1", 1, "WRITE x 1")
        world.servers["s1"].lose_answers = 1
        answer = world.execute("vm1", 1, "COMMIT")
        assert world.servers["s1"].commits
        assert answer.refusal is Refusal.IN_DOUBT
        assert answer.transaction is TransactionState.NONE

    def test_idle_one_is_ended_and_its_caller_told(self):
        """Guards against an idle caller that occupies a connection."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.execute("vm1", 1, "WRITE x 1")
        world.advance(3.5)
        state = world.states["vm1"]
        assert all(c.transaction is None for c in state.connections.values())
        assert world.execute("vm1", 1, "READ x").refusal is Refusal.ABORTED
        assert world.execute("vm1", 1, "READ x").refusal is Refusal.MALFORMED
        assert world.execute("vm1", 1, "COMMIT").transaction is TransactionState.NONE

    def test_commit_after_a_failure_is_refused(self):
        """Guards against a commit that succeeds though its transaction failed."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.servers["s1"].answer_busy = 1
        assert world.execute("vm1", 1, "WRITE x 1").refusal is Refusal.ABORTED
        assert world.execute("vm1", 1, "COMMIT").refusal is Refusal.ABORTED
        assert not world.servers["s1"].commits

    def test_caller_that_leaves_is_rolled_back(self):
        """Guards against a transaction whose connection is given to another caller."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.execute("vm1", 1, "WRITE x 1")
        world.disconnect("vm1", 1)
        world.advance(0.1)
        opened = [c.open for c in world.connections.values()]
        assert not any(opened)
        assert not world.servers["s1"].commits

    def test_caller_that_leaves_while_a_statement_runs_is_rolled_back(self):
        """Guards against a connection that stays in a transaction forever."""
        world = start(statement_time=0.05)
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.send_statement("vm1", 1, "WRITE x 1")
        world.advance(0.02)
        world.disconnect("vm1", 1)
        world.advance(0.5)
        assert not any(c.open for c in world.connections.values())
        state = world.states["vm1"]
        assert all(c.transaction is None for c in state.connections.values())


class TestValues:
    def test_follow_the_session_over_connections(self):
        """Guards against a statement that runs with another caller's values."""
        world = start()
        for session, value in ((1, "a"), (2, "b")):
            world.connect("vm1", session)
            world.execute("vm1", session, f"SET v {value}")
        for _ in range(3):
            for session, value in ((1, "a"), (2, "b")):
                world.execute("vm1", session, "READ x")
                used = [
                    c.kept.values.get("v")
                    for c in world.states["vm1"].connections.values()
                    if c.used_at >= world.now - 0.03 and not c.control
                ]
                assert value in used

    def test_are_set_again_after_a_reset_of_the_control_connection(self):
        """Guards against session values that a position request has cleared.

        While a server is out of connections, statements use the control connection.
        """
        world = start()
        state = world.states["vm1"]
        world.connect("vm1", 1)
        world.execute("vm1", 1, "SET v a")
        for server in state.servers.values():
            server.overloaded_until = world.now + 10
        assert world.execute("vm1", 1, "READ x").refusal is None
        world.advance(3)
        assert world.execute("vm1", 1, "READ x").refusal is None
        ran = [c for c in world.connections.values() if c.vm == "vm1"]
        values = [c.values.get("v") for c in ran if c.server.name == "s1"]
        assert "a" in values


class TestWrites:
    def test_refused_by_the_server_is_sent_again(self):
        """Guards against reporting a refusal that a retry could have avoided."""
        world = start()
        world.connect("vm1", 1)
        world.servers["s1"].answer_busy = 1
        assert world.execute("vm1", 1, "WRITE x 1").refusal is None
        assert len(world.servers["s1"].commits) == 1

    def test_without_an_answer_is_not_sent_again(self):
        """Guards against a write that takes effect twice."""
        world = start()
        world.connect("vm1", 1)
        world.servers["s1"].lose_answers = 1
        assert world.execute("vm1", 1, "WRITE x 1").refusal is Refusal.IN_DOUBT
        assert len(world.servers["s1"].commits) == 1


class TestReads:
    def test_replica_that_lacks_the_sessions_commit_is_passed_over(self):
        """Guards against a session that does not see its own write."""
        world = start()
        world.connect("vm2", 1, "crew")
        for server in ("s2", "s3"):
            world.servers[server].replication_paused = True
        assert world.execute("vm2", 1, "WRITE x 1").refusal is None
        answer = world.execute("vm2", 1, "READ x")
        assert answer.signature.startswith("s1")

    def test_near_server_is_preferred(self):
        """Guards against reads that go to another region unnecessarily."""
        world = start()
        world.connect("vm3", 1, "views")
        for _ in range(5):
            assert world.execute("vm3", 1, "READ x").signature.startswith("s3")

    def test_read_without_an_answer_is_hedged(self):
        """Guards against a read that times out though other servers could answer.

        The server ran it and its answer was lost.
        """
        world = start()
        world.connect("vm3", 1, "views")
        world.execute("vm3", 1, "READ x")
        world.servers["s3"].lose_answers = 1
        began = world.now
        assert world.execute("vm3", 1, "READ x").refusal is None
        assert world.now - began < 0.5

    def test_second_run_that_is_refused_leaves_the_first_one(self):
        """Guards against a read that is answered twice.

        The second run is refused while the first one is still running.
        """
        world = start()
        world.connect("vm3", 1, "views")
        world.execute("vm3", 1, "READ x")
        world.servers["s3"].statement_time = 0.3
        for name in ("s1", "s2"):
            world.servers[name].answer_busy = 5
        world.send_statement("vm3", 1, "READ x")
        world.advance(3)
        assert len(world.replies["vm3", 1]) == 2

    def test_answer_after_another_one_is_dropped(self):
        """Guards against a second answer when both runs of a read succeed."""
        world = start()
        world.connect("vm3", 1)
        world.execute("vm3", 1, "READ x")
        world.servers["s1"].statement_time = 0.2
        world.send_statement("vm3", 1, "READ x")
        world.advance(3)
        assert len(world.replies["vm3", 1]) == 2


class TestShutdown:
    def test_open_work_ends_first(self):
        """Guards against a shutdown that interrupts a statement or transaction."""
        world = start(statement_time=0.1)
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        assert world.execute("vm1", 1, "WRITE x 1").refusal is None
        world.shut_down("vm1")
        world.advance(2.0)
        assert world.execute("vm1", 1, "COMMIT").refusal is None
        world.advance(0.7 * world.states["vm1"].grace - 2.0)
        assert "vm1" in world.stopped

    def test_caller_that_sends_late_is_answered(self):
        """Guards against a statement that crosses with the end of an idle session.

        The session is closed right after the answer instead.
        """
        world = start()
        world.connect("vm1", 1)
        assert world.execute("vm1", 1, "WRITE x 1").refusal is None
        world.shut_down("vm1")
        world.advance(3.5)
        assert ("vm1", 1, None) not in world.closed
        assert world.execute("vm1", 1, "WRITE x 2").refusal is None
        world.advance(0.1)
        assert ("vm1", 1, None) in world.closed
        assert "vm1" in world.stopped

    def test_ends_within_the_grace(self):
        """Guards against a process that the platform has to kill."""
        world = start()
        world.connect("vm1", 1)
        world.execute("vm1", 1, "BEGIN")
        world.execute("vm1", 1, "WRITE x 1")
        world.shut_down("vm1")
        world.advance(5.8)
        assert "vm1" in world.stopped
        assert not world.servers["s1"].commits
