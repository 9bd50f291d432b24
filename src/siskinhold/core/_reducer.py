"""The reducer: dispatches events to their handlers and advances the clock.

Each component's module defines tables of handlers by type: `EVENTS`,
`MESSAGES`, `TIMERS`, `STORE_ANSWERS` and `CONTROL_ANSWERS` (both by the type of
the call's purpose). A handler takes `(node, item, out)` and appends effects to
`out`; the handler of a store or control answer takes
`(node, purpose, event, out)`.
"""

from collections import deque

from ..effects import SendPeer
from ..events import (
    ControlAnswered,
    Event,
    PeerReceived,
    StatusReported,
    StoreAnswered,
    TimeAdvanced,
)
from ..messages import Envelope
from ._handlers import (
    CONTROL_ANSWERS,
    EVENTS,
    MESSAGES,
    STORE_ANSWERS,
    TIMERS,
    reconcile_if_changed,
)
from ._state import Effects, NodeState


def reduce(node: NodeState, event: Event) -> Effects:
    """Apply `event` to `node` and return the resulting effects in order.

    It never blocks, and it accepts events in any order.
    """
    out: Effects = []
    node.now = max(node.now, event.at)
    if isinstance(event, TimeAdvanced):
        _run_timers(node, out)
    elif isinstance(event, PeerReceived):
        _handle_message(node, event, out)
    elif isinstance(event, StoreAnswered):
        _handle_answer(node.store_calls, STORE_ANSWERS, node, event, out)
    elif isinstance(event, (StatusReported, ControlAnswered)):
        _handle_answer(node.control_calls, CONTROL_ANSWERS, node, event, out)
    for handler in EVENTS.get(type(event), ()):
        handler(node, event, out)
    reconcile_if_changed(node, out)
    return _deliver_locally(node, out)


def _deliver_locally(node: NodeState, out: Effects) -> Effects:
    """Handle the messages that the VM sends to itself; return the other effects.

    Handlers can therefore send to a VM without checking whether it is this one.
    """
    me = node.identity.name
    kept: Effects = []
    pending = deque(out)
    while pending:
        effect = pending.popleft()
        if not isinstance(effect, SendPeer) or effect.vm != me:
            kept.append(effect)
            continue
        more: Effects = []
        envelope = Envelope(
            sender=me,
            incarnation=node.identity.incarnation,
            receiver_incarnation=node.identity.incarnation,
            clock=node.clock,
            message=effect.message,
        )
        _handle_message(node, PeerReceived(at=node.now, envelope=envelope), more)
        pending.extendleft(reversed(more))
    return kept


def _run_timers(node: NodeState, out: Effects) -> None:
    """Run the handlers of all timers that are due."""
    while (action := node.timers.pop_due(node.now)) is not None:
        for handler in TIMERS.get(type(action), ()):
            handler(node, action, out)


def _handle_message(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Run the handlers of a message unless it is for another incarnation."""
    envelope = event.envelope
    expected = envelope.receiver_incarnation
    if expected and expected != node.identity.incarnation:
        return
    node.clock = max(node.clock, envelope.clock) + 1
    for handler in MESSAGES.get(type(envelope.message), ()):
        handler(node, event, out)


def _handle_answer(calls, handlers, node: NodeState, event, out: Effects) -> None:
    """Run the handlers of an answered call by its purpose; ignore unknown calls."""
    purpose = calls.pop(event.call, None)
    if purpose is None:
        return
    for handler in handlers.get(type(purpose), ()):
        handler(node, purpose, event, out)
