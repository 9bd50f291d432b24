"""The change tickets in force and the term records.

Tickets come into force in order of their numbers and are never reverted. A term
record is replaced only by a newer one.
"""

from ..events import PeerReceived, Started, StoreChanged, StoreRestored, VmListReported
from ..messages import Heartbeat, TermsPushed, TermsWanted, TicketsPushed, TicketsWanted
from ..model import ChangeTicket, Database, DatabaseGroup, TermRecord
from ..store import TERM_PREFIX, TICKET_PREFIX, decode_term, decode_ticket
from ._ownership import is_watcher
from ._spreading import (
    answer_terms,
    answer_tickets,
    compare_tickets,
    push_term_records,
    push_tickets,
    relay_vm_list,
    request_tickets,
)
from ._state import Effects, NodeState, record as append_record
from ._watching import (
    CatchUpDue,
    ListCall,
    VmListDue,
    catch_up,
    handle_list_answer,
    handle_restored_store,
    handle_start,
    note_era,
    read_vm_list,
)

__all__ = [
    "find_database",
    "fold_ticket",
    "learn_term_record",
    "learn_ticket",
    "rank_record",
]


def fold_ticket(
    groups: dict[str, DatabaseGroup], ticket: ChangeTicket
) -> dict[str, DatabaseGroup]:
    """Return the groups in force after a ticket, without changing `groups`.

    A group without databases is removed.

    >>> empty = DatabaseGroup(name="g")
    >>> ticket = ChangeTicket(number=2, author="a", identity="i", groups=(empty,))
    >>> sorted(fold_ticket({"g": empty, "h": DatabaseGroup(name="h")}, ticket))
    ['h']
    """
    folded = dict(groups)
    for group in ticket.groups:
        if group.databases:
            folded[group.name] = group
        else:
            folded.pop(group.name, None)
    return folded


def find_database(node: NodeState, name: str) -> tuple[DatabaseGroup, Database] | None:
    """Return a database in force with its group, or None."""
    return node.config.databases.get(name)


def learn_ticket(
    node: NodeState, ticket: ChangeTicket, cause: str, out: Effects
) -> bool:
    """Store an accepted ticket and apply all tickets that are next in order.

    A different ticket with a known number is recorded as a conflict and not stored.

    Returns:
        Whether the ticket is new to this VM.
    """
    config = node.config
    known = config.tickets.get(ticket.number)
    if known is not None:
        if known.identity != ticket.identity:
            append_record(out, "ticket_conflict", cause=cause, ticket=ticket.number)
        return False
    if ticket.number < 1:
        return False
    config.tickets[ticket.number] = ticket
    while (following := config.tickets.get(config.applied + 1)) is not None:
        _apply_ticket(node, following, cause, out)
    if ticket.number > config.applied:
        detail = (("missing", config.applied + 1),)
        append_record(
            out, "ticket_waits", cause=cause, ticket=ticket.number, detail=detail
        )
    return True


def learn_term_record(
    node: NodeState,
    record: TermRecord,
    store_version: int,
    out: Effects,
    *,
    era: int = 0,
) -> bool:
    """Store a term record if it is newer than the known one.

    Args:
        store_version: version of the record's object in the store, 0 if unknown.
            It replaces the known version together with the record, also if it
            is 0. The version of an older record is kept as well: the next write
            has to replace that record if a restored store holds it.
        era: the store's era of that version.

    Returns:
        Whether the record replaced the known one.
    """
    config = node.config
    name = record.database
    known = config.records.get(name)
    if store_version and not note_era(node, era):
        store_version = 0
    version = config.record_versions.get(name, 0)
    if known == record:
        config.record_versions[name] = max(version, store_version)
        return False
    if known is not None:
        newer = rank_record(record) > rank_record(known)
        same_rank = rank_record(record) == rank_record(known)
        if not newer and not same_rank:
            config.record_versions[name] = max(version, store_version)
            return False
        if not newer and store_version <= version:
            return False
    config.progress += _measure_progress(record) - _measure_progress(known)
    config.records[name] = record
    config.record_versions[name] = store_version
    config.version += 1
    detail = (("reserved", record.highest_reserved), ("store_version", store_version))
    append_record(
        out,
        "term_record_learnt",
        cause="store" if store_version else "peer",
        database=name,
        server=record.primary or "",
        term=record.term,
        detail=detail,
    )
    return True


def _measure_progress(record: TermRecord | None) -> int:
    """Return what a term record adds to `ConfigState.progress`."""
    if record is None:
        return 0
    return record.term + record.highest_reserved


def rank_record(record: TermRecord) -> tuple[int, int, int]:
    """Return a key that is greater for a newer term record."""
    return (record.term, len(record.starts), record.highest_reserved)


def _apply_ticket(
    node: NodeState, ticket: ChangeTicket, cause: str, out: Effects
) -> None:
    """Bring the next ticket into force and rebuild the databases in force."""
    config = node.config
    config.groups = fold_ticket(config.groups, ticket)
    config.applied = ticket.number
    config.applied_at = node.now
    config.version += 1
    config.databases = {}
    for name in sorted(config.groups):
        group = config.groups[name]
        for database in group.databases:
            config.databases.setdefault(database.name, (group, database))
    detail = (("author", ticket.author), ("reason", ticket.reason))
    append_record(
        out, "ticket_applied", cause=cause, ticket=ticket.number, detail=detail
    )


def _handle_objects(node: NodeState, objects, era: int, out: Effects) -> None:
    """Store the tickets and term records among objects of the store.

    The watcher pushes those that are new to it.

    Args:
        era: the store's era of the objects' versions.
    """
    tickets = []
    records = []
    for item in objects:
        if item.key.startswith(TICKET_PREFIX):
            result = decode_ticket(item.key, item.value)
            if result.is_ok() and learn_ticket(node, result.ok(), "store", out):
                tickets.append(result.ok())
        elif item.key.startswith(TERM_PREFIX):
            result = decode_term(item.key, item.value)
            if result.is_ok() and learn_term_record(
                node, result.ok(), item.version, out, era=era
            ):
                records.append(result.ok())
        else:
            continue
        if result.is_err():
            detail = (("key", item.key), ("reason", result.err().detail))
            append_record(out, "object_unreadable", cause="store", detail=detail)
    if is_watcher(node):
        push_tickets(node, tickets, out)
        push_term_records(node, records, out)


def _handle_store_changes(node: NodeState, event: StoreChanged, out: Effects) -> None:
    _handle_objects(node, event.objects, event.era, out)


def _handle_store_list(node: NodeState, purpose, event, out: Effects) -> None:
    """Handle the answer to a list of the store, and its objects if it succeeded."""
    if handle_list_answer(node, purpose, event.result, out):
        _handle_objects(node, event.result.objects, event.result.era, out)


def _handle_pushed_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Store pushed tickets, and request more if the sender is still ahead."""
    sender = event.envelope.sender
    node.config.tickets_received = True
    for ticket in event.envelope.message.tickets:
        learn_ticket(node, ticket, f"peer {sender}", out)
    peer = node.membership.peers.get(sender)
    if peer is not None and peer.view.ticket > node.config.applied:
        request_tickets(node, sender, out)


def _handle_pushed_records(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Store pushed term records, and relay those that were new."""
    node.config.terms_received = True
    fresh = []
    for item in event.envelope.message.records:
        if learn_term_record(node, item, 0, out):
            fresh.append(item)
    push_term_records(node, fresh, out, relay=True)


EVENTS: dict = {
    Started: handle_start,
    StoreChanged: _handle_store_changes,
    StoreRestored: handle_restored_store,
    VmListReported: relay_vm_list,
}
MESSAGES: dict = {
    Heartbeat: compare_tickets,
    TicketsWanted: answer_tickets,
    TicketsPushed: _handle_pushed_tickets,
    TermsWanted: answer_terms,
    TermsPushed: _handle_pushed_records,
}
TIMERS: dict = {CatchUpDue: catch_up, VmListDue: read_vm_list}
STORE_ANSWERS: dict = {ListCall: _handle_store_list}
CONTROL_ANSWERS: dict = {}
