"""Tickets and term records that a restored store lacks, written again by a watcher.

Accepted tickets are never reverted and a term record is replaced only by a newer
one, so what a VM knows is at least as new as any copy of the store. Each write is
conditional on what the list has shown.
"""

from dataclasses import dataclass

from ..effects import CallStore
from ..events import StoreAnswered
from ..model import TermRecord
from ..store import (
    TERM_PREFIX,
    TICKET_PREFIX,
    StoreFailure,
    WriteObject,
    decode_term,
    encode_term,
    encode_ticket,
    term_key,
    ticket_key,
)
from ._ownership import is_watcher
from ._state import Effects, NodeState, record
from ._tickets import learn_term_record, rank_record
from ._watching import ListCall

MAX_WRITES = 64
"""Maximum number of lost objects written after one list; the next list shows the
others."""


@dataclass(slots=True, frozen=True)
class LostWrite:
    """Purpose of a store call: write a lost object again.

    Args:
        term_record: the object's term record; None for a ticket.
    """

    term_record: TermRecord | None


def _write_lost_objects(
    node: NodeState, purpose: ListCall, event: StoreAnswered, out: Effects
) -> None:
    """Write what the list lacks of the tickets and term records known here."""
    result = event.result
    if result.failure is not None or not is_watcher(node):
        return
    listed = {stored.key: stored for stored in result.objects}
    if purpose.prefix == TICKET_PREFIX:
        lost = _find_lost_tickets(node, listed)
    elif purpose.prefix == TERM_PREFIX:
        lost = _find_lost_records(node, listed)
    else:
        return
    if len(lost) > MAX_WRITES:
        node.config.list_again = True
    for key, value, term_record in lost[:MAX_WRITES]:
        stored = listed.get(key)
        operation = WriteObject(
            key=key,
            value=value,
            expected_version=stored.version if stored is not None else 0,
            expected_era=result.era,
        )
        call = node.open_store_call(LostWrite(term_record))
        out.append(CallStore(call=call, operation=operation))
        record(out, "lost_object_written", cause="store", detail=(("key", key),))


def _find_lost_tickets(node: NodeState, listed) -> list[tuple]:
    """Return key, value and None for each known ticket that is not listed."""
    lost = []
    for number in sorted(node.config.tickets):
        key = ticket_key(number)
        if key not in listed:
            value = encode_ticket(node.config.tickets[number]).unwrap()
            lost.append((key, value, None))
    return lost


def _find_lost_records(node: NodeState, listed) -> list[tuple]:
    """Return key, value and record of each term record newer than the listed one."""
    lost = []
    for name, known in sorted(node.config.records.items()):
        key = term_key(name)
        stored = listed.get(key)
        if stored is not None:
            decoded = decode_term(stored.key, stored.value)
            if decoded.is_err() or rank_record(decoded.ok()) >= rank_record(known):
                continue
        lost.append((key, encode_term(known).unwrap(), known))
    return lost


def _handle_write_answer(
    node: NodeState, purpose: LostWrite, event: StoreAnswered, out: Effects
) -> None:
    """Store the version of a term record, or list again if the outcome is unknown."""
    result = event.result
    if result.failure is StoreFailure.NO_ANSWER:
        node.config.list_again = True
    if result.failure is None and purpose.term_record is not None:
        version = result.objects[0].version
        learn_term_record(node, purpose.term_record, version, out, era=result.era)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS: dict = {
    ListCall: _write_lost_objects,
    LostWrite: _handle_write_answer,
}
CONTROL_ANSWERS: dict = {}
