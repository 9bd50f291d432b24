"""What is kept for scheduling: rules, service times of shapes, retries."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._queue import JobQueue, Queue


@dataclass(slots=True, kw_only=True)
class SchedulingRules:
    """Which parts of the policy are in force; all are by default.

    Trials switch parts off to measure what each one brings.

    Args:
        make_queue: makes the queue of a pool.
        learn_shapes: whether service times of shapes tell long work.
        reserve_slots: whether slots are kept free of long work.
        admit: whether work that can't be served in time is refused early.
    """

    make_queue: Callable[[], Queue] = JobQueue
    learn_shapes: bool = True
    reserve_slots: bool = True
    admit: bool = True


@dataclass(slots=True, kw_only=True)
class ShapeTime:
    """Service times of one shape.

    Args:
        log_mean: moving average of the natural logarithm of the seconds.
        count: measured statements, up to where the average's weight is fixed.
    """

    log_mean: float
    count: int = 0


@dataclass(slots=True, kw_only=True)
class RetryWindow:
    """Requests and retries of the second under way and of the last one.

    Args:
        second: number of the second under way.
        requests: requests of the last second and of the one under way.
        retries: retries likewise.
    """

    second: int = 0
    requests: list[int] = field(default_factory=lambda: [0, 0])
    retries: list[int] = field(default_factory=lambda: [0, 0])


@dataclass(slots=True, kw_only=True)
class SchedulingState:
    """State of `_stragglers`, `_admission` and `_retries`.

    Args:
        rules: which parts of the policy are in force.
        shapes: service times by shape, the most recently used last.
        short_log_mean: moving average of the logarithm of all service times
            that are not long.
        retries: what the retry budget counts.
    """

    rules: SchedulingRules = field(default_factory=SchedulingRules)
    shapes: OrderedDict[int, ShapeTime] = field(default_factory=OrderedDict)
    short_log_mean: float = 0.0
    retries: RetryWindow = field(default_factory=RetryWindow)
