"""Measurement of the time to take a job from a long queue."""

import statistics
import time
from collections.abc import Callable

from siskinhold.core import Job, Queue
from siskinhold.model import Request, RequestId, StatementKind

TAKE_COUNT = 100
"""Number of jobs taken and pushed back in one measurement."""


def make_job(number: int, *, tenant: str, deadline: float = 5.0, **fields) -> Job:
    """Return a queued read; `fields` are further fields of its request."""
    request = Request(
        id=RequestId("vm", 1, number),
        database="db",
        tenant=tenant,
        kind=fields.pop("kind", StatementKind.READ),
        sql="SELECT 1",
        **fields,
    )
    return Job(
        request=request,
        origin="vm",
        region="home",
        arrived=0.0,
        deadline=deadline,
        expected=0.003,
    )


def measure_take_time(
    make_queue: Callable[[], Queue], waiting: int, *, refused: bool = False
) -> float:
    """Return the median time in us to take one of `waiting` queued jobs.

    Args:
        refused: whether the server accepts none of the jobs.
    """
    queue = make_queue()
    for number in range(waiting):
        job = make_job(
            number, tenant=f"t{number % 20}", deadline=1.0 + number * 7919 % waiting
        )
        queue.push(job)
    spent = []
    for _ in range(TAKE_COUNT):
        begin = time.perf_counter()
        job = queue.take(lambda item: not refused, 0.5)
        spent.append(time.perf_counter() - begin)
        if job is not None:
            queue.push(job)
    return statistics.median(spent) * 1e6
