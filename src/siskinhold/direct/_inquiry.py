"""Questions to VMs that only relay callers, whether they reach a suspected primary.

It answers a partition in which a single connection holder is on the side with the
majority of the servers: no other holder there can confirm the loss of the primary, and
the database would stay without one on both sides until its entry lapses. VMs that relay
know neither the servers nor the suspicions, but can tell whether an address answers.
"""

from ._effects import AskVms
from ._events import VmsAsked
from ._promotion_state import Promotion, PromotionStep
from ._promotion_steps import register_call
from ._state import Database, DirectState, Effects

ASK_DELAY = 0.4
"""Seconds after a suspicion until others are asked: with enough holders, their own
suspicions are published by then."""

ASK_INTERVAL = 1.1
"""Seconds between two rounds of questions; one takes up to a second."""

ASKED_VMS = 5
"""Number of VMs that are asked in a round."""

INQUIRY = "inquiry"
"""Purpose of the call."""


def ask_about_primary(
    state: DirectState, database: Database, promotion: Promotion, out: Effects
) -> None:
    """Ask some VMs that are no holders whether they reach the suspected primary.

    Holders are not asked, as they publish their own suspicions. The answers count only
    once the replicas seem to be cut off from the primary as well.
    """
    server = state.servers.get(promotion.leader)
    if promotion.cause != "unreachable" or server is None:
        return
    if state.now - promotion.began_at < ASK_DELAY:
        return
    if state.now - promotion.asked_at < ASK_INTERVAL:
        return
    holders = {vm.name for vm in state.holders}
    others = [vm for vm in state.vms if vm.name not in holders and vm.relay_port]
    if not others:
        return
    promotion.asked_at = state.now
    promotion.asked_call = register_call(state, INQUIRY, database)
    asked = state.random.sample(others, min(ASKED_VMS, len(others)))
    out.append(
        AskVms(
            call=promotion.asked_call,
            vms=tuple(asked),
            host=server.entry.host,
            port=server.entry.port,
        )
    )


def handle_vms_asked(state: DirectState, event: VmsAsked, out: Effects) -> None:
    """Record which VMs miss the primary; none counts if another one reaches it."""
    purpose, name = state.calls.pop(event.call, ("", ""))
    database = state.databases.get(name)
    if purpose != INQUIRY or database is None or database.promotion is None:
        return
    promotion = database.promotion
    if promotion.asked_call != event.call:
        return
    if promotion.step is not PromotionStep.SUSPECTING:
        return
    promotion.missed_by = () if event.reached else event.missed
