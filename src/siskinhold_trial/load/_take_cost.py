"""What taking a work from a long queue costs."""

import statistics
import time
from collections.abc import Callable

from siskinhold.core import Job, Queue
from siskinhold.model import Request, RequestId, StatementKind

TAKES = 100
"""Works that are taken and pushed back for one measurement."""


def make_job(number: int, *, tenant: str, deadline: float = 5.0, **fields) -> Job:
    """Return a waiting read; `fields` are other fields of its request."""
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


def measure_take(
    make_queue: Callable[[], Queue], waiting: int, *, refused: bool = False
) -> float:
    """Return the median of the microseconds of a take while `waiting` works wait.

    Args:
        refused: whether the server accepts none of them.
    """
    queue = make_queue()
    for number in range(waiting):
        job = make_job(
            number, tenant=f"t{number % 20}", deadline=1.0 + number * 7919 % waiting
        )
        queue.push(job)
    spent = []
    for _ in range(TAKES):
        begin = time.perf_counter()
        job = queue.take(lambda item: not refused, 0.5)
        spent.append(time.perf_counter() - begin)
        if job is not None:
            queue.push(job)
    return statistics.median(spent) * 1e6
