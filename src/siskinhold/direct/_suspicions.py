"""Suspicions of a primary's loss, by which other VMs confirm it."""

from ._effects import ListSuspicions, PublishSuspicion
from ._events import SuspicionsAnswered
from ._inquiry import ask_about_primary
from ._promotion import is_cut_off, request_progress
from ._promotion_state import Promotion, PromotionStep
from ._promotion_steps import (
    STEP_RETRY_INTERVAL,
    enter_step,
    log_promotion,
    may_call,
    pop_promotion_call,
    register_call,
)
from ._state import Database, DirectState, Effects
from ._types import FIRST_ERA, Suspicion

QUORUM_RATIO = 0.4
"""Share of the connection holders that must suspect a primary before it is replaced."""

MIN_VOTERS = 2
"""Number of holders that must suspect a primary in any case; it suffices if the
replicas receive nothing from the primary either."""

REPUBLISH_INTERVAL = 1.0
"""Seconds after a publication in which a list without this VM's suspicion does not lead
to another one: longer than the calls take."""

SUSPECTED_CAUSES = ("unreachable", "failing", "leaderless")
"""Causes that may be a fault of this VM, so that other VMs have to confirm them."""

NO_TERM = 0
"""Term of a suspicion that was withdrawn."""


def publish_suspicion(
    state, database: Database, promotion: Promotion, out: Effects
) -> None:
    """Publish that this VM suspects the primary, for the store's present era."""
    promotion.published_at = state.now
    suspicion = Suspicion(
        service=database.name,
        server=promotion.leader,
        term=promotion.term,
        vm=state.vm,
        era=state.store_era,
    )
    out.append(PublishSuspicion(suspicion=suspicion))


def withdraw_suspicion(state: DirectState, database: Database, out: Effects) -> None:
    """Withdraw this VM's suspicion, which would count for the rest of the term."""
    suspicion = Suspicion(
        service=database.name,
        server="",
        term=NO_TERM,
        vm=state.vm,
        era=state.store_era,
    )
    out.append(PublishSuspicion(suspicion=suspicion))


def collect_suspicions(
    state, database: Database, promotion: Promotion, out: Effects
) -> None:
    """Read the other VMs' suspicions and the replicas' replication progress."""
    if not may_call(state, promotion):
        return
    promotion.step_at = state.now
    request_progress(state, database, out)
    ask_about_primary(state, database, promotion, out)
    promotion.call = register_call(state, "suspicions", database)
    out.append(ListSuspicions(call=promotion.call, service=database.name))


def handle_suspicions(
    state: DirectState, event: SuspicionsAnswered, out: Effects
) -> None:
    """Continue a promotion if enough VMs suspect the primary in this term.

    Only suspicions of the store's present era count: in a restored store, one may be
    back that was withdrawn, and this VM's own may be lost, which is published again.
    """
    found = pop_promotion_call(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    promotion.repeat_at = state.now + STEP_RETRY_INTERVAL
    if event.suspicions is None or promotion.step is not PromotionStep.SUSPECTING:
        return
    voters = set()
    for suspicion in event.suspicions:
        if suspicion.term != promotion.term or suspicion.service != database.name:
            continue
        if max(suspicion.era, FIRST_ERA) == max(state.store_era, FIRST_ERA):
            voters.add(suspicion.vm)
    republish_at = promotion.published_at + REPUBLISH_INTERVAL
    if state.vm not in voters and state.now >= republish_at:
        publish_suspicion(state, database, promotion, out)
    if is_cut_off(state, database):
        voters.update(promotion.missed_by)
    known = max(len(state.holders), 1)
    if len(voters) < _compute_quorum(state, database, known):
        return
    log_promotion(
        state,
        database,
        "primary_loss_confirmed",
        out,
        voters=len(voters),
        vms=known,
        asked=len(promotion.missed_by),
        cut_off=is_cut_off(state, database),
    )
    enter_step(state, promotion, PromotionStep.WAITING)


def _compute_quorum(state: DirectState, database: Database, known: int) -> float:
    """Return how many connection holders must suspect a primary.

    VMs on the primary's side of a partition can't report, as they don't reach the
    store. A few VMs on the other side suffice if the replicas are cut off as well.
    Otherwise the primary may still serve the other VMs, and its replacement would lose
    commits.
    """
    minimum = min(MIN_VOTERS, known)
    if is_cut_off(state, database):
        return minimum
    return max(minimum, QUORUM_RATIO * known)
