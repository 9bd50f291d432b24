"""Queue order, long jobs and admission."""

import random

from siskinhold.core import Identity, NodeState
from siskinhold.core._admission import MAX_WAITING_JOBS, admits, is_too_late
from siskinhold.core._placement import allows_replicas
from siskinhold.core._pool_state import Pool
from siskinhold.core._queue import JobQueue
from siskinhold.core._stragglers import (
    MAX_SHAPES,
    classify,
    compute_long_slot_limit,
    record_service_time,
)
from siskinhold.model import Marks, Position, StatementKind
from siskinhold_trial.load import (
    CRANNOG,
    MALABAR,
    Deployment,
    make_job,
    make_policy,
    measure_peak_load,
)
from siskinhold_trial.load._deployments import make_vm


def make_node() -> NodeState:
    """Return a VM's state without servers."""
    return NodeState(
        identity=Identity(address=make_vm(), incarnation=1), random=random.Random(1)
    )


def drain(queue: JobQueue, accept=lambda job: True, **options) -> list[int]:
    """Take all acceptable jobs and return their numbers in order."""
    numbers = []
    while (job := queue.take(accept, 0.5, **options)) is not None:
        numbers.append(job.id.sequence)
    return numbers


class TestQueueOrder:
    def test_classes(self):
        """Guards against serving reads or unmarked writes before marked writes."""
        queue = JobQueue()
        write = StatementKind.WRITE
        queue.push(make_job(1, tenant="a"))
        queue.push(make_job(2, tenant="a", need=Position(1, 1)))
        queue.push(make_job(3, tenant="a", kind=write))
        queue.push(make_job(4, tenant="a", kind=write, marks=Marks(once=True)))
        assert drain(queue) == [4, 3, 2, 1]
        assert len(queue) == 0

    def test_earliest_deadline_first_within_a_tenant(self):
        """Guards against serving in order of arrival when deadlines differ."""
        queue = JobQueue()
        for number, deadline in ((1, 3.0), (2, 1.0), (3, 2.0)):
            queue.push(make_job(number, tenant="a", deadline=deadline))
        assert drain(queue) == [2, 3, 1]

    def test_busy_tenant_does_not_delay_the_other(self):
        """Guards against a tenant's backlog that delays another tenant's only job."""
        queue = JobQueue()
        for number in range(100):
            queue.push(make_job(number, tenant="busy"))
        queue.push(make_job(100, tenant="quiet", deadline=9.0))
        assert drain(queue).index(100) <= 10

    def test_tenants_share_by_service_time(self):
        """Guards against fairness by job count, which favours costly statements."""
        queue = JobQueue()
        for number in range(400):
            job = make_job(number, tenant="cheap" if number % 2 else "costly")
            job.expected = 0.001 if number % 2 else 0.01
            queue.push(job)
        seconds = [0.0, 0.0]
        for number in drain(queue)[:150]:
            seconds[number % 2] += 0.001 if number % 2 else 0.01
        assert 0.8 < seconds[0] / seconds[1] < 1.25

    def test_refused_jobs_stay_and_do_not_hide_others(self):
        """Guards against a server that idles behind jobs that it can't serve."""
        queue = JobQueue()
        for number in range(300):
            queue.push(make_job(number, tenant=f"t{number % 100}"))
        wanted = {250, 299}
        found = set()
        for _ in range(20):
            job = queue.take(lambda job: job.id.sequence in wanted, 0.5)
            found |= {job.id.sequence} if job else set()
        assert found == wanted
        assert len(queue) == 298

    def test_oldest_long_job_goes_first_after_a_second(self):
        """Guards against long jobs that starve behind short ones."""
        queue = JobQueue()
        queue.push(make_job(1, tenant="a"))
        long = make_job(2, tenant="a")
        long.long = True
        queue.push(long)
        assert queue.take(lambda job: True, 1.5, allow_long=False).id.sequence == 1
        queue.push(make_job(3, tenant="a"))
        assert queue.take(lambda job: True, 1.5).id.sequence == 2


class TestLongJobs:
    def test_limits_of_both_deployments(self):
        """Guards against a limit that leaves no slot for short jobs."""
        assert compute_long_slot_limit(CRANNOG.slots) == 3
        assert compute_long_slot_limit(MALABAR.slots) == 1

    def test_shape_is_learnt_and_single_stragglers_are_not(self):
        """Guards against an average that single stragglers raise for a short shape."""
        node = make_node()
        pool = Pool(database="db", region="home")
        job = make_job(1, tenant="a")
        for count in range(200):
            job.shape = 1
            record_service_time(node, pool, job, 0.6 if count % 50 == 49 else 0.004)
            job.shape = 2 if count % 50 == 0 else 1
            record_service_time(node, pool, job, 0.6 if job.shape == 2 else 0.004)
        job.shape = 1
        classify(node, job)
        assert not job.long
        job.shape = 2
        classify(node, job)
        assert job.long

    def test_shapes_are_bounded(self):
        """Guards against memory use that grows with the number of shapes."""
        node = make_node()
        pool = Pool(database="db", region="home")
        job = make_job(1, tenant="a")
        for shape in range(MAX_SHAPES + 10):
            job.shape = shape
            record_service_time(node, pool, job, 0.004)
        assert len(node.scheduling.shapes) == MAX_SHAPES
        assert 0 not in node.scheduling.shapes


class TestAdmission:
    def test_queue_is_bounded_with_a_higher_bound_for_marked_writes(self):
        """Guards against an unbounded queue and early refusal of marked writes."""
        node = make_node()
        pool = Pool(database="db", region="home")
        for number in range(MAX_WAITING_JOBS):
            pool.queue.push(make_job(number, tenant="a"))
        assert not admits(node, pool, make_job(-1, tenant="a"))
        marked = make_job(-2, tenant="a", marks=Marks(once=True))
        assert admits(node, pool, marked)

    def test_job_that_cannot_end_in_time_is_not_started(self):
        """Guards against slots spent on answers that come after the deadline."""
        node = make_node()
        node.now = 4.999
        assert is_too_late(node, make_job(1, tenant="a"))
        assert not is_too_late(node, make_job(1, tenant="a", deadline=6.0))

    def test_goodput_at_peak_load(self):
        """Guards against a collapse of goodput at five times the capacity."""
        small = Deployment(name="small", slots=1)
        result = measure_peak_load(small, make_policy(), seconds=0.5)
        assert result.crest_goodput >= 0.95 * result.capacity_goodput
        assert result.marked_refused < 0.01 < result.reads_refused
        assert result.recovery <= 2.0


class TestReplicaReads:
    def test_unknown_rules_allow_no_replica(self):
        """Guards against a replica that serves a read as nothing says that it may."""
        assert not allows_replicas(make_node(), make_job(1, tenant="a"))
