"""Replacement of a primary that is lost or draining.

A VM that starts a promotion first claims the database's leader record in the store by a
conditional write. The record's revision gives the fence token: it increases with each
claim and is unique. Only the claimant orders the promotion, and only for
`ATTEMPT_TIMEOUT`. The duty stays with it for `ORDER_LEASE` after its last order; see
`_lease`.

A store that is restored from a copy begins an era, with records and greater tokens of
its own. As the claims since the copy are lost, no VM claims there for `CLAIM_TIMEOUT`
after it learned of the era, unless another one has.
"""

from ._candidates import find_promotable_time
from ._claims import (
    await_claim,
    complete_record,
    find_open_claim,
    give_up_claim,
    read_record,
)
from ._effects import ListVms, Observe
from ._holders import needs_servers
from ._leaders import note_start, probe_leader
from ._lease import ORDER_TRANSIT_PERIOD, delay_promotion, holds_lease, watch_completion
from ._log_records import record_servers
from ._promotion import (
    await_effect,
    await_step_down,
    compare_candidates,
    drop_promotion,
    end_suspensions,
    fence_majority,
    has_expired,
    order_promotion,
)
from ._promotion_state import Completion, Promotion, PromotionStep
from ._promotion_steps import (
    DRAINING_CAUSE,
    GONE_LEADER_TIMEOUT,
    PLANNED_CAUSES,
    SWITCHOVER_CAUSE,
    enter_step,
    find_effect_end,
    find_rank,
    log_promotion,
    to_milliseconds,
)
from ._records import record_primary
from ._state import Database, DirectState, Effects
from ._succession import may_claim
from ._suspicions import (
    SUSPECTED_CAUSES,
    collect_suspicions,
    publish_suspicion,
    withdraw_suspicion,
)
from ._switchover import needs_switchover

SUSPICION_DELAY = 0.15
"""Seconds without a connection to a primary until this VM suspects its loss: several
times what it takes to reconnect after a mere reset."""

LEADERLESS_TIMEOUT = 1.2
"""Seconds without a known primary until this VM starts a promotion: longer than a
promotion by another VM takes."""

CATCHING_UP_PERIOD = 0.5
"""Seconds for which a server that was seen to lead counts as a primary that still
applies its log: several times the interval at which it is probed."""

RANK_DELAY = 0.08
"""Seconds that each VM waits for the one ranked before it to claim the leader record:
longer than a claim takes across regions."""

MAX_RANK = 8
"""Rank above which the delay no longer increases."""

STARTUP_PERIOD = 4.0
"""Seconds after the start in which the list of VMs is read more often, as VMs that
start together register one after the other."""

VM_LIST_RETRY_INTERVAL = 0.7
"""Seconds between two reads of the list of VMs in that time, or while it is unknown."""

VM_LIST_INTERVAL = 10.0
"""Seconds between two reads of the list of VMs."""


def watch_primaries(state: DirectState, out: Effects) -> None:
    """Start, advance or abandon promotions; called at each tick.

    The list of VMs, which determines the connection holders, is requested as well. A VM
    that is shutting down or only relays callers starts no promotion, and drops one that
    is not ordered, so that another VM may claim it.
    """
    interval = VM_LIST_INTERVAL if state.vms_known else VM_LIST_RETRY_INTERVAL
    if state.now - state.started_at < STARTUP_PERIOD:
        interval = VM_LIST_RETRY_INTERVAL
    if state.now - state.vms_requested_at > interval:
        state.vms_requested_at = state.now
        out.append(ListVms())
    serves = state.shutdown_at is None and needs_servers(state)
    for database in state.databases.values():
        complete_record(state, database, out)
        find_open_claim(state, database, out)
        promotion = database.promotion
        if not serves:
            if promotion is not None and not promotion.ordered:
                drop_promotion(state, database, promotion, "not_serving", out)
            continue
        record_primary(state, database, out)
        record_servers(state, database, out)
        watch_completion(state, database, out)
        if promotion is None:
            _prepare_promotion(state, database, out)
        if database.promotion is not None:
            _advance_promotion(state, database, database.promotion, out)


def _find_cause(state: DirectState, database: Database) -> tuple[str, float] | None:
    """Return why the primary should be replaced and since when, or None.

    A database without a leader gets a new one only if every server that is up refused a
    write transaction meanwhile, and none is a new primary that applies its log:
    otherwise one of them may be the primary.
    """
    if database.leader is None:
        if not state.servers_known:
            return None
        if state.now - database.leaderless_since < LEADERLESS_TIMEOUT:
            return None
        for member in state.members(database.name):
            if member.down_at is not None:
                continue
            if member.write_refused_at < database.leaderless_since:
                return None
            if state.now - member.catching_up_at < CATCHING_UP_PERIOD:
                return None
        return "leaderless", database.leaderless_since
    server = state.leader_of(database)
    if server is None:
        return None
    if server.draining_at is not None:
        if server.down_at is None or server.gone_at is not None:
            return DRAINING_CAUSE, server.draining_at
    if server.gone_at is not None and state.now - server.gone_at >= GONE_LEADER_TIMEOUT:
        return "gone", server.gone_at
    if server.down_at is not None and state.now - server.down_at >= SUSPICION_DELAY:
        return "unreachable", server.down_at
    if state.now < server.failing_until:
        return "failing", server.failing_since
    if needs_switchover(state, database):
        return SWITCHOVER_CAUSE, database.overloaded_since
    return None


def _prepare_promotion(state: DirectState, database: Database, out: Effects) -> None:
    """Start a promotion if the primary should be replaced.

    If the cause may be a fault of this VM, the suspicion is published first, so that
    other VMs can confirm it.
    """
    cause = _find_cause(state, database)
    if cause is None:
        return
    reason, since = cause
    leader = database.leader
    term = leader.term if leader is not None else _find_newest_term(state, database)
    step = PromotionStep.WAITING
    if reason in SUSPECTED_CAUSES:
        step = PromotionStep.SUSPECTING
    promotion = Promotion(
        leader=leader.server if leader is not None else "",
        term=term,
        cause=reason,
        began_at=state.now,
        step=step,
        step_at=state.now,
    )
    database.promotion = promotion
    log_promotion(
        state,
        database,
        "promotion_prepared",
        out,
        since_ms=to_milliseconds(state.now - since),
    )
    if step is PromotionStep.SUSPECTING:
        publish_suspicion(state, database, promotion, out)
        promotion.repeat_at = state.now + 0.03


def _find_newest_term(state: DirectState, database: Database) -> int:
    """Return the newest term of a database that is known to this VM."""
    term = database.min_term
    if database.previous_leader is not None:
        term = max(term, database.previous_leader.term)
    for member in state.members(database.name):
        if member.evidence is not None:
            term = max(term, member.evidence.position.term)
    return term


def _advance_promotion(
    state: DirectState, database: Database, promotion: Promotion, out: Effects
) -> None:
    """Finish, abandon or continue a promotion.

    It is finished once there is a new leader or term. It is abandoned if its cause
    ends before the claim, or if it times out after the claim.
    """
    if _is_replaced(database, promotion):
        if not _awaits_order(state, database, promotion):
            _finish_promotion(state, database, promotion, out)
            return
        candidate = state.servers.get(database.ordered_server)
        if candidate is not None:
            probe_leader(state, candidate, out)
        return
    cause = _find_cause(state, database)
    if promotion.claim is None and cause is None:
        log_promotion(
            state, database, "promotion_dropped", out, reason="primary_reachable"
        )
        if promotion.cause in SUSPECTED_CAUSES:
            withdraw_suspicion(state, database, out)
        give_up_claim(state, database, promotion)
        database.promotion = None
        return
    if promotion.claim is None and promotion.cause in PLANNED_CAUSES:
        if cause[0] != promotion.cause:
            # Another cause may need the other VMs' confirmation.
            give_up_claim(state, database, promotion)
            database.promotion = None
            return
    if promotion.step is PromotionStep.SUSPECTING:
        _update_cause(state, promotion, cause[0])
    if promotion.step in _STEPS:
        _STEPS[promotion.step](state, database, promotion, out)
        return
    claim = promotion.claim
    if claim is None:
        drop_promotion(state, database, promotion, "claim_missing", out)
        return
    if cause is None and _leads_on(promotion):
        drop_promotion(state, database, promotion, "primary_reachable", out)
        return
    if has_expired(state, claim):
        drop_promotion(state, database, promotion, "attempt_timeout", out)
        return
    _CLAIMED_STEPS[promotion.step](state, database, promotion, claim, out)


def _is_replaced(database: Database, promotion: Promotion) -> bool:
    """Return whether another primary is known than the one to be replaced.

    A primary of an older term than the promotion's does not count: it may be the lost
    one, while only the term of its successor is known.
    """
    leader = database.leader
    if leader is None or leader.term < promotion.term:
        return False
    return leader.server != promotion.leader or leader.term > promotion.term


def _leads_on(promotion: Promotion) -> bool:
    """Return whether a primary that is reachable again was not replaced or stopped.

    If it could not be reached at the time of the claim, it was not ordered to step
    down, and may have committed since.
    """
    if promotion.ordered or promotion.step_down_sent:
        return False
    return bool(promotion.leader)


def _awaits_order(state: DirectState, database: Database, promotion: Promotion) -> bool:
    """Return whether an order of the promotion may still arrive or take effect.

    Once the record is complete, another VM may claim it, and the store confirms the
    primary that was found, though the ordered one leads in a newer term soon.
    """
    claim = promotion.claim
    if claim is None:
        return False
    if promotion.step is PromotionStep.ORDERING and promotion.call:
        return not has_expired(state, claim)
    return state.now < find_effect_end(database, database.leader.server)


def _update_cause(state: DirectState, promotion: Promotion, cause: str) -> None:
    """Stop waiting for other VMs' suspicions if the list of servers shows the cause."""
    if cause in SUSPECTED_CAUSES:
        return
    promotion.cause = cause
    enter_step(state, promotion, PromotionStep.WAITING)


def _await_rank(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Read the leader record once the VMs ranked before had time to claim it.

    The others wait for a VM that holds the lease, so it is the first. While all
    candidates are new, a primary that leaves goes on. So it does while no other server
    follows it closely.
    """
    promotable_at = find_promotable_time(state, database, promotion)
    if promotable_at > state.now:
        delay_promotion(state, database, promotable_at, out, candidates="new")
        return
    rank = find_rank(state, database, promotion.term)
    if holds_lease(state, database):
        rank = 0
    if state.now - promotion.step_at < RANK_DELAY * min(rank, MAX_RANK):
        return
    if may_claim(state, database, promotion, out):
        enter_step(state, promotion, PromotionStep.READING)
        read_record(state, database, promotion, out)


def _finish_promotion(
    state, database: Database, promotion: Promotion, out: Effects
) -> None:
    """End a promotion, as another leader or a newer term was found.

    If this VM claimed the leader record, suspended servers are resumed and the record
    is completed.
    """
    leader = database.leader
    took = state.now - promotion.began_at
    log_promotion(
        state, database, "promotion_done", out, server=leader.server, new=leader.term
    )
    database.promotion = None
    claim = promotion.claim
    if claim is None:
        give_up_claim(state, database, promotion)
        return
    end_suspensions(state, database)
    started_at = promotion.positions.get(leader.server)
    if promotion.ordered and leader.server == promotion.candidate and started_at:
        note_start(database, leader.term, started_at)
    completes_at = 0.0
    if promotion.orders_open:
        completes_at = database.ordered_at + ORDER_TRANSIT_PERIOD
    out.append(Observe(metric="promotion_seconds", value=took))
    database.completion = Completion(
        server=leader.server,
        term=leader.term,
        revision=claim.revision,
        attempt=claim.attempt,
        holder=state.vm if promotion.ordered else promotion.holder,
        unsettled=bool(promotion.orders_open),
        repeat_at=completes_at,
    )
    complete_record(state, database, out)


_STEPS = {
    PromotionStep.SUSPECTING: collect_suspicions,
    PromotionStep.WAITING: _await_rank,
    PromotionStep.READING: read_record,
    PromotionStep.CLAIMING: await_claim,
}

_CLAIMED_STEPS = {
    PromotionStep.STEPPING_DOWN: await_step_down,
    PromotionStep.COMPARING: compare_candidates,
    PromotionStep.FENCING: fence_majority,
    PromotionStep.ORDERING: order_promotion,
    PromotionStep.TAKING_EFFECT: await_effect,
}
