"""The first term record of a database, which names its existing primary.

Several VMs may try to write it. The store accepts the first write, and the other
VMs read that record.
"""

from dataclasses import dataclass

from ..effects import CallStore
from ..events import StoreAnswered
from ..model import Database, TermRecord, TermStart
from ..store import (
    ReadObject,
    StoreFailure,
    WriteObject,
    decode_term,
    encode_term,
    term_key,
)
from ._spreading import push_term_records
from ._state import Effects, NodeState
from ._tickets import learn_term_record


@dataclass(slots=True, frozen=True)
class FirstRecordWrite:
    """Purpose of a store call: write the first term record of a database."""

    database: str
    written: TermRecord


@dataclass(slots=True, frozen=True)
class FirstRecordRead:
    """Purpose of a store call: read the first term record that another VM wrote."""

    database: str


def record_first_term(
    node: NodeState, database: Database, start: TermStart, out: Effects
) -> None:
    """Write a database's first term record with its existing primary."""
    written = TermRecord(database=database.name, starts=(start,))
    call = node.open_store_call(FirstRecordWrite(database.name, written))
    operation = WriteObject(
        key=term_key(database.name),
        value=encode_term(written).unwrap(),
        expected_version=0,
    )
    out.append(CallStore(call=call, operation=operation))


def _handle_first_write_answer(
    node: NodeState, purpose: FirstRecordWrite, event: StoreAnswered, out: Effects
) -> None:
    """Store and push the written record, or read the one that another VM wrote."""
    result = event.result
    if result.failure is None:
        version = result.objects[0].version
        learn_term_record(node, purpose.written, version, out, era=result.era)
        push_term_records(node, [purpose.written], out)
        return
    if result.failure is StoreFailure.CONFLICT:
        call = node.open_store_call(FirstRecordRead(purpose.database))
        operation = ReadObject(key=term_key(purpose.database))
        out.append(CallStore(call=call, operation=operation))


def _handle_first_read_answer(
    node: NodeState, purpose: FirstRecordRead, event: StoreAnswered, out: Effects
) -> None:
    """Store the term record that another VM wrote."""
    if event.result.failure is not None or not event.result.objects:
        return
    stored = event.result.objects[0]
    decoded = decode_term(stored.key, stored.value)
    if decoded.is_ok():
        era = event.result.era
        learn_term_record(node, decoded.unwrap(), stored.version, out, era=era)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS = {
    FirstRecordWrite: _handle_first_write_answer,
    FirstRecordRead: _handle_first_read_answer,
}
CONTROL_ANSWERS: dict = {}
