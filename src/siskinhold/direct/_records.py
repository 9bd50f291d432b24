"""First leader records of an era of the store.

A store that is restored from a copy begins an era without leader records: that of a
promotion may be lost with what was written after the copy, and an older one proves
nothing. Promotions that were claimed before the restore end within seconds. The servers
then prove which primary leads, and a VM records it, so that the store can confirm it
again.
"""

import hashlib

from ._effects import Log
from ._events import LeaderRecordAnswered, StoreOutcome
from ._evidence import list_witnesses, request_attestation
from ._promotion_steps import find_rank, register_call, write_record
from ._state import Database, DirectState, Effects
from ._types import LeaderState, Revision
from ._write_proof import is_attested_by_all

FIRST_RECORD_DELAY = 10.0
"""Seconds after this VM learned of an era until it records a primary there: a promotion
that was claimed in an older era has ended and taken effect by then."""

RECORDING_VMS = 2
"""Number of VMs that record a database's primary without having missed the record."""

RANK_INTERVAL = 1.0
"""Seconds between the first attempts of two of them: longer than a write takes."""

RECORDS_PER_SECOND = 50
"""Databases whose primary is recorded each second, which spreads the writes of all VMs
over time."""

RETRY_INTERVAL = 0.5
"""Lower limit of the seconds between two attempts."""


def record_primary(state: DirectState, database: Database, out: Effects) -> None:
    """Record a database's primary in a new era once the servers prove that it leads."""
    leader = database.leader
    if not state.store_era or database.recorded_era == state.store_era:
        return
    if leader is None or database.promotion is not None:
        return
    if state.now < database.record_retry_at:
        return
    proved_since = state.store_era_since + FIRST_RECORD_DELAY
    if state.now < proved_since + _find_delay(state, database, leader.term):
        return
    database.record_retry_at = state.now + RETRY_INTERVAL
    if not is_attested_by_all(state, database, proved_since):
        for member in list_witnesses(state, database):
            request_attestation(state, member, proved_since, out)
        return
    database.record_retry_at += _find_window(state)
    write_record(
        state,
        database,
        server=leader.server,
        term=leader.term,
        attempt="",
        holder="",
        call=register_call(state, "first", database),
        progress=LeaderState.STABLE,
        revision=Revision(era=state.store_era),
        out=out,
    )


def _find_delay(state: DirectState, database: Database, term: int) -> float:
    """Return how long this VM waits, which spreads the writes of all databases."""
    rank = find_rank(state, database, term)
    if rank >= RECORDING_VMS and database.missed_era != state.store_era:
        return float("inf")
    digest = hashlib.blake2b(database.name.encode(), digest_size=4).digest()
    share = int.from_bytes(digest) / 2**32
    return share * _find_window(state) + rank * RANK_INTERVAL


def _find_window(state: DirectState) -> float:
    """Return in how many seconds the records of all databases are written once."""
    return len(state.databases) / RECORDS_PER_SECOND


def note_record(
    state: DirectState, database: Database, event: LeaderRecordAnswered
) -> None:
    """Note whether an answer shows that an era has a leader record."""
    if event.outcome in (StoreOutcome.DONE, StoreOutcome.CONFLICT):
        database.recorded_era = max(database.recorded_era, event.revision.era)
    elif event.outcome is StoreOutcome.ABSENT:
        database.missed_era = max(database.missed_era, event.revision.era)


def handle_first_record_answer(
    state: DirectState, database: Database, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Log that the first record of an era was written; a failed call is repeated."""
    if event.outcome is not StoreOutcome.DONE:
        return
    fields = (
        ("database", database.name),
        ("server", event.record.server if event.record is not None else ""),
        ("term", event.record.term if event.record is not None else 0),
        ("era", event.revision.era),
    )
    out.append(Log(event="primary_recorded", fields=fields, essential=True))
