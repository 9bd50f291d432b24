"""Queue order, long work and admission."""

import random

from siskinhold.core import Identity, NodeState
from siskinhold.core._admission import MAX_WAITING, admits, is_too_late
from siskinhold.core._pool_state import Pool
from siskinhold.core._queue import WorkQueue
from siskinhold.core._stragglers import MAX_SHAPES, classify, limit_long, note_service
from siskinhold.model import Marks, Position, StatementKind
from siskinhold_trial.load import (
    CRANNOG,
    MALABAR,
    Deployment,
    make_policy,
    make_work,
    measure_peak_load,
)
from siskinhold_trial.load._deployments import make_vm


def make_node() -> NodeState:
    """Return a VM's state without servers."""
    return NodeState(
        identity=Identity(address=make_vm(), incarnation=1), random=random.Random(1)
    )


def drain(queue: WorkQueue, accept=lambda work: True, **options) -> list[int]:
    """Take all that can be taken and return the works' numbers."""
    numbers = []
    while (work := queue.take(accept, 0.5, **options)) is not None:
        numbers.append(work.id.sequence)
    return numbers


class TestQueueOrder:
    def test_classes(self):
        """Guards against reads or unmarked writes before marked writes."""
        queue = WorkQueue()
        write = StatementKind.WRITE
        queue.push(make_work(1, tenant="a"))
        queue.push(make_work(2, tenant="a", need=Position(1, 1)))
        queue.push(make_work(3, tenant="a", kind=write))
        queue.push(make_work(4, tenant="a", kind=write, marks=Marks(once=True)))
        assert drain(queue) == [4, 3, 2, 1]
        assert len(queue) == 0

    def test_earliest_deadline_first_within_a_tenant(self):
        """Guards against order of arrival when deadlines differ."""
        queue = WorkQueue()
        for number, deadline in ((1, 3.0), (2, 1.0), (3, 2.0)):
            queue.push(make_work(number, tenant="a", deadline=deadline))
        assert drain(queue) == [2, 3, 1]

    def test_busy_tenant_does_not_delay_the_other(self):
        """Guards against a tenant's backlog going before another's one work."""
        queue = WorkQueue()
        for number in range(100):
            queue.push(make_work(number, tenant="busy"))
        queue.push(make_work(100, tenant="quiet", deadline=9.0))
        assert drain(queue).index(100) <= 10

    def test_tenants_share_by_service_time(self):
        """Guards against fairness by count, which favours costly statements."""
        queue = WorkQueue()
        for number in range(400):
            work = make_work(number, tenant="cheap" if number % 2 else "costly")
            work.expected = 0.001 if number % 2 else 0.01
            queue.push(work)
        seconds = [0.0, 0.0]
        for number in drain(queue)[:150]:
            seconds[number % 2] += 0.001 if number % 2 else 0.01
        assert 0.8 < seconds[0] / seconds[1] < 1.25

    def test_refused_works_stay_and_do_not_hide_others(self):
        """Guards against a server that starves behind works it can't serve."""
        queue = WorkQueue()
        for number in range(300):
            queue.push(make_work(number, tenant=f"t{number % 100}"))
        wanted = {250, 299}
        found = set()
        for _ in range(20):
            work = queue.take(lambda work: work.id.sequence in wanted, 0.5)
            found |= {work.id.sequence} if work else set()
        assert found == wanted
        assert len(queue) == 298

    def test_oldest_long_work_goes_first_after_a_second(self):
        """Guards against long work that starves behind short work."""
        queue = WorkQueue()
        queue.push(make_work(1, tenant="a"))
        long = make_work(2, tenant="a")
        long.long = True
        queue.push(long)
        assert queue.take(lambda work: True, 1.5, allow_long=False).id.sequence == 1
        queue.push(make_work(3, tenant="a"))
        assert queue.take(lambda work: True, 1.5).id.sequence == 2


class TestLongWork:
    def test_limits_of_both_deployments(self):
        """Guards against a limit that leaves short work no slot."""
        assert limit_long(CRANNOG.slots) == 3
        assert limit_long(MALABAR.slots) == 1

    def test_shape_is_learnt_and_single_stragglers_are_not(self):
        """Guards against an average that one straggler of a short shape moves."""
        node = make_node()
        pool = Pool(database="db", region="home")
        work = make_work(1, tenant="a")
        for count in range(200):
            work.shape = 1
            note_service(node, pool, work, 0.6 if count % 50 == 49 else 0.004)
            work.shape = 2 if count % 50 == 0 else 1
            note_service(node, pool, work, 0.6 if work.shape == 2 else 0.004)
        work.shape = 1
        classify(node, work)
        assert not work.long
        work.shape = 2
        classify(node, work)
        assert work.long

    def test_shapes_are_bounded(self):
        """Guards against memory that grows with the number of shapes."""
        node = make_node()
        pool = Pool(database="db", region="home")
        work = make_work(1, tenant="a")
        for shape in range(MAX_SHAPES + 10):
            work.shape = shape
            note_service(node, pool, work, 0.004)
        assert len(node.scheduling.shapes) == MAX_SHAPES
        assert 0 not in node.scheduling.shapes


class TestAdmission:
    def test_queue_is_bounded_and_marked_writes_come_later_to_the_bound(self):
        """Guards against unbounded memory, and against refusing marked writes."""
        node = make_node()
        pool = Pool(database="db", region="home")
        for number in range(MAX_WAITING):
            pool.queue.push(make_work(number, tenant="a"))
        assert not admits(node, pool, make_work(-1, tenant="a"))
        marked = make_work(-2, tenant="a", marks=Marks(once=True))
        assert admits(node, pool, marked)

    def test_work_that_cannot_end_in_time_is_not_begun(self):
        """Guards against slots spent on answers that nobody waits for."""
        node = make_node()
        node.now = 4.999
        assert is_too_late(node, make_work(1, tenant="a"))
        assert not is_too_late(node, make_work(1, tenant="a", deadline=6.0))

    def test_goodput_at_the_crest(self):
        """Guards against a collapse at five times capacity."""
        small = Deployment(name="small", slots=1)
        result = measure_peak_load(small, make_policy(), seconds=0.5)
        assert result.crest_goodput >= 0.95 * result.capacity_goodput
        assert result.marked_refused < 0.01 < result.reads_refused
        assert result.recovery <= 2.0
