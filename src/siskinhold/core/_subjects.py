"""The tables of handlers of all subjects, joined."""

from . import _membership, _tickets
from ._state import Effects, NodeState

_SUBJECTS = (_membership, _tickets)


def _join(table: str) -> dict:
    joined: dict = {}
    for subject in _SUBJECTS:
        for kind, handler in getattr(subject, table).items():
            joined.setdefault(kind, []).append(handler)
    return joined


EVENTS = _join("EVENTS")
MESSAGES = _join("MESSAGES")
TIMERS = _join("TIMERS")
STORE_ANSWERS = _join("STORE_ANSWERS")
CONTROL_ANSWERS = _join("CONTROL_ANSWERS")


def settle(node: NodeState, out: Effects) -> None:
    """Bring subjects in line after the view or the configuration changed."""
