"""The proxy's decision logic: a pure reducer over events, and its state."""

from ._membership import (
    find_address,
    find_incarnation,
    find_owner,
    is_watcher,
    list_live,
)
from ._queue import Job, JobQueue, Queue
from ._reducer import reduce
from ._scheduling_state import SchedulingRules
from ._state import Effects, Identity, NodeState
from ._timers import TimerAction, Timers

__all__ = [
    "Effects",
    "Identity",
    "NodeState",
    "Queue",
    "SchedulingRules",
    "TimerAction",
    "Timers",
    "Job",
    "JobQueue",
    "find_address",
    "find_incarnation",
    "find_owner",
    "is_watcher",
    "list_live",
    "reduce",
]
