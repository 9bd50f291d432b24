"""State of scheduling: policy, service times by statement shape, retry counts."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from ._queue import JobQueue, Queue


@dataclass(slots=True, kw_only=True)
class SchedulingRules:
    """Which parts of the scheduling policy are enabled; all are by default.

    Measurements disable parts to show the effect of each one.

    Args:
        make_queue: returns a new queue for a pool.
        learn_shapes: whether long jobs are identified by the measured service
            times of their shapes.
        reserve_slots: whether slots are kept free of long jobs.
        admit: whether jobs that can't be served in time are refused early.
    """

    make_queue: Callable[[], Queue] = JobQueue
    learn_shapes: bool = True
    reserve_slots: bool = True
    admit: bool = True


@dataclass(slots=True, kw_only=True)
class ShapeTime:
    """Measured service times of one statement shape.

    Args:
        log_mean: moving average of the natural logarithm of the seconds.
        count: number of measured statements.
    """

    log_mean: float
    count: int = 0


@dataclass(slots=True, kw_only=True)
class RetryWindow:
    """Requests and retries in the current calendar second and the one before.

    Args:
        second: number of the current second.
        requests: requests in the previous and in the current second.
        retries: retries in the previous and in the current second.
    """

    second: int = 0
    requests: list[int] = field(default_factory=lambda: [0, 0])
    retries: list[int] = field(default_factory=lambda: [0, 0])


@dataclass(slots=True, kw_only=True)
class SchedulingState:
    """State of `_stragglers`, `_admission` and `_retries`.

    Args:
        rules: which parts of the policy are enabled.
        shapes: service times by shape, the most recently used last.
        short_log_mean: moving average of the natural logarithm of all service
            times that are not long, relative to `INITIAL_SHORT_SECONDS`.
        retries: counters of the retry budget.
    """

    rules: SchedulingRules = field(default_factory=SchedulingRules)
    shapes: OrderedDict[int, ShapeTime] = field(default_factory=OrderedDict)
    short_log_mean: float = 0.0
    retries: RetryWindow = field(default_factory=RetryWindow)
