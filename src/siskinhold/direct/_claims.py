"""Claims of a database's leader record, which entitle a VM to order a promotion."""

from ._effects import ReadLeaderRecord
from ._events import LeaderRecordAnswered, StoreOutcome
from ._evidence import handle_store_proof
from ._leaders import DropReason, drop_leader
from ._lease import (
    ATTEMPT_TIMEOUT,
    ORDER_LEASE,
    delay_promotion,
    find_claim_time,
    find_record_end,
    note_revision,
)
from ._log_records import handle_servers_recorded
from ._promotion_state import Claim, Completion, OpenClaim, Promotion, PromotionStep
from ._promotion_steps import (
    CALL_TIMEOUT,
    STEP_RETRY_INTERVAL,
    enter_step,
    find_effect_end,
    is_resuming,
    log_promotion,
    may_call,
    pop_promotion_call,
    register_call,
    to_milliseconds,
    write_record,
)
from ._records import handle_first_record_answer, note_record
from ._server_state import Purpose
from ._state import Database, DirectState, Effects
from ._types import Command, CommandKind, LeaderRecord, LeaderState
from .pools import find_control_connection, send

COMPLETION_RETRY_INTERVAL = 1.0
"""Seconds between two attempts to complete a record."""

MIN_ATTEMPT_TIME = 1.5
"""Seconds of an attempt that suffice for its steps; with less, it is claimed again."""

RESUMPTION_TIMEOUT = 1.0
"""Seconds for which the withdrawal of a claim waits for resumed servers."""

OPEN_CLAIM_PERIOD = 10.0
"""Seconds for which a claim without an answer is looked for: the store may carry out a
write seconds after it was sent."""


def read_record(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Read the leader record, to learn its revision before the claim.

    The read is repeated if it is not answered in time.
    """
    if not may_call(state, promotion):
        return
    promotion.step_at = state.now
    promotion.call = register_call(state, "promotion", database)
    out.append(
        ReadLeaderRecord(
            call=promotion.call, service=database.name, era=state.store_era
        )
    )


def handle_leader_record(
    state: DirectState, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Pass the answer to a call on a leader record to the handler for its purpose."""
    purpose, name = state.calls.get(event.call, ("", ""))
    database = state.databases.get(name)
    if database is not None:
        note_record(state, database, event)
        note_revision(state, database, event)
    if purpose == "first" and database is not None:
        del state.calls[event.call]
        handle_first_record_answer(state, database, event, out)
        return
    if purpose == "confirm" and database is not None:
        del state.calls[event.call]
        handle_store_proof(state, database, event, out)
        return
    if purpose == "servers" and database is not None:
        del state.calls[event.call]
        handle_servers_recorded(state, database, event, out)
        return
    if purpose == "release" and database is not None:
        del state.calls[event.call]
        _handle_release_answer(state, database, event, out)
        return
    if purpose == "watch" and database is not None:
        del state.calls[event.call]
        return
    if purpose == "complete" and database is not None:
        del state.calls[event.call]
        _handle_completion_answer(state, database, event)
        return
    found = pop_promotion_call(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    if promotion.step is PromotionStep.CLAIMING:
        _handle_claim_answer(state, database, promotion, event, out)
    elif promotion.step is PromotionStep.READING:
        _handle_read_answer(state, database, promotion, event, out)


def _handle_read_answer(state, database, promotion, event, out: Effects) -> None:
    """Claim the leader record unless another VM's promotion or a newer term forbids it.

    A claim of another VM is waited for until it has been unchanged for
    `CLAIM_TIMEOUT`. A claim of this promotion that succeeded though its answer was lost
    is used for what is left of its time, or replaced by another one. Without a record
    in the store's era, a claim of an older era may have been lost, so it is waited for
    as well.
    """
    promotion.repeat_at = state.now + STEP_RETRY_INTERVAL
    if event.outcome is StoreOutcome.UNKNOWN:
        return
    if event.revision.era != state.store_era:
        return
    claims_at = find_claim_time(state, database)
    if event.outcome is StoreOutcome.ABSENT and state.now < claims_at:
        delay_promotion(state, database, claims_at, out, era=state.store_era)
        return
    record = event.record
    if record is not None and record.state is LeaderState.PROMOTING:
        sent_at = promotion.attempts.get(record.attempt)
        own = sent_at is not None
        if own and state.now - sent_at <= ATTEMPT_TIMEOUT - MIN_ATTEMPT_TIME:
            claim = Claim(
                revision=event.revision, attempt=record.attempt, sent_at=sent_at
            )
            _start_attempt(state, database, promotion, claim, out)
            return
        if own or is_own_past_attempt(database, record.attempt):
            # It is over, and no order of it is under way.
            _send_claim(state, database, promotion, event, out)
            return
    elif record is not None and record.term > promotion.term:
        database.min_term = record.term
        drop_leader(state, database, DropReason.RECORD, out)
        promotion.term = record.term
        return
    if event.outcome is not StoreOutcome.ABSENT:
        replaced_at = find_record_end(state, database, record)
        if state.now < replaced_at:
            _await_record(state, database, event, replaced_at, out)
            return
    _send_claim(state, database, promotion, event, out)


def _await_record(
    state, database: Database, event: LeaderRecordAnswered, until: float, out: Effects
) -> None:
    """Wait until a record that another VM wrote may be replaced.

    A claim is read again meanwhile, as it may be withdrawn.
    """
    promotion = database.promotion
    record = event.record
    holder, progress = "", "unreadable"
    if record is not None:
        promoting = record.state is LeaderState.PROMOTING
        holder = record.vm if promoting else record.holder
        progress = record.state.value
        if not promoting:
            promotion.repeat_at = max(promotion.repeat_at, until)
    delay_promotion(
        state,
        database,
        until,
        out,
        holder=holder,
        record=progress,
        revision=event.revision,
    )


def is_own_past_attempt(database: Database, attempt: str) -> bool:
    """Return whether an attempt is one that this VM has ended, with no order open."""
    if attempt and attempt == database.settled_attempt:
        return True
    claim = database.open_claim
    if claim is not None and attempt in claim.attempts:
        return True
    completion = database.completion
    if completion is None or not completion.withdraws:
        return False
    return completion.attempt == attempt


def _send_claim(
    state,
    database: Database,
    promotion: Promotion,
    found: LeaderRecordAnswered,
    out: Effects,
) -> None:
    """Claim the leader record by a write, if it still has the revision that was found.

    Each claim has its own random id: a write that changes nothing would succeed without
    a new revision.
    """
    enter_step(state, promotion, PromotionStep.CLAIMING)
    attempt = f"{state.random.getrandbits(64):016x}"
    promotion.attempts[attempt] = state.now
    promotion.call = register_call(state, "promotion", database)
    promotion.claim_sent = True
    promotion.claimed_from = found.revision
    record = found.record
    promotion.holder = _find_own_lease(state, database, record)
    log_promotion(
        state,
        database,
        "promotion_claim_sent",
        out,
        holder=record.vm if record is not None else "",
        record=record.state.value if record is not None else "",
        revision=found.revision,
        seen_ms=to_milliseconds(state.now - database.record_seen_at),
    )
    write_record(
        state,
        database,
        server=promotion.leader,
        term=promotion.term,
        attempt=attempt,
        holder=promotion.holder,
        call=promotion.call,
        progress=LeaderState.PROMOTING,
        revision=found.revision,
        out=out,
    )


def _find_own_lease(state, database: Database, record: LeaderRecord | None) -> str:
    """Return this VM's name if the record to be claimed continues its own lease."""
    if record is None:
        return ""
    if record.holder == state.vm:
        return state.vm
    if record.attempt and record.attempt == database.settled_attempt:
        return state.vm
    return ""


def await_claim(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Read the record again if the claim is not answered in time."""
    if state.now - promotion.step_at >= CALL_TIMEOUT:
        enter_step(state, promotion, PromotionStep.READING)


def _handle_claim_answer(state, database, promotion, event, out: Effects) -> None:
    """Start the attempt if the claim succeeded; otherwise read the record again."""
    if event.outcome is StoreOutcome.DONE:
        attempt, sent_at = list(promotion.attempts.items())[-1]
        claim = Claim(revision=event.revision, attempt=attempt, sent_at=sent_at)
        _start_attempt(state, database, promotion, claim, out)
        return
    if event.outcome is not StoreOutcome.UNKNOWN:
        promotion.claim_sent = False
    enter_step(state, promotion, PromotionStep.READING)
    promotion.repeat_at = state.now + STEP_RETRY_INTERVAL / 2


def give_up_claim(state: DirectState, database: Database, promotion: Promotion) -> None:
    """Have the claim of a promotion that ends without an order withdrawn.

    An open record keeps other VMs from a claim for `CLAIM_TIMEOUT`, and from proving by
    the store that the primary leads. So nothing is withdrawn while an order, or one of
    an earlier promotion, may still take effect.
    """
    claim = promotion.claim
    if promotion.ordered:
        if not promotion.orders_open:
            database.settled_attempt = claim.attempt
        return
    if claim is not None:
        database.completion = Completion(
            server=promotion.leader,
            term=promotion.term,
            revision=claim.revision,
            attempt=claim.attempt,
            holder=promotion.holder,
            withdraws=True,
            resumes_until=state.now + RESUMPTION_TIMEOUT,
            repeat_at=find_effect_end(database, promotion.leader),
        )
    elif promotion.claim_sent:
        database.open_claim = OpenClaim(
            attempts=tuple(promotion.attempts),
            claimed_from=promotion.claimed_from,
            sent_at=state.now,
            repeat_at=state.now + STEP_RETRY_INTERVAL,
        )


def find_open_claim(state: DirectState, database: Database, out: Effects) -> None:
    """Read the leader record to see whether an abandoned claim was carried out."""
    claim = database.open_claim
    if claim is None or state.now < claim.repeat_at:
        return
    if claim.claimed_from.era != state.store_era:
        # Records of older eras are not read any more.
        database.open_claim = None
        return
    if state.now - claim.sent_at >= OPEN_CLAIM_PERIOD:
        database.open_claim = None
        return
    claim.call = register_call(state, "release", database)
    claim.repeat_at = state.now + COMPLETION_RETRY_INTERVAL
    out.append(
        ReadLeaderRecord(call=claim.call, service=database.name, era=state.store_era)
    )


def _handle_release_answer(
    state: DirectState, database: Database, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Withdraw an abandoned claim that was carried out, unless it was replaced."""
    claim = database.open_claim
    if claim is None or claim.call != event.call:
        return
    if event.outcome is StoreOutcome.UNKNOWN:
        return
    if event.revision != claim.claimed_from:
        database.open_claim = None
    record = event.record
    if record is None or record.attempt not in claim.attempts:
        return
    if record.state is LeaderState.PROMOTING:
        database.completion = Completion(
            server=record.server,
            term=record.term,
            revision=event.revision,
            attempt=record.attempt,
            holder=record.holder,
            withdraws=True,
            repeat_at=find_effect_end(database, record.server),
        )
        complete_record(state, database, out)


def complete_record(state: DirectState, database: Database, out: Effects) -> None:
    """Complete the record of an ended promotion; repeated until the store answers.

    A record that still shows the promotion keeps other VMs from proving by the store
    that the primary leads. A claim is withdrawn once the servers suspended for it are
    resumed: a late resumption would undo the suspensions of the next claimant.
    """
    completion = database.completion
    if completion is None or state.now < completion.repeat_at:
        return
    if completion.revision.era != state.store_era:
        # Records of older eras are not read any more.
        database.completion = None
        return
    if state.now < completion.resumes_until and is_resuming(state, database):
        return
    if completion.unsettled and not completion.call:
        # Like other VMs, this one counts its lease from the completed record.
        database.goes_on_at = state.now + ORDER_LEASE
    completion.call = register_call(state, "complete", database)
    completion.repeat_at = state.now + COMPLETION_RETRY_INTERVAL
    write_record(
        state,
        database,
        server=completion.server,
        term=completion.term,
        attempt=completion.attempt,
        holder=completion.holder,
        call=completion.call,
        progress=LeaderState.STABLE,
        revision=completion.revision,
        out=out,
    )


def _handle_completion_answer(state: DirectState, database: Database, event) -> None:
    """Forget the completion once the store has answered, whatever the outcome."""
    completion = database.completion
    if completion is None or completion.call != event.call:
        return
    if event.outcome is not StoreOutcome.UNKNOWN:
        # The record is complete, or a later promotion has replaced it.
        database.completion = None


def _start_attempt(state, database, promotion, claim: Claim, out: Effects) -> None:
    """Start the attempt that a claim allows, by the step-down of the old primary.

    If the old primary can't be reached, its step-down is skipped.
    """
    promotion.claim = claim
    promotion.claim_sent = False
    promotion.began_at = claim.sent_at
    log_promotion(state, database, "promotion_claimed", out, token=claim.token)
    enter_step(state, promotion, PromotionStep.STEPPING_DOWN)
    leader = state.servers.get(promotion.leader)
    control = find_control_connection(leader) if leader is not None else None
    if control is None or leader.down_at is not None:
        enter_step(state, promotion, PromotionStep.COMPARING)
        return
    promotion.step_down_sent = True
    command = Command(kind=CommandKind.STEP_DOWN, term=promotion.term + 1)
    send(state, control, command, Purpose.STEP_DOWN, out)
