"""Helpers shared by the steps of a promotion."""

import hashlib

from ._effects import Log, WriteLeaderRecord
from ._log_proof import list_places
from ._promotion_state import Promotion, PromotionStep
from ._state import Database, DirectState, Effects
from ._types import LeaderRecord, LeaderState, Revision

GONE_LEADER_TIMEOUT = 2.5
"""Seconds until a primary whose entry is missing is replaced; entries that expire
during a store outage are back about two seconds after its end."""

SWITCHOVER_CAUSE = "replicas_behind"
"""Cause of the promotion of a replica in place of a primary that works."""

DRAINING_CAUSE = "draining"
"""Cause of the replacement of a primary that is about to shut down."""

PLANNED_CAUSES = (SWITCHOVER_CAUSE, DRAINING_CAUSE)
"""Causes for which a primary that works is replaced."""

SWITCH_PERIOD = 2.0
"""Seconds that the replacement of a primary takes at most, as a rule."""

CALL_TIMEOUT = 1.0
"""Seconds until an unanswered store call is repeated: longer than the slowest answer
that the platform's documentation allows."""

ORDER_EFFECT_PERIOD = 5.0
"""Seconds after an order in which it may take effect."""

STEP_RETRY_INTERVAL = 0.2
"""Seconds between two attempts at a step that failed."""


def enter_step(state: DirectState, promotion: Promotion, step: PromotionStep) -> None:
    """Enter a step; a pending answer of the previous step will be ignored."""
    promotion.step = step
    promotion.step_at = state.now
    promotion.repeat_at = 0.0
    promotion.call = 0


def is_planned(state: DirectState, promotion: Promotion) -> bool:
    """Return whether a primary is replaced that this VM still reaches."""
    if promotion.cause not in PLANNED_CAUSES:
        return False
    leader = state.servers.get(promotion.leader)
    return leader is not None and leader.down_at is None and leader.gone_at is None


def is_due(state: DirectState, promotion: Promotion) -> bool:
    """Return whether a draining primary has no time left to wait for a successor."""
    leader = state.servers.get(promotion.leader)
    if leader is None or leader.leaves_at is None:
        return False
    began_at = state.now if promotion.claim is None else promotion.claim.sent_at
    return began_at >= leader.leaves_at - SWITCH_PERIOD


def register_call(state: DirectState, purpose: str, database: Database) -> int:
    """Register a call to the store or the platform, and return its number.

    Args:
        purpose: selects the handler of the answer to a call on the leader record.
    """
    number = state.allocate_number()
    state.calls[number] = (purpose, database.name)
    return number


def pop_promotion_call(
    state: DirectState, call: int
) -> tuple[Database, Promotion] | None:
    """Remove a call and return the promotion that waits for its answer.

    Returns:
        the database and its promotion; None if the answer is no longer awaited.
    """
    purpose, name = state.calls.pop(call, ("", ""))
    database = state.databases.get(name)
    if not purpose or database is None or database.promotion is None:
        return None
    if database.promotion.call != call:
        return None
    return database, database.promotion


def to_milliseconds(seconds: float) -> int:
    """Return seconds as whole milliseconds."""
    return round(seconds * 1000)


def log_promotion(
    state, database: Database, event: str, out: Effects, **fields
) -> None:
    """Log an event of the current promotion, with its cause and age."""
    promotion = database.promotion
    common = (
        ("database", database.name),
        ("old", promotion.leader),
        ("term", promotion.term),
        ("cause", promotion.cause),
        ("after_ms", to_milliseconds(state.now - promotion.began_at)),
    )
    out.append(Log(event=event, fields=(*common, *fields.items()), essential=True))


def find_rank(state: DirectState, database: Database, term: int) -> int:
    """Return the number of connection holders that are ranked before this VM.

    The order is that of a hash, which differs by database and term.
    """

    def hash_vm(vm: str) -> bytes:
        text = f"{vm}/{database.name}/{term}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    own_hash = hash_vm(state.vm)
    rank = 0
    for vm in state.holders:
        if vm.name != state.vm and hash_vm(vm.name) < own_hash:
            rank += 1
    return rank


def may_call(state: DirectState, promotion: Promotion) -> bool:
    """Return whether the current step's call may be made or repeated."""
    if promotion.call and state.now - promotion.step_at < CALL_TIMEOUT:
        return False
    return state.now >= promotion.repeat_at


def find_effect_end(database: Database, server: str) -> float:
    """Return until when an order by this VM may replace a primary that was found.

    The order of a promotion that was given up counts as well.
    """
    if database.ordered_server in ("", server):
        return -1.0
    return database.ordered_at + ORDER_EFFECT_PERIOD


def is_resuming(state: DirectState, database: Database) -> bool:
    """Return whether a server of a database has yet to be resumed by this VM."""
    for server in state.members(database.name):
        if server.resume_at is not None and server.down_at is None:
            return True
    return False


def write_record(
    state: DirectState,
    database: Database,
    *,
    server: str,
    term: int,
    attempt: str,
    holder: str,
    call: int,
    progress: LeaderState,
    revision: Revision,
    out: Effects,
) -> None:
    """Write the leader record for a promotion, if its revision is the expected one.

    Args:
        server: the primary, or the one to be replaced.
        term: its term.
        attempt: the promotion's random id.
        holder: the VM whose lease another VM has to wait out.
        call: number of the call.
        progress: state of the promotion.
        revision: the record's expected revision.
    """
    record = LeaderRecord(
        state=progress,
        server=server,
        term=term,
        vm=state.vm,
        attempt=attempt,
        holder=holder,
        starts=database.term_starts,
        servers=list_places(state, database),
    )
    out.append(
        WriteLeaderRecord(
            call=call,
            service=database.name,
            record=record,
            revision=revision,
        )
    )
