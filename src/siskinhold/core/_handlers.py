"""The handler tables of all components, merged.

The handlers of one event run in the order of `_COMPONENTS`: components that
collect evidence come before those that decide from it.
"""

from dataclasses import dataclass

from . import (
    _answers,
    _confirmation,
    _failover,
    _first_records,
    _health,
    _lost_objects,
    _membership,
    _owners,
    _promotion,
    _routes,
    _sessions,
    _shutdown,
    _tickets,
    _unresponsive,
)
from ._owners import dispatch_all_pools, reconcile
from ._state import Effects, NodeState
from ._timers import TimerAction

_COMPONENTS = (
    _membership,
    _tickets,
    _lost_objects,
    _health,
    _answers,
    _unresponsive,
    _confirmation,
    _owners,
    _failover,
    _first_records,
    _promotion,
    _sessions,
    _routes,
    _shutdown,
)


RECONCILE_INTERVAL = 0.1
"""Seconds between two reconciliations for membership changes alone. Each one visits
all databases, and the loss of a zone changes the membership hundreds of times."""


@dataclass(slots=True, frozen=True)
class ReconcileDue(TimerAction):
    """Due time of a reconciliation that was put off by `RECONCILE_INTERVAL`."""


def _merge_tables(table: str) -> dict:
    """Return the handlers of all components by type, from the tables of one name."""
    joined: dict = {}
    for component in _COMPONENTS:
        for kind, handler in getattr(component, table).items():
            joined.setdefault(kind, []).append(handler)
    return joined


EVENTS = _merge_tables("EVENTS")
MESSAGES = _merge_tables("MESSAGES")
TIMERS = _merge_tables("TIMERS")
STORE_ANSWERS = _merge_tables("STORE_ANSWERS")
CONTROL_ANSWERS = _merge_tables("CONTROL_ANSWERS")


def reconcile_if_changed(node: NodeState, out: Effects) -> None:
    """Update pools and requests after a change of membership or configuration.

    A change of configuration takes effect at once; changes of membership alone
    are reconciled at most once per `RECONCILE_INTERVAL`.
    """
    versions = (node.membership.version, node.config.version)
    if versions == node.reconciled_versions:
        return
    if versions[1] == node.reconciled_versions[1] and node.now < node.reconcile_after:
        if not node.reconcile_scheduled:
            node.reconcile_scheduled = True
            node.timers.schedule(node.reconcile_after, ReconcileDue())
        return
    node.reconciled_versions = versions
    node.reconcile_after = node.now + RECONCILE_INTERVAL
    reconcile(node, out)
    dispatch_all_pools(node, out)


def _allow_reconciling(node: NodeState, action: ReconcileDue, out: Effects) -> None:
    """Let `reconcile_if_changed` process the changes of the last interval."""
    node.reconcile_scheduled = False
    node.reconcile_after = node.now


TIMERS[ReconcileDue] = [_allow_reconciling]
