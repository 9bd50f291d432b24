"""The tables of handlers of all subjects, joined.

The order of `_SUBJECTS` is the order in which the handlers of one event run:
evidence first, then what is decided from it.
"""

from dataclasses import dataclass

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
from ._timers import TimerAction

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


SETTLE_INTERVAL = 0.1
"""Seconds between two reconciliations with the view alone. Each looks at all
databases, and the loss of a zone changes the view hundreds of times."""


@dataclass(slots=True, frozen=True)
class SettleDue(TimerAction):
    """View changes wait to be reconciled with."""


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
    if seen[1] == node.settled[1] and node.now < node.settle_after:
        if not node.settle_due:
            node.settle_due = True
            node.timers.schedule(node.settle_after, SettleDue())
        return
    node.settled = seen
    node.settle_after = node.now + SETTLE_INTERVAL
    reconcile(node, out)
    drain_all(node, out)


def _allow_settling(node: NodeState, action: SettleDue, out: Effects) -> None:
    """Let `settle` run for the view changes of the last interval."""
    node.settle_due = False
    node.settle_after = node.now


TIMERS[SettleDue] = [_allow_settling]
