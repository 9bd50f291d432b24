"""The reducer and its state."""

from ._ownership import find_owner
from ._reducer import reduce
from ._state import Effects, Identity, NodeState
from ._timers import TimerAction, Timers

__all__ = [
    "Effects",
    "Identity",
    "NodeState",
    "TimerAction",
    "Timers",
    "find_owner",
    "reduce",
]
