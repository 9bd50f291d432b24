"""Tests of servers that accept connections but fail the statements."""

from siskinhold.direct import BackendLost, LossReason, Refusal

from .test_direct_load import run_load, start


def break_off(world, server, vms=("vm1", "vm2", "vm3")):
    """Make a server break off the statements of some VMs."""
    world.servers[server].breaks_off_for = set(vms)


def run_on_all(world, *, rate, seconds, database="orders", text="WRITE x 1"):
    """Run statements on all VMs at once; return their answers by time of sending."""
    answers = []
    begin = world.now
    for index in range(int(rate * seconds)):
        for vm in world.states:
            world.order += 1
            session = 1000 + world.order
            answers.append((world.now + index / rate, vm, session))

            def arrive(vm=vm, session=session):
                world.connect(vm, session, database)
                world.send_statement(vm, session, text)

            world.at(begin + index / rate, arrive)
    world.advance(seconds + 3)
    return [(at, world.replies[vm, session][0][1]) for at, vm, session in answers]


class TestFailingPrimary:
    def test_is_replaced(self):
        """Guards against writes that end in doubt for as long as a primary fails them.

        Load: 20 writes per second on each of three VMs.
        """
        world = start()
        break_off(world, "s1")
        began = world.now
        answers = run_on_all(world, rate=20, seconds=6)
        late = [answer for at, answer in answers if at >= began + 3.5]
        assert late and all(answer.refusal is None for answer in late)
        assert not world.servers["s1"].leads

    def test_few_writes_end_in_doubt(self):
        """Guards against further writes to a primary that fails them all."""
        world = start()
        break_off(world, "s1")
        answers = run_on_all(world, rate=20, seconds=6)
        doubtful = [a for _, a in answers if a.refusal is Refusal.IN_DOUBT]
        assert len(doubtful) <= 10 * len(world.states)
        refused = {a.refusal for _, a in answers} - {None, Refusal.IN_DOUBT}
        assert refused <= {Refusal.OVERLOAD}

    def test_is_not_replaced_if_it_serves_the_other_vms(self):
        """Guards against a VM with a fault of its own that replaces primaries."""
        world = start()
        break_off(world, "s1", vms=("vm1",))
        run_on_all(world, rate=20, seconds=6)
        assert world.find_logs("server_failing")
        assert not world.orders

    def test_loses_no_acknowledged_commit(self):
        """Guards against a replacement without the step-down of the old primary."""
        world = start()
        answers = run_on_all(world, rate=20, seconds=2)
        break_off(world, "s1")
        answers += run_on_all(world, rate=20, seconds=6)
        done = [a for _, a in answers if a.refusal is None]
        kept = {
            (term, number)
            for s in world.servers.values()
            for _, term, number in s.commits
        }
        assert len(kept) >= len(done)
        leader = [s for s in world.servers.values() if s.leads][0]
        old = world.servers["s1"].commits[-1]
        assert leader.commits[0][2] > old[2]


class TestFailingReplica:
    def test_reads_are_served_by_the_others(self):
        """Guards against reads that are tried on a failing server first, every time."""
        world = start()
        replica = world.servers["s2"]
        break_off(world, "s2")
        sent = []
        run = world.send

        def count(vm, number, command):
            connection = world.connections.get((vm, number))
            if connection and connection.server is replica and command.request:
                sent.append(command.request)
            run(vm, number, command)

        world.send = count
        outcomes = run_load(
            world, rate=50, seconds=4, database="views", text="READ x", vm="vm2"
        )
        assert all(o.answer.refusal is None for o in outcomes)
        assert len(sent) <= 20

    def test_failed_read_runs_again_on_another_server(self):
        """Guards against a failure that another server would not have."""
        world = start()
        world.servers["s2"].fails_statements = True
        world.connect("vm2", 1, "views")
        for _ in range(10):
            assert world.execute("vm2", 1, "READ x").refusal is None

    def test_is_used_again_once_it_works(self):
        """Guards against a server that stays unused for good."""
        world = start()
        replica = world.servers["s2"]
        run_load(world, rate=20, seconds=1, database="views", text="READ x", vm="vm2")
        usual = len(replica.ran)
        break_off(world, "s2")
        run_load(world, rate=20, seconds=1, database="views", text="READ x", vm="vm2")
        replica.breaks_off_for.clear()
        world.advance(6)
        replica.ran.clear()
        run_load(world, rate=20, seconds=1, database="views", text="READ x", vm="vm2")
        assert len(replica.ran) >= 0.8 * usual > 0

    def test_all_failing_servers_are_still_tried(self):
        """Guards against refusals while the only servers fail just some statements."""
        world = start()
        for name in world.servers:
            break_off(world, name)
        run_load(world, rate=50, seconds=0.5, database="views", text="READ x", vm="vm2")
        for name in world.servers:
            world.servers[name].breaks_off_for.clear()
        world.connect("vm2", 1, "views")
        assert world.execute("vm2", 1, "READ x").refusal is None


class TestResets:
    def test_connections_reset_at_one_moment_are_no_failing_server(self):
        """Guards against a primary that is replaced after a network fault."""
        world = start()
        for session in range(1, 9):
            world.connect("vm1", session, "views")
            world.send_statement("vm1", session, "READ x")
        world.advance(0.005)
        for vm, number in list(world.connections):
            del world.connections[vm, number]
            lost = BackendLost(at=0, connection=number, reason=LossReason.CLOSED)
            world.deliver(vm, world.now, lost)
        world.advance(2)
        assert not world.find_logs("server_failing")
