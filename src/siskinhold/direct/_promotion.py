"""Steps of a promotion after the claim.

The old primary steps down, the candidates' positions are compared, a majority is
fenced, and the promotion of the best candidate is ordered.
"""

from ..model import Position
from ._candidates import (
    is_listed_long,
    list_candidates,
    rank_candidate,
    was_rolled_back,
)
from ._claims import give_up_claim
from ._effects import OrderPromotion
from ._events import PromotionAnswered, PromotionOutcome
from ._evidence import count_majority, list_members
from ._lease import ATTEMPT_TIMEOUT
from ._log_proof import shows_enough_logs
from ._promotion_state import Claim, Promotion, PromotionStep, ReplicationProgress
from ._promotion_steps import (
    STEP_RETRY_INTERVAL,
    enter_step,
    is_planned,
    log_promotion,
    pop_promotion_call,
    register_call,
)
from ._server_state import Purpose, Server
from ._state import Database, DirectState, Effects
from ._types import Answer, Command, CommandKind
from .pools import find_control_connection, send

STEP_DOWN_TIMEOUT = 0.3
"""Seconds to wait for the step-down of a primary that is to be replaced."""

POSITIONS_TIMEOUT = 0.3
"""Seconds to wait for the positions of the candidates."""

FENCE_TIMEOUT = 0.2
"""Seconds to wait for candidates beyond the majority that must be fenced."""

REPLICATION_STALL_TIMEOUT = 1.5
"""Seconds without received log after which replicas count as cut off from a suspected
primary: many times the gap between two commits under normal load."""

PROGRESS_MAX_AGE = 1.0
"""Seconds for which a replica's reported progress is taken into account."""

SUSPENSION_TIMEOUT = 6.0
"""Seconds after which a suspended server resumes replication in any case: no promotion
order is carried out later than that."""

ROLLED_BACK_PERIOD = 10.0
"""Seconds for which a database whose candidates all have rolled-back commits waits for
another one."""

CATCH_UP_TIMEOUT = 0.6
"""Seconds to wait for a candidate with all commits acknowledged by the old primary."""

EFFECT_TIMEOUT = 2.0
"""Seconds until an accepted promotion without an effect is ordered again."""


def await_step_down(
    state, database: Database, promotion: Promotion, claim: Claim, out: Effects
) -> None:
    """Continue without the old primary if it does not confirm its step-down in time.

    Planned work is given up then: only the position of the old primary shows which
    replica has received all of its commits.
    """
    if state.now - promotion.step_at < STEP_DOWN_TIMEOUT:
        return
    if is_planned(state, promotion):
        drop_promotion(state, database, promotion, "step_down_unanswered", out)
        return
    enter_step(state, promotion, PromotionStep.COMPARING)


def handle_step_down_answer(
    state: DirectState, server: Server, sent_at: float, answer: Answer
) -> None:
    """Handle the answer of a primary that was ordered to step down.

    Its log position is what the candidate should have; if it no longer leads, it counts
    as fenced. The answer to an earlier attempt's order is ignored: the primary may have
    committed since.
    """
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    if promotion is None or promotion.step is not PromotionStep.STEPPING_DOWN:
        return
    if sent_at < promotion.step_at:
        return
    if answer.position is not None:
        promotion.positions[server.entry.server] = answer.position
    if answer.status is not None and not answer.status.leads:
        # It no longer leads, and reports so to every VM that queries it.
        promotion.fenced.add(server.entry.server)
    enter_step(state, promotion, PromotionStep.COMPARING)


def _raise_term(state: DirectState, promotion: Promotion, term: int) -> None:
    """Restart a claimed promotion if a server knows of a newer term.

    A promotion for a term that is not newer would not fence any server. The primary of
    the newer term is unknown; if it is found, the promotion ends. Before the claim and
    after the order, nothing is restarted: only a claim entitles to the later steps.
    """
    if promotion.claim is None or promotion.ordered or term <= promotion.term:
        return
    promotion.term = term
    promotion.leader = ""
    promotion.positions.clear()
    promotion.fenced.clear()
    enter_step(state, promotion, PromotionStep.COMPARING)


def handle_candidate_status(state: DirectState, server: Server, answer: Answer) -> None:
    """Handle the status report of a candidate or, before the claim, of a replica.

    The end of its received log is recorded as the candidate's position, or as the
    replica's progress while the primary is only suspected.
    """
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    if promotion is None or answer.status is None:
        return
    if promotion.step is PromotionStep.SUSPECTING:
        _record_progress(state, promotion, server, answer.status.received)
        return
    _raise_term(state, promotion, answer.status.term)
    promotion.positions[server.entry.server] = answer.status.received


def _record_progress(
    state: DirectState, promotion: Promotion, server: Server, position: Position
) -> None:
    """Record the end of a replica's received log, and since when it is unchanged."""
    name = server.entry.server
    known = promotion.replica_progress.get(name)
    if known is None or known.position != position:
        promotion.replica_progress[name] = ReplicationProgress(
            position=position, since=state.now, seen_at=state.now
        )
        return
    known.seen_at = state.now


def request_progress(state: DirectState, database: Database, out: Effects) -> None:
    """Query the replicas for the log received from a suspected primary."""
    for server in list_candidates(state, database, database.promotion):
        control = find_control_connection(server)
        if control is not None and not control.pending:
            status = Command(kind=CommandKind.STATUS)
            send(state, control, status, Purpose.PROBE, out)


def is_cut_off(state: DirectState, database: Database) -> bool:
    """Return whether the replicas seem to receive nothing from a suspected primary.

    A majority of all servers, not counting the primary's own answer, must have received
    nothing for `REPLICATION_STALL_TIMEOUT`. Then the servers can't prove either that
    the primary leads, and a promotion loses no commit that was made and received
    meanwhile.
    """
    stalled = 0
    for progress in database.promotion.replica_progress.values():
        fresh = state.now - progress.seen_at < PROGRESS_MAX_AGE
        if fresh and progress.seen_at - progress.since >= REPLICATION_STALL_TIMEOUT:
            stalled += 1
    return stalled >= count_majority(len(list_members(state, database)))


def compare_candidates(
    state, database: Database, promotion: Promotion, claim: Claim, out: Effects
) -> None:
    """Query the candidates' positions, and start the fencing once enough is known.

    If the old primary's position is known, another candidate should have caught up with
    it; otherwise all should have answered. After a timeout, one answer suffices.
    """
    candidates = list_candidates(state, database, promotion)
    if state.now >= promotion.repeat_at:
        promotion.repeat_at = state.now + STEP_RETRY_INTERVAL / 4
        for server in candidates:
            control = find_control_connection(server)
            if control is not None and not control.pending:
                status = Command(kind=CommandKind.STATUS)
                send(state, control, status, Purpose.PROBE, out)
    waited = state.now - promotion.step_at
    needed = promotion.positions.get(promotion.leader)
    known = [s for s in candidates if s.entry.server in promotion.positions]
    if needed is not None:
        replicas = [s for s in known if s.entry.server != promotion.leader]
        replicas = [s for s in replicas if is_listed_long(state, s)]
        caught_up = [
            s for s in replicas if promotion.positions[s.entry.server] >= needed
        ]
        if not caught_up and waited < CATCH_UP_TIMEOUT:
            return
    elif len(known) < len(candidates) and waited < POSITIONS_TIMEOUT:
        return
    if not known:
        return
    enter_step(state, promotion, PromotionStep.FENCING)
    fence_majority(state, database, promotion, claim, out)


def fence_majority(
    state, database: Database, promotion: Promotion, claim: Claim, out: Effects
) -> None:
    """Suspend the servers for the new term, then order the best candidate's promotion.

    A majority must be fenced, and enough servers to know every acknowledged commit,
    see `_log_proof`. For the remaining candidates it waits `FENCE_TIMEOUT`.
    A new server that has received most is waited for, as the others lack commits. So is
    a server without rolled-back commits, for `ROLLED_BACK_PERIOD`.
    """
    if state.now >= promotion.repeat_at:
        promotion.repeat_at = state.now + STEP_RETRY_INTERVAL / 2
        for server in state.members(database.name):
            if server.entry.server not in promotion.fenced:
                _suspend(state, server, promotion, out)
    if len(promotion.fenced) < count_majority(len(list_members(state, database))):
        return
    if not shows_enough_logs(state, database, promotion.fenced):
        return
    waited = state.now - promotion.step_at
    candidates = list_candidates(state, database, promotion)
    fenced = [s for s in candidates if s.entry.server in promotion.fenced]
    if not fenced or len(fenced) < len(candidates) and waited < FENCE_TIMEOUT:
        return
    best = max(fenced, key=lambda s: rank_candidate(state, database, s))
    if not is_listed_long(state, best):
        return
    position = promotion.positions.get(best.entry.server, Position(0, 0))
    if was_rolled_back(database, position):
        if database.rolled_back_since is None:
            database.rolled_back_since = state.now
            log_promotion(
                state, database, "candidate_rolled_back", out, server=best.entry.server
            )
        if state.now - database.rolled_back_since < ROLLED_BACK_PERIOD:
            return
    promotion.candidate = best.entry.server
    enter_step(state, promotion, PromotionStep.ORDERING)
    order_promotion(state, database, promotion, claim, out)


def _suspend(state, server: Server, promotion: Promotion, out: Effects) -> None:
    """Suspend a server for the new term, unless its control connection is busy."""
    control = find_control_connection(server)
    if control is None or control.pending:
        return
    command = Command(kind=CommandKind.SUSPEND, term=promotion.term + 1)
    send(state, control, command, Purpose.FENCE, out)
    server.resume_at = state.now + SUSPENSION_TIMEOUT
    server.suspended_for = promotion.term + 1
    server.suspended_at = state.now


def handle_fence_answer(
    state: DirectState, server: Server, sent_at: float, answer: Answer
) -> None:
    """Handle the status report of a server that was suspended.

    It counts as fenced if it accepts no more log entries from primaries of the old
    term. The answer to a command of an earlier step or attempt is ignored: the server
    may have been resumed since.
    """
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    status = answer.status
    if promotion is None or status is None or status.leads:
        return
    if promotion.claim is None or sent_at < promotion.claim.sent_at:
        return
    _raise_term(state, promotion, status.term)
    fencing = promotion.step is PromotionStep.FENCING and sent_at >= promotion.step_at
    if fencing and max(status.term, status.suspended_term) > promotion.term:
        promotion.fenced.add(server.entry.server)
    promotion.positions[server.entry.server] = status.received


def order_promotion(
    state, database: Database, promotion: Promotion, claim: Claim, out: Effects
) -> None:
    """Order the platform to promote the candidate, unless the order is under way."""
    if promotion.call or state.now < promotion.repeat_at:
        return
    promotion.call = register_call(state, "promotion", database)
    promotion.ordered = True
    promotion.orders_open += 1
    database.ordered_at = state.now
    database.ordered_server = promotion.candidate
    log_promotion(
        state,
        database,
        "promotion_ordered",
        out,
        server=promotion.candidate,
        token=claim.token,
        position=promotion.positions.get(promotion.candidate),
    )
    out.append(
        OrderPromotion(
            call=promotion.call,
            service=database.name,
            server=promotion.candidate,
            token=claim.token,
            deadline=min(claim.sent_at + ATTEMPT_TIMEOUT, state.now + 1.0),
        )
    )


def handle_promotion_answer(
    state: DirectState, event: PromotionAnswered, out: Effects
) -> None:
    """Handle the platform's answer to a promotion order.

    An accepted order is awaited, a rejected one leads to another comparison, and one
    without a usable answer is repeated. Before that, the servers are suspended again,
    as the VM of an earlier attempt may have resumed them.
    """
    found = pop_promotion_call(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    if promotion.step is not PromotionStep.ORDERING:
        return
    log_promotion(
        state, database, "promotion_answered", out, outcome=event.outcome.value
    )
    if event.outcome is not PromotionOutcome.UNKNOWN:
        promotion.orders_open -= 1
    if event.outcome is PromotionOutcome.ACCEPTED:
        enter_step(state, promotion, PromotionStep.TAKING_EFFECT)
    elif event.outcome is PromotionOutcome.REJECTED:
        database.ordered_server = ""
        promotion.positions.pop(promotion.candidate, None)
        promotion.fenced.clear()
        enter_step(state, promotion, PromotionStep.COMPARING)
    else:
        promotion.repeat_at = state.now + STEP_RETRY_INTERVAL
        for server in state.members(database.name):
            _suspend(state, server, promotion, out)


def await_effect(
    state, database: Database, promotion: Promotion, claim: Claim, out: Effects
) -> None:
    """Compare the candidates again if an accepted order has no effect in time.

    The servers are fenced again as well: others may have resumed them meanwhile.
    """
    if state.now - promotion.step_at >= EFFECT_TIMEOUT:
        promotion.fenced.clear()
        enter_step(state, promotion, PromotionStep.COMPARING)


def has_expired(state: DirectState, claim: Claim) -> bool:
    """Return whether a claim no longer entitles to an order."""
    return state.now - claim.sent_at > ATTEMPT_TIMEOUT


def drop_promotion(
    state, database: Database, promotion: Promotion, reason: str, out: Effects
) -> None:
    """End a promotion without a new primary.

    Suspended servers are resumed unless an order may still take effect.
    """
    log_promotion(state, database, "promotion_dropped", out, reason=reason)
    if not promotion.ordered:
        end_suspensions(state, database)
    give_up_claim(state, database, promotion)
    database.promotion = None


def end_suspensions(state: DirectState, database: Database) -> None:
    """Make the servers that this VM suspended resume replication at the next tick."""
    for server in state.members(database.name):
        if server.resume_at is not None:
            server.resume_at = state.now
