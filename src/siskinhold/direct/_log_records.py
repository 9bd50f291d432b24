"""The servers that may hold acknowledged commits, as the leader record names them.

A VM that has just started knows only the servers that are listed. One whose entry has
expired may hold commits that the others lack, so the record names it until others hold
them. It is only written where replicas acknowledge commits, and only if servers join
or leave.
"""

from ._effects import Log, ReadLeaderRecord
from ._events import LeaderRecordAnswered, StoreOutcome
from ._lease import CLAIM_TIMEOUT
from ._log_proof import count_acknowledging, list_places
from ._promotion_steps import find_rank, register_call, write_record
from ._state import Database, DirectState, Effects
from ._types import LeaderState, Revision

RECORDING_VMS = 2
"""Number of VMs that write the record of a database."""

RECORDING_INTERVAL = 2.0
"""Seconds between two looks of the first of them; the second one takes twice as long,
so that it usually finds what the first one has written."""


def record_servers(state: DirectState, database: Database, out: Effects) -> None:
    """Write the record if it names other servers than those that count; at each tick.

    It is read before, and only replaced if it is that of the primary, and no promotion
    is under way.
    """
    leader = database.leader
    if leader is None or state.now < database.servers_recorded_at:
        return
    if not count_acknowledging(state, database):
        return
    if database.promotion or database.completion or database.open_claim:
        return
    rank = find_rank(state, database, leader.term)
    if rank >= RECORDING_VMS:
        return
    database.servers_recorded_at = state.now + RECORDING_INTERVAL * (1 + rank)
    if not database.record_known:
        _read(state, database, out)
        return
    places = list_places(state, database)
    record = database.record
    revision = database.record_revision
    if record is None:
        if revision.number >= 0 or state.store_era:
            # It is unreadable, or the first one of an era is written elsewhere.
            return
        revision = Revision()
    elif revision.era != state.store_era:
        return
    elif record.state is not LeaderState.STABLE or record.term != leader.term:
        _read(state, database, out)
        return
    elif record.servers == places:
        return
    elif state.now - database.record_seen_at < CLAIM_TIMEOUT:
        # Its lease may go on.
        return
    write_record(
        state,
        database,
        server=leader.server,
        term=leader.term,
        attempt="",
        holder="",
        call=register_call(state, "servers", database),
        progress=LeaderState.STABLE,
        revision=revision,
        out=out,
    )


def _read(state: DirectState, database: Database, out: Effects) -> None:
    """Read the record."""
    out.append(
        ReadLeaderRecord(
            call=register_call(state, "watch", database),
            service=database.name,
            era=state.store_era,
        )
    )


def handle_servers_recorded(
    state: DirectState, database: Database, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Log that the record names the servers; a failed call is repeated."""
    if event.outcome is not StoreOutcome.DONE or event.record is None:
        return
    names = ",".join(place.server for place in event.record.servers)
    fields = (
        ("database", database.name),
        ("term", event.record.term),
        ("servers", names),
        ("revision", str(event.revision)),
    )
    out.append(Log(event="servers_recorded", fields=fields, essential=True))
