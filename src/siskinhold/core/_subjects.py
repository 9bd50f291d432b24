"""The tables of handlers of all subjects, joined.

The order of `_SUBJECTS` is the order in which the handlers of one event run:
evidence first, then what is decided from it.
"""

from . import (
    _answers,
    _confirmation,
    _failover,
    _first_records,
    _health,
    _membership,
    _owners,
    _promotion,
    _routes,
    _sessions,
    _shutdown,
    _silence,
    _tickets,
)
from ._owners import drain_all, reconcile
from ._state import Effects, NodeState

_SUBJECTS = (
    _membership,
    _tickets,
    _health,
    _answers,
    _silence,
    _confirmation,
    _owners,
    _failover,
    _first_records,
    _promotion,
    _sessions,
    _routes,
    _shutdown,
)


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
    """Bring pools and requests in line after the view or configuration changed."""
    seen = (node.membership.version, node.config.version)
    if seen == node.settled:
        return
    node.settled = seen
    reconcile(node, out)
    drain_all(node, out)
