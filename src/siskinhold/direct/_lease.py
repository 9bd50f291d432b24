"""How long another VM's promotion of a database keeps this VM from a claim."""

from ._events import LeaderRecordAnswered, StoreOutcome
from ._promotion_steps import log_promotion, to_milliseconds
from ._state import Database, DirectState, Effects
from ._types import LeaderRecord, LeaderState

CLAIM_TIMEOUT = 4.5
"""Seconds after which another VM may replace an unchanged claim."""


def find_claim_time(state: DirectState, database: Database) -> float:
    """Return from when on the first leader record of an era of the store is claimed.

    A claim of an older era, which a restored store has lost, may be in use until then.
    It is now if the store reports no eras, or if the era has a record.
    """
    if not state.store_era or database.recorded_era == state.store_era:
        return state.now
    return state.store_era_since + CLAIM_TIMEOUT


def note_revision(
    state: DirectState, database: Database, event: LeaderRecordAnswered
) -> None:
    """Note when a revision of the leader record was first seen."""
    if event.outcome not in (StoreOutcome.DONE, StoreOutcome.CONFLICT):
        return
    if event.revision > database.record_revision:
        database.record_revision = event.revision
        database.record_seen_at = state.now


def find_record_end(
    state: DirectState, database: Database, record: LeaderRecord | None
) -> float:
    """Return from when on this VM may replace the leader record that it has read."""
    if record is not None and record.state is LeaderState.PROMOTING:
        return database.record_seen_at + CLAIM_TIMEOUT
    return state.now


def delay_promotion(
    state: DirectState, database: Database, until: float, out: Effects, **fields
) -> None:
    """Log once for each reason that a promotion waits before its claim."""
    promotion = database.promotion
    reason = tuple(fields.items())
    if promotion.delayed_by == reason:
        return
    promotion.delayed_by = reason
    for_ms = to_milliseconds(until - state.now)
    log_promotion(state, database, "promotion_delayed", out, **fields, for_ms=for_ms)
