"""Replacement of a primary that is lost or leaves.

A VM that wants a promotion first claims the database's leader record in the store
by a conditional write. The record's revision is the fence token: it grows with each
claim and no two claims share it. Only the claimant orders the promotion, and only
for `ATTEMPT_TIME`; another VM may claim again once a claim has stood unchanged for
`CLAIM_TIME`, which is longer. Nothing is renewed while primaries stay.
"""

import hashlib

from ..model import Position
from ._connections import find_control, send
from ._effects import (
    ListSuspicions,
    ListVms,
    Log,
    Observe,
    OrderPromotion,
    PublishSuspicion,
    ReadLeaderRecord,
    WriteLeaderRecord,
)
from ._events import (
    LeaderRecordAnswered,
    PromotionAnswered,
    PromotionOutcome,
    StoreOutcome,
    SuspicionsAnswered,
)
from ._evidence import (
    DropReason,
    count_majority,
    drop_leader,
    list_members,
    take_store_proof,
)
from ._state import (
    Database,
    DirectState,
    Effects,
    Promotion,
    PromotionStep,
    Purpose,
    Server,
)
from ._types import Answer, Command, CommandKind, LeaderRecord, LeaderState, Suspicion

SUSPECT_TIME = 0.3
"""Seconds without a connection to a primary until this VM suspects that it is lost."""

LEADERLESS_TIME = 1.2
"""Seconds without a known primary until one is promoted: above the time that a
promotion by another VM takes."""

GONE_TIME = 2.5
"""Seconds until a primary whose entry is missing is replaced; entries that lapse with
the store are back about two seconds after its return."""

QUORUM = 0.4
"""Share of the VMs that must suspect a primary before it is replaced."""

LATE_QUORUM = 0.25
"""The same once the primary has been suspected for `LATE_TIME`."""

LATE_TIME = 2.5
"""Seconds of suspicion after which `LATE_QUORUM` is enough."""

RANK_DELAY = 0.12
"""Seconds by which each VM waits for the one ranked before it."""

RANK_MOST = 8
"""Ranks after which the delay grows no further."""

ATTEMPT_TIME = 3.0
"""Seconds after a claim in which its VM may order promotions."""

CLAIM_TIME = 4.5
"""Seconds after which an unchanged claim may be replaced by another VM."""

STEP_DOWN_TIME = 0.3
"""Seconds to wait until a primary that is to be replaced has stepped down."""

COMPARE_TIME = 0.3
"""Seconds to wait for the positions of the candidates."""

FENCE_TIME = 0.2
"""Seconds to wait for candidates beyond the majority that must be fenced."""

RESUME_TIME = 6.0
"""Seconds after which a suspended server receives again, whatever became of the
promotion: no order is carried out later than that."""

CATCH_UP_TIME = 0.6
"""Seconds to wait until a candidate holds all that the old primary acknowledged."""

REPEAT_TIME = 0.2
"""Seconds between two attempts at a step that failed."""

EFFECT_TIME = 2.0
"""Seconds until an accepted promotion that shows no effect is ordered again."""

START_TIME = 4.0
"""Seconds after the start in which the list of VMs is read more often, as VMs that
start together register one after the other."""

VMS_RETRY = 0.7
"""Seconds between two reads of the list of VMs in that time, or while it is unknown."""

VMS_INTERVAL = 10.0
"""Seconds between two reads of the list of VMs."""


def watch_primaries(state: DirectState, out: Effects) -> None:
    """Begin, carry on or drop promotions; called at each tick."""
    interval = VMS_INTERVAL if state.vms_known else VMS_RETRY
    if state.now - state.started_at < START_TIME:
        interval = VMS_RETRY
    if state.now - state.vms_asked_at > interval:
        state.vms_asked_at = state.now
        out.append(ListVms())
    if state.leaving_at is not None or not state.serves:
        return
    for database in state.databases.values():
        if database.promotion is None:
            _consider(state, database, out)
        if database.promotion is not None:
            _advance(state, database, database.promotion, out)


def _find_cause(state: DirectState, database: Database) -> tuple[str, float] | None:
    """Return why the primary should be replaced and since when, or None."""
    if database.leader is None:
        if not state.servers_known:
            return None
        if state.now - database.leaderless_at < LEADERLESS_TIME:
            return None
        for member in state.members(database.name):
            if member.down_at is None and member.refused_at < database.leaderless_at:
                return None
        return "leaderless", database.leaderless_at
    server = state.leader_of(database)
    if server is None:
        return None
    if server.draining_at is not None:
        return "draining", server.draining_at
    if server.gone_at is not None and state.now - server.gone_at >= GONE_TIME:
        return "gone", server.gone_at
    if server.down_at is not None and state.now - server.down_at >= SUSPECT_TIME:
        return "unreachable", server.down_at
    return None


def _consider(state: DirectState, database: Database, out: Effects) -> None:
    cause = _find_cause(state, database)
    if cause is None:
        return
    reason, since = cause
    term = 0
    for member in state.members(database.name):
        if member.evidence is not None:
            term = max(term, member.evidence.position.term)
    leader = database.leader
    if leader is not None:
        term = leader.term
    step = PromotionStep.WAITING
    if reason in ("unreachable", "leaderless"):
        step = PromotionStep.SUSPECTING
    promotion = Promotion(
        leader=leader.server if leader is not None else "",
        term=term,
        cause=reason,
        began_at=state.now,
        step=step,
        step_at=state.now,
        attempt=f"{state.random.getrandbits(64):016x}",
    )
    database.promotion = promotion
    _log(state, database, "promotion_considered", out, since_ms=_ms(state.now - since))
    if step is PromotionStep.SUSPECTING:
        suspicion = Suspicion(
            service=database.name, server=promotion.leader, term=term, vm=state.vm
        )
        out.append(PublishSuspicion(suspicion=suspicion))
        promotion.repeat_at = state.now + 0.03


def _advance(
    state: DirectState, database: Database, promotion: Promotion, out: Effects
) -> None:
    leader = database.leader
    if leader is not None and leader.term > promotion.term:
        _finish(state, database, promotion, out)
        return
    if promotion.token == 0 and _find_cause(state, database) is None:
        _log(state, database, "promotion_dropped", out, reason="primary_well")
        database.promotion = None
        return
    if promotion.token and state.now - promotion.began_at > ATTEMPT_TIME:
        _log(state, database, "promotion_dropped", out, reason="attempt_over")
        if not promotion.ordered:
            _end_suspensions(state, database)
        database.promotion = None
        return
    _STEPS[promotion.step](state, database, promotion, out)


def _enter(state: DirectState, promotion: Promotion, step: PromotionStep) -> None:
    promotion.step = step
    promotion.step_at = state.now
    promotion.repeat_at = 0.0
    promotion.call = 0


def _suspect(state, database: Database, promotion: Promotion, out: Effects) -> None:
    if promotion.call and state.now - promotion.step_at < 1.0:
        return
    if state.now < promotion.repeat_at:
        return
    promotion.step_at = state.now
    promotion.call = _call(state, "suspicions", database)
    out.append(ListSuspicions(call=promotion.call, service=database.name))


def take_suspicions(
    state: DirectState, event: SuspicionsAnswered, out: Effects
) -> None:
    """Go on with a promotion if enough VMs miss the primary."""
    found = _find_promotion(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    promotion.repeat_at = state.now + REPEAT_TIME
    if event.suspicions is None or promotion.step is not PromotionStep.SUSPECTING:
        return
    voters = set()
    for suspicion in event.suspicions:
        if suspicion.term == promotion.term and suspicion.service == database.name:
            voters.add(suspicion.vm)
    share = QUORUM if state.now - promotion.began_at < LATE_TIME else LATE_QUORUM
    known = max(len(state.holders), 1)
    if len(voters) < min(2, known) or len(voters) < share * known:
        return
    _log(state, database, "primary_missed", out, voters=len(voters), vms=known)
    _enter(state, promotion, PromotionStep.WAITING)


def _wait(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Let VMs of a lower rank go first."""
    rank = _rank(state, database, promotion.term)
    if state.now - promotion.step_at >= RANK_DELAY * min(rank, RANK_MOST):
        _enter(state, promotion, PromotionStep.READING)
        _read(state, database, promotion, out)


def _rank(state: DirectState, database: Database, term: int) -> int:
    def weigh(vm: str) -> bytes:
        text = f"{vm}/{database.name}/{term}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    mine = weigh(state.vm)
    rank = 0
    for vm in state.holders:
        if vm.name != state.vm and weigh(vm.name) < mine:
            rank += 1
    return rank


def _read(state, database: Database, promotion: Promotion, out: Effects) -> None:
    if promotion.call and state.now - promotion.step_at < 1.0:
        return
    if state.now < promotion.repeat_at:
        return
    promotion.step_at = state.now
    promotion.call = _call(state, "promotion", database)
    out.append(ReadLeaderRecord(call=promotion.call, service=database.name))


def take_record(state: DirectState, event: LeaderRecordAnswered, out: Effects) -> None:
    """Take the answer to a call on a leader record."""
    purpose, name = state.calls.get(event.call, ("", ""))
    database = state.databases.get(name)
    if purpose == "confirm" and database is not None:
        del state.calls[event.call]
        take_store_proof(state, database, event, out)
        return
    found = _find_promotion(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    if promotion.step is PromotionStep.CLAIMING:
        _take_claim(state, database, promotion, event, out)
    elif promotion.step is PromotionStep.READING:
        _take_read(state, database, promotion, event, out)


def _take_read(state, database, promotion, event, out: Effects) -> None:
    promotion.repeat_at = state.now + REPEAT_TIME
    if event.outcome is StoreOutcome.UNKNOWN:
        return
    record = event.record
    if record is not None and record.state is LeaderState.PROMOTING:
        if record.attempt == promotion.attempt:
            _take_token(state, database, promotion, event.revision, out)
            return
        if event.revision != database.record_seen:
            database.record_seen = event.revision
            database.record_seen_at = state.now
        if state.now - database.record_seen_at < CLAIM_TIME:
            return
    elif record is not None and record.term > promotion.term:
        database.least_term = record.term
        drop_leader(state, database, DropReason.RECORD, out)
        promotion.term = record.term
        return
    _enter(state, promotion, PromotionStep.CLAIMING)
    promotion.call = _call(state, "promotion", database)
    claim = LeaderRecord(
        state=LeaderState.PROMOTING,
        server=promotion.leader,
        term=promotion.term,
        vm=state.vm,
        attempt=promotion.attempt,
    )
    out.append(
        WriteLeaderRecord(
            call=promotion.call,
            service=database.name,
            record=claim,
            revision=event.revision,
        )
    )


def _claim(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Read the record again if the answer to the claim stays away."""
    if state.now - promotion.step_at >= 1.0:
        _enter(state, promotion, PromotionStep.READING)


def _take_claim(state, database, promotion, event, out: Effects) -> None:
    if event.outcome is StoreOutcome.DONE:
        _take_token(state, database, promotion, event.revision, out)
        return
    _enter(state, promotion, PromotionStep.READING)
    promotion.repeat_at = state.now + REPEAT_TIME / 2


def _take_token(state, database, promotion, revision: int, out: Effects) -> None:
    promotion.token = revision
    # The attempt's time runs from the sending of the claim, not from its answer.
    promotion.began_at = promotion.step_at
    _log(state, database, "promotion_claimed", out, token=revision)
    _enter(state, promotion, PromotionStep.ENDING_LEAD)
    leader = state.servers.get(promotion.leader)
    control = find_control(leader) if leader is not None else None
    if control is None or leader.down_at is not None:
        _enter(state, promotion, PromotionStep.COMPARING)
        return
    command = Command(kind=CommandKind.STEP_DOWN, term=promotion.term + 1)
    send(state, control, command, Purpose.STEP_DOWN, out)


def _end_lead(state, database: Database, promotion: Promotion, out: Effects) -> None:
    if state.now - promotion.step_at >= STEP_DOWN_TIME:
        _enter(state, promotion, PromotionStep.COMPARING)


def take_step_down(state: DirectState, server: Server, answer: Answer) -> None:
    """Note the last position of a primary that has stepped down."""
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    if promotion is None or promotion.step is not PromotionStep.ENDING_LEAD:
        return
    if answer.position is not None:
        promotion.positions[server.entry.server] = answer.position
    if answer.status is not None and not answer.status.leads:
        # It leads no more, which a VM that asks it learns as well.
        promotion.fenced.add(server.entry.server)
    _enter(state, promotion, PromotionStep.COMPARING)


def take_position(state: DirectState, server: Server, answer: Answer) -> None:
    """Note the position that a candidate has received."""
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    if promotion is None or answer.status is None:
        return
    promotion.positions[server.entry.server] = answer.status.received


def _compare(state, database: Database, promotion: Promotion, out: Effects) -> None:
    candidates = _list_candidates(state, database, promotion)
    if state.now >= promotion.repeat_at:
        promotion.repeat_at = state.now + REPEAT_TIME / 4
        for server in candidates:
            control = find_control(server)
            if control is not None and not control.pending:
                status = Command(kind=CommandKind.STATUS)
                send(state, control, status, Purpose.PROBE, out)
    waited = state.now - promotion.step_at
    needed = promotion.positions.get(promotion.leader)
    known = [s for s in candidates if s.entry.server in promotion.positions]
    if needed is not None:
        caught_up = [s for s in known if promotion.positions[s.entry.server] >= needed]
        if not caught_up and waited < CATCH_UP_TIME:
            return
    elif len(known) < len(candidates) and waited < COMPARE_TIME:
        return
    if not known:
        return
    _enter(state, promotion, PromotionStep.FENCING)
    _fence(state, database, promotion, out)


def _fence(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Have a majority know of the new term, then order the promotion."""
    if state.now >= promotion.repeat_at:
        promotion.repeat_at = state.now + REPEAT_TIME / 2
        for server in state.members(database.name):
            control = find_control(server)
            if control is None or control.pending:
                continue
            if server.entry.server in promotion.fenced:
                continue
            command = Command(kind=CommandKind.SUSPEND, term=promotion.term + 1)
            send(state, control, command, Purpose.FENCE, out)
            server.suspended_until = state.now + RESUME_TIME
    if len(promotion.fenced) < count_majority(len(list_members(state, database))):
        return
    waited = state.now - promotion.step_at
    candidates = _list_candidates(state, database, promotion)
    fenced = [s for s in candidates if s.entry.server in promotion.fenced]
    if not fenced or len(fenced) < len(candidates) and waited < FENCE_TIME:
        return
    best = max(fenced, key=lambda s: _weigh_candidate(state, promotion, s))
    promotion.candidate = best.entry.server
    _enter(state, promotion, PromotionStep.ORDERING)
    _order(state, database, promotion, out)


def take_fence(state: DirectState, server: Server, answer: Answer) -> None:
    """Note a server that takes nothing from older primaries any more."""
    database = state.databases.get(server.entry.service)
    promotion = database.promotion if database is not None else None
    status = answer.status
    if promotion is None or status is None or status.leads:
        return
    if max(status.term, status.held) > promotion.term:
        promotion.fenced.add(server.entry.server)
    promotion.positions[server.entry.server] = status.received


def _list_candidates(state, database: Database, promotion: Promotion) -> list[Server]:
    found = []
    for server in state.members(database.name):
        if server.entry.server == promotion.leader:
            continue
        if not server.usable or server.down_at is not None:
            continue
        found.append(server)
    return found


def _weigh_candidate(state, promotion: Promotion, server: Server) -> tuple:
    """Rank by the log received, then by nearness to the old primary."""
    old = state.servers.get(promotion.leader)
    zone = old.entry.zone if old is not None else state.zone
    near = state.regions.get(server.entry.zone) == state.regions.get(zone)
    position = promotion.positions.get(server.entry.server, Position(0, 0))
    return (position, near, server.entry.server)


def _order(state, database: Database, promotion: Promotion, out: Effects) -> None:
    if promotion.call or state.now < promotion.repeat_at:
        return
    promotion.call = _call(state, "promotion", database)
    promotion.ordered = True
    _log(
        state,
        database,
        "promotion_ordered",
        out,
        server=promotion.candidate,
        token=promotion.token,
        position=promotion.positions.get(promotion.candidate),
    )
    out.append(
        OrderPromotion(
            call=promotion.call,
            service=database.name,
            server=promotion.candidate,
            token=promotion.token,
            deadline=min(promotion.began_at + ATTEMPT_TIME, state.now + 1.0),
        )
    )


def take_order(state: DirectState, event: PromotionAnswered, out: Effects) -> None:
    """Take the platform's answer to an order of promotion."""
    found = _find_promotion(state, event.call)
    if found is None:
        return
    database, promotion = found
    promotion.call = 0
    if promotion.step is not PromotionStep.ORDERING:
        return
    _log(state, database, "promotion_answered", out, outcome=event.outcome.value)
    if event.outcome is PromotionOutcome.ACCEPTED:
        _enter(state, promotion, PromotionStep.TAKING_EFFECT)
    elif event.outcome is PromotionOutcome.REJECTED:
        promotion.positions.pop(promotion.candidate, None)
        _enter(state, promotion, PromotionStep.COMPARING)
    else:
        promotion.repeat_at = state.now + REPEAT_TIME


def _await_effect(state, database: Database, promotion: Promotion, out) -> None:
    if state.now - promotion.step_at >= EFFECT_TIME:
        _enter(state, promotion, PromotionStep.COMPARING)


def _finish(state, database: Database, promotion: Promotion, out: Effects) -> None:
    """Record the new primary if this VM had it promoted."""
    leader = database.leader
    took = state.now - promotion.began_at
    _log(state, database, "promotion_done", out, server=leader.server, new=leader.term)
    database.promotion = None
    if not promotion.token:
        return
    _end_suspensions(state, database)
    out.append(Observe(metric="promotion_seconds", value=took))
    record = LeaderRecord(
        state=LeaderState.STABLE,
        server=leader.server,
        term=leader.term,
        vm=state.vm,
        attempt=promotion.attempt,
    )
    out.append(
        WriteLeaderRecord(
            call=state.take_number(),
            service=database.name,
            record=record,
            revision=promotion.token,
        )
    )


def _end_suspensions(state: DirectState, database: Database) -> None:
    for server in state.members(database.name):
        if server.suspended_until is not None:
            server.suspended_until = state.now


_STEPS = {
    PromotionStep.SUSPECTING: _suspect,
    PromotionStep.WAITING: _wait,
    PromotionStep.READING: _read,
    PromotionStep.CLAIMING: _claim,
    PromotionStep.ENDING_LEAD: _end_lead,
    PromotionStep.COMPARING: _compare,
    PromotionStep.FENCING: _fence,
    PromotionStep.ORDERING: _order,
    PromotionStep.TAKING_EFFECT: _await_effect,
}


def _call(state: DirectState, purpose: str, database: Database) -> int:
    number = state.take_number()
    state.calls[number] = (purpose, database.name)
    return number


def _find_promotion(state: DirectState, call: int) -> tuple[Database, Promotion] | None:
    """Return the promotion that waits for a call's answer."""
    purpose, name = state.calls.pop(call, ("", ""))
    database = state.databases.get(name)
    if not purpose or database is None or database.promotion is None:
        return None
    if database.promotion.call != call:
        return None
    return database, database.promotion


def _ms(seconds: float) -> int:
    return round(seconds * 1000)


def _log(state, database: Database, event: str, out: Effects, **fields) -> None:
    promotion = database.promotion
    common = (
        ("database", database.name),
        ("old", promotion.leader),
        ("term", promotion.term),
        ("cause", promotion.cause),
        ("after_ms", _ms(state.now - promotion.began_at)),
    )
    out.append(Log(event=event, fields=(*common, *fields.items()), essential=True))
