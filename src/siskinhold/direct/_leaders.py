"""Leader of each database: the server that this VM believes to be its primary."""

import enum

from ..model import Position
from ._database_state import Leadership
from ._effects import Log
from ._server_state import Purpose, Server
from ._state import Database, DirectState, Effects
from ._types import Answer, Command, CommandKind, Refusal, TermStart, TransactionState
from .pools import find_control_connection, send

ATTESTATION_RETRY_DELAY = 0.05
"""Seconds until a server that refused a status query is queried again."""


MAX_STARTS = 32
"""Number of terms whose beginning is kept."""


class DropReason(enum.Enum):
    """Why a server is no longer believed to be the primary.

    Attributes:
        NEWER_TERM: a server's log or status report shows a newer term.
        OTHER_LEADS: another server leads in the same or a newer term.
        READ_ONLY: the server refused a write or a write transaction.
        RECORD: the leader record in the store shows a newer term.
        GONE: the server was removed from the list of servers.
    """

    NEWER_TERM = "newer_term"
    OTHER_LEADS = "other_leads"
    READ_ONLY = "read_only"
    RECORD = "record"
    GONE = "gone"


EXPECTED_REPLACEMENT_TIMES = {
    DropReason.NEWER_TERM: 0.2,
    DropReason.OTHER_LEADS: 0.4,
    DropReason.READ_ONLY: 0.8,
    DropReason.RECORD: 0.8,
    DropReason.GONE: 1.0,
}
"""Usual number of seconds until the next primary is known: it only has to be found, has
to apply its received log, or has to be promoted."""


def drop_leader(
    state: DirectState, database: Database, reason: DropReason, out: Effects
) -> None:
    """Drop a database's leader; it has none until a primary is found."""
    if database.leader is None:
        return
    out.append(
        Log(
            event="leader_dropped",
            fields=(
                ("database", database.name),
                ("server", database.leader.server),
                ("term", database.leader.term),
                ("reason", reason.value),
            ),
            essential=True,
        )
    )
    database.previous_leader = database.leader
    database.leader = None
    database.leaderless_since = state.now
    database.leader_expected_at = state.now + EXPECTED_REPLACEMENT_TIMES[reason]
    database.probed_at = -1.0
    state.pending_updates.add(database.name)


def set_leader(
    state: DirectState, database: Database, server: Server, term: int, out: Effects
) -> None:
    """Set a server as the leader of a term, unless a newer term is known.

    Floors and confirmations by the store, which concern the previous leader, are
    discarded.
    """
    for member in state.members(database.name):
        evidence = member.evidence
        if evidence is not None and evidence.position.term > term:
            return
    if term < database.min_term:
        return
    old = database.leader or database.previous_leader
    name = server.entry.server
    if old is not None and old.term > term:
        return
    database.leader = Leadership(server=name, term=term, since=state.now)
    database.rolled_back_since = None
    database.floors.clear()
    database.store_confirmed_at = -1.0
    state.pending_updates.add(database.name)
    out.append(
        Log(
            event="leader_found",
            fields=(
                ("database", database.name),
                ("server", name),
                ("term", term),
                (
                    "leaderless_ms",
                    round((state.now - database.leaderless_since) * 1000),
                ),
            ),
            essential=True,
        )
    )


def note_start(database: Database, term: int, position: Position) -> None:
    """Note where a term began, unless it is known."""
    if any(start.term == term for start in database.term_starts):
        return
    starts = [*database.term_starts, TermStart(term=term, position=position)]
    starts.sort(key=lambda start: start.term)
    database.term_starts = tuple(starts[-MAX_STARTS:])


def handle_attestation(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Handle the answer to a status query that requested an attestation.

    A replica's report is recorded as its attestation. A server that reports that it
    leads may be a new primary. A replica's newer term has begun, so the leader is
    dropped; one that it is only suspended for may never begin.
    """
    status = answer.status
    if status is None or answer.position is None:
        server.attestation_retry_at = state.now + ATTESTATION_RETRY_DELAY
        return
    if status.leads:
        handle_leader_status(state, server, sent_at, answer, out)
        return
    server.write_refused_at = max(server.write_refused_at, sent_at)
    term = max(status.term, status.suspended_term)
    server.record_attestation(state.now, sent_at, term)
    database = state.databases.get(server.entry.service)
    leader = database.leader if database is not None else None
    if leader is not None and status.term > leader.term:
        database.min_term = max(database.min_term, status.term)
        drop_leader(state, database, DropReason.NEWER_TERM, out)


def probe_leader(state: DirectState, server: Server, out: Effects) -> None:
    """Check whether a server leads, by a write transaction that is rolled back.

    A replica refuses it. It needs no slot of the server.
    """
    control = find_control_connection(server)
    if control is None or control.pending:
        return
    begin = Command(kind=CommandKind.BEGIN)
    send(state, control, begin, Purpose.LEAD_PROBE, out)
    rollback = Command(kind=CommandKind.ROLLBACK)
    send(state, control, rollback, Purpose.CLEANUP, out)


def handle_leader_probe_answer(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Handle the answer to `probe_leader`.

    If the server accepted the write transaction, it is confirmed as the leader, or
    queried for its term if it is not the leader. A leader that refused it as read-only
    is dropped.
    """
    database = state.databases.get(server.entry.service)
    if database is None or answer.position is None:
        return
    leader = database.leader
    name = server.entry.server
    if answer.refusal is not None:
        if answer.refusal is Refusal.READ_ONLY:
            server.write_refused_at = max(server.write_refused_at, sent_at)
            if leader is not None and leader.server == name:
                drop_leader(state, database, DropReason.READ_ONLY, out)
        return
    if answer.transaction is not TransactionState.OPEN:
        return
    if leader is not None and leader.server == name:
        server.lead_confirmed_at = max(server.lead_confirmed_at, sent_at)
        return
    # Its position may show an older term until the first commit of its own.
    control = find_control_connection(server)
    status = Command(kind=CommandKind.STATUS)
    send(state, control, status, Purpose.ROLE, out)


def handle_leader_status(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Handle the status report of a server that may be a new primary.

    It becomes the leader once it has applied its whole received log: until then its
    reads lack commits that were acknowledged before its promotion. A primary of an
    older term, which does not know that it was replaced, is ordered to step down.
    """
    database = state.databases.get(server.entry.service)
    status = answer.status
    if database is None or status is None or answer.position is None:
        return
    leader = database.leader
    if not status.leads:
        server.write_refused_at = max(server.write_refused_at, sent_at)
        return
    if leader is not None and status.term < leader.term:
        control = find_control_connection(server)
        command = Command(kind=CommandKind.STEP_DOWN, term=leader.term)
        send(state, control, command, Purpose.ROLE, out)
        return
    if leader is not None and leader.server != server.entry.server:
        drop_leader(state, database, DropReason.OTHER_LEADS, out)
    if status.received.term < status.term:
        # It has no commit of its own yet.
        note_start(database, status.term, status.received)
    if answer.position >= status.received:
        set_leader(state, database, server, status.term, out)
        return
    server.catching_up_at = state.now
