"""The lease that keeps the promotions of a database with one VM.

A VM that has ordered a promotion may order the next one at once. Another VM claims the
leader record only once `ORDER_LEASE` has passed since the last order. It does not know
when that was sent, and counts from its first sight of the record's revision instead: a
claim is seen after it was sent, and a completed record after the last order of its
promotion has arrived. What a VM learns late, or again after a restart, can only add to
its wait. An order without an answer may be on its way for `ORDER_TRANSIT_PERIOD`: the
record is completed after that, and a claim that stays open is waited for that much
longer.

The lease is not renewed, so it costs nothing while primaries are healthy. After another
VM's promotion, each VM that needs the servers reads the record until it is complete, so
that the lease has usually ended when the next primary is lost.
"""

from ._effects import ReadLeaderRecord
from ._events import LeaderRecordAnswered, StoreOutcome
from ._leaders import note_start
from ._log_proof import learn_servers
from ._promotion_steps import log_promotion, register_call, to_milliseconds
from ._state import Database, DirectState, Effects
from ._types import LeaderRecord, LeaderState

ATTEMPT_TIMEOUT = 3.0
"""Seconds after a claim was sent in which the claimant may order promotions."""

ORDER_LEASE = 2.0
"""Seconds after a VM's last order in which no other VM orders a promotion."""

ORDER_TRANSIT_PERIOD = 1.0
"""Seconds after it was sent in which an order may still arrive at the platform."""

CLAIM_TIMEOUT = ATTEMPT_TIMEOUT + ORDER_TRANSIT_PERIOD + ORDER_LEASE
"""Seconds after which another VM may replace an unchanged claim."""

COMPLETION_DELAY = 0.2
"""Seconds from a new primary until its record is usually complete."""

COMPLETION_INTERVAL = 1.0
"""Seconds between two reads of a record that is not complete yet."""


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
    """Note when a revision of the leader record was first seen, and what it holds."""
    if event.outcome is not StoreOutcome.UNKNOWN:
        database.record_known = True
    if event.outcome not in (StoreOutcome.DONE, StoreOutcome.CONFLICT):
        return
    record = event.record
    if event.revision > database.record_revision:
        database.record_revision = event.revision
        database.record_seen_at = state.now
        database.record = record
    if record is not None:
        learn_servers(state, database, record.servers)
    for start in record.starts if record is not None else ():
        note_start(database, start.term, start.position)
    if record is not None and record.state is LeaderState.STABLE:
        database.completed_term = max(database.completed_term, record.term)


def find_record_end(
    state: DirectState, database: Database, record: LeaderRecord | None
) -> float:
    """Return from when on this VM may replace the leader record that it has read.

    An unreadable record may be another VM's claim.
    """
    if record is None or record.state is LeaderState.PROMOTING:
        return database.record_seen_at + CLAIM_TIMEOUT
    if not record.holder:
        return state.now
    if record.holder == state.vm:
        return database.goes_on_at
    return database.record_seen_at + ORDER_LEASE


def holds_lease(state: DirectState, database: Database) -> bool:
    """Return whether other VMs may still have to wait for this VM's lease to end."""
    return state.now - database.ordered_at < CLAIM_TIMEOUT


def watch_completion(state: DirectState, database: Database, out: Effects) -> None:
    """Read the leader record after another VM's promotion until it is complete.

    It is given up after `CLAIM_TIMEOUT`. After the start of this VM, the first primary
    that it finds is not taken for a new one.
    """
    leader = database.leader
    if leader is None or leader.term <= database.completed_term:
        return
    waited = state.now - leader.since
    if not database.completed_term or waited >= CLAIM_TIMEOUT:
        database.completed_term = leader.term
        return
    if waited < COMPLETION_DELAY or state.now < database.completion_read_at:
        return
    database.completion_read_at = state.now + COMPLETION_INTERVAL
    out.append(
        ReadLeaderRecord(
            call=register_call(state, "watch", database),
            service=database.name,
            era=state.store_era,
            fresh=False,
        )
    )


def delay_promotion(
    state: DirectState, database: Database, until: float | None, out: Effects, **fields
) -> None:
    """Log once for each reason that a promotion waits before its claim.

    Args:
        until: when the wait ends at the latest, None if that is not known.
    """
    promotion = database.promotion
    reason = tuple(fields.items())
    if promotion.delayed_by == reason:
        return
    promotion.delayed_by = reason
    if until is not None:
        fields["for_ms"] = to_milliseconds(until - state.now)
    log_promotion(state, database, "promotion_delayed", out, **fields)
