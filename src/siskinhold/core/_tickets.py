"""The change tickets in force and the records of terms.

Tickets come into force in order and are never taken back. A record of terms is
replaced only by one that knows more.
"""

from ..events import PeerReceived, Started, StoreChanged, VmListReported
from ..messages import Heartbeat, TermsPushed, TermsWanted, TicketsPushed, TicketsWanted
from ..model import ChangeTicket, Database, DatabaseGroup, TermRecord
from ..store import TERM_PREFIX, TICKET_PREFIX, decode_term, decode_ticket
from ._ownership import is_watcher
from ._spreading import (
    answer_terms,
    answer_tickets,
    ask_for_tickets,
    compare_tickets,
    pass_vm_list,
    push_records,
    push_tickets,
)
from ._state import Effects, NodeState, record as note
from ._watching import (
    CatchUpDue,
    ListPurpose,
    VmListDue,
    catch_up,
    read_vm_list,
    start,
    take_list_answer,
)

__all__ = ["find_database", "fold_ticket", "learn_record", "learn_ticket"]


def fold_ticket(
    groups: dict[str, DatabaseGroup], ticket: ChangeTicket
) -> dict[str, DatabaseGroup]:
    """Return the groups in force after a ticket; `groups` stays as it is.

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
    """Keep an accepted ticket and apply all that are next in order.

    Returns:
        Whether the ticket was not known before.
    """
    mine = node.config
    known = mine.tickets.get(ticket.number)
    if known is not None:
        if known.identity != ticket.identity:
            note(out, "ticket_conflict", cause=cause, ticket=ticket.number)
        return False
    if ticket.number < 1:
        return False
    mine.tickets[ticket.number] = ticket
    while (following := mine.tickets.get(mine.applied + 1)) is not None:
        _apply(node, following, cause, out)
    if ticket.number > mine.applied:
        detail = (("missing", mine.applied + 1),)
        note(out, "ticket_waits", cause=cause, ticket=ticket.number, detail=detail)
    return True


def learn_record(
    node: NodeState, record: TermRecord, store_version: int, out: Effects
) -> bool:
    """Take over a record of terms if it knows more than the one held.

    Args:
        store_version: the object's version in the store, 0 if not known. The
            version held is dropped when a record without one replaces it.

    Returns:
        Whether it was taken over.
    """
    mine = node.config
    name = record.database
    known = mine.records.get(name)
    version = mine.record_versions.get(name, 0)
    if known == record:
        mine.record_versions[name] = max(version, store_version)
        return False
    if known is not None:
        newer = _rank(record) > _rank(known)
        same_rank = _rank(record) == _rank(known)
        if not newer and not (same_rank and store_version > version > 0):
            return False
    mine.progress += _measure_progress(record) - _measure_progress(known)
    mine.records[name] = record
    mine.record_versions[name] = store_version
    mine.version += 1
    detail = (("reserved", record.highest_reserved), ("store_version", store_version))
    note(
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
    if record is None:
        return 0
    return record.term + record.highest_reserved


def _rank(record: TermRecord) -> tuple[int, int, int]:
    return (len(record.starts), record.term, record.highest_reserved)


def _apply(node: NodeState, ticket: ChangeTicket, cause: str, out: Effects) -> None:
    mine = node.config
    mine.groups = fold_ticket(mine.groups, ticket)
    mine.applied = ticket.number
    mine.applied_at = node.now
    mine.version += 1
    mine.databases = {}
    for name in sorted(mine.groups):
        group = mine.groups[name]
        for database in group.databases:
            mine.databases.setdefault(database.name, (group, database))
    detail = (("author", ticket.author), ("reason", ticket.reason))
    note(out, "ticket_applied", cause=cause, ticket=ticket.number, detail=detail)


def _take_objects(node: NodeState, objects, out: Effects) -> None:
    tickets = []
    records = []
    for item in objects:
        if item.key.startswith(TICKET_PREFIX):
            result = decode_ticket(item.key, item.value)
            if result.is_ok() and learn_ticket(node, result.ok(), "store", out):
                tickets.append(result.ok())
        elif item.key.startswith(TERM_PREFIX):
            result = decode_term(item.key, item.value)
            if result.is_ok() and learn_record(node, result.ok(), item.version, out):
                records.append(result.ok())
        else:
            continue
        if result.is_err():
            detail = (("key", item.key), ("reason", result.err().detail))
            note(out, "object_unreadable", cause="store", detail=detail)
    if is_watcher(node):
        push_tickets(node, tickets, out)
        push_records(node, records, out)


def _take_changes(node: NodeState, event: StoreChanged, out: Effects) -> None:
    _take_objects(node, event.objects, out)


def _take_list(node: NodeState, purpose, event, out: Effects) -> None:
    if take_list_answer(node, purpose, event.result, out):
        _take_objects(node, event.result.objects, out)


def _take_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    sender = event.envelope.sender
    node.config.tickets_received = True
    for ticket in event.envelope.message.tickets:
        learn_ticket(node, ticket, f"peer {sender}", out)
    peer = node.membership.peers.get(sender)
    if peer is not None and peer.view.ticket > node.config.applied:
        ask_for_tickets(node, sender, out)


def _take_records(node: NodeState, event: PeerReceived, out: Effects) -> None:
    node.config.terms_received = True
    fresh = []
    for item in event.envelope.message.records:
        if learn_record(node, item, 0, out):
            fresh.append(item)
    push_records(node, fresh, out, relay=True)


EVENTS: dict = {
    Started: start,
    StoreChanged: _take_changes,
    VmListReported: pass_vm_list,
}
MESSAGES: dict = {
    Heartbeat: compare_tickets,
    TicketsWanted: answer_tickets,
    TicketsPushed: _take_tickets,
    TermsWanted: answer_terms,
    TermsPushed: _take_records,
}
TIMERS: dict = {CatchUpDue: catch_up, VmListDue: read_vm_list}
STORE_ANSWERS: dict = {ListPurpose: _take_list}
CONTROL_ANSWERS: dict = {}
