"""Which server is believed to be a database's primary, and how that is found out."""

import enum

from ._connections import find_control_connection, send
from ._effects import Log
from ._server_state import Purpose, Server
from ._state import Database, DirectState, Effects, Leadership
from ._types import Answer, Command, CommandKind, Refusal, TransactionState


class DropReason(enum.Enum):
    """Why a primary is no longer believed in."""

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
"""Seconds until the next primary is known, as a rule: it only has to be found, has to
apply what it received, or has to be promoted."""


def drop_leader(
    state: DirectState, database: Database, reason: DropReason, out: Effects
) -> None:
    """Believe in no primary until one is found."""
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
    """Believe in a primary of a term, unless a newer term is known."""
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
                ("gap_ms", round((state.now - database.leaderless_since) * 1000)),
            ),
            essential=True,
        )
    )


def handle_attestation(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Take what a server that was not believed to lead says of itself."""
    status = answer.status
    if status is None or answer.position is None:
        return
    if status.leads:
        handle_role(state, server, sent_at, answer, out)
        return
    server.write_refused_at = max(server.write_refused_at, sent_at)
    server.attested_at = sent_at
    server.attested_term = max(status.term, status.suspended_term)


def probe_leader(state: DirectState, server: Server, out: Effects) -> None:
    """Ask a server whether it leads, by a transaction for writing that is rolled back.

    It takes no slot. A replica refuses it.
    """
    control = find_control_connection(server)
    if control is None or control.pending:
        return
    begin = Command(kind=CommandKind.BEGIN)
    send(state, control, begin, Purpose.LEAD_PROBE, out)
    rollback = Command(kind=CommandKind.ROLLBACK)
    send(state, control, rollback, Purpose.CLEANUP, out)


def handle_leader_probe(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Take the answer to `probe_leader`."""
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
    # Positions may show an older term until the first commit of a newer one.
    control = find_control_connection(server)
    status = Command(kind=CommandKind.STATUS)
    send(state, control, status, Purpose.ROLE, out)


def handle_role(
    state: DirectState, server: Server, sent_at: float, answer: Answer, out: Effects
) -> None:
    """Take what a server that took a transaction for writing says of itself.

    It is believed in once it has applied all that it had received: until then its reads
    lack commits that were acknowledged before it was promoted. A primary of an older
    term, which does not know that it was replaced, is told to step down.
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
    if answer.position >= status.received:
        set_leader(state, database, server, status.term, out)
