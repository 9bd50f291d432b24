"""Keys and encoded values of the objects `ticket/<number>` and `term/<database>`."""

import msgspec
from result import Err, Ok, Result

from ..model import ChangeTicket, TermRecord

TICKET_PREFIX = "ticket/"
"""Keys of change tickets start with it."""

TERM_PREFIX = "term/"
"""Keys of records of terms start with it."""


class Unreadable(msgspec.Struct, frozen=True, kw_only=True):
    """A stored value that is not what its key stands for.

    Args:
        reason: what is wrong with it.
    """

    reason: str


def ticket_key(number: int) -> str:
    """Return the key of a ticket.

    >>> ticket_key(7)
    'ticket/7'
    """
    return f"{TICKET_PREFIX}{number}"


def term_key(database: str) -> str:
    """Return the key of a database's record of terms."""
    return f"{TERM_PREFIX}{database}"


def encode_ticket(ticket: ChangeTicket) -> bytes:
    """Return the stored form of a ticket: JSON, as operators may read it."""
    return msgspec.json.encode(ticket)


def decode_ticket(value: bytes) -> Result[ChangeTicket, Unreadable]:
    """Return the ticket, or why the value is none."""
    return _decode(value, ChangeTicket)


def encode_record(record: TermRecord) -> bytes:
    """Return the stored form of a record of terms."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> Result[TermRecord, Unreadable]:
    """Return the record of terms, or why the value is none."""
    return _decode(value, TermRecord)


def _decode(value: bytes, kind: type) -> Result:
    try:
        return Ok(msgspec.json.decode(value, type=kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(Unreadable(reason=str(error)))
