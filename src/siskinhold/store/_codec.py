"""Encodes and decodes the keys and JSON values of store objects."""

import enum
from dataclasses import dataclass
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from ..model import ChangeTicket, TermRecord

TICKET_PREFIX = "ticket/"
TERM_PREFIX = "term/"
# The store's limit for one value.
MAX_VALUE_BYTES = 1_000_000

Value = TypeVar("Value")


class CodecFailure(enum.Enum):
    """Why a value can't be encoded or decoded."""

    TOO_LARGE = "too_large"
    MALFORMED = "malformed"
    WRONG_KEY = "wrong_key"


@dataclass(slots=True, frozen=True, kw_only=True)
class CodecError:
    """A value that can't be encoded or decoded.

    Args:
        failure: the kind of failure.
        detail: what is wrong, for logs and operators.
    """

    failure: CodecFailure
    detail: str


def ticket_key(number: int) -> str:
    """Return the key of a change ticket.

    >>> ticket_key(7)
    'ticket/7'
    """
    return f"{TICKET_PREFIX}{number}"


def term_key(database: str) -> str:
    """Return the key of a database's term record."""
    return f"{TERM_PREFIX}{database}"


def encode_ticket(ticket: ChangeTicket) -> Result[bytes, CodecError]:
    """Return the value of `ticket/<number>`."""
    return _encode(ticket)


def encode_term(record: TermRecord) -> Result[bytes, CodecError]:
    """Return the value of `term/<database>`."""
    return _encode(record)


def decode_ticket(key: str, value: bytes) -> Result[ChangeTicket, CodecError]:
    """Return the ticket in a store object; its number must match the key."""
    decoded = _decode(value, ChangeTicket)
    if isinstance(decoded, Err):
        return decoded
    if ticket_key(decoded.ok_value.number) != key:
        return _make_wrong_key_error(key)
    return decoded


def decode_term(key: str, value: bytes) -> Result[TermRecord, CodecError]:
    """Return the term record in a store object; its database must match the key."""
    decoded = _decode(value, TermRecord)
    if isinstance(decoded, Err):
        return decoded
    if term_key(decoded.ok_value.database) != key:
        return _make_wrong_key_error(key)
    return decoded


def _encode(value: msgspec.Struct) -> Result[bytes, CodecError]:
    """Return the JSON value; an error if it exceeds the limit."""
    encoded = msgspec.json.encode(value)
    if len(encoded) > MAX_VALUE_BYTES:
        detail = f"{len(encoded)} bytes exceed {MAX_VALUE_BYTES}"
        return Err(CodecError(failure=CodecFailure.TOO_LARGE, detail=detail))
    return Ok(encoded)


def _decode(value: bytes, value_type: type[Value]) -> Result[Value, CodecError]:
    """Return the decoded value; an error if it is too large or malformed."""
    if len(value) > MAX_VALUE_BYTES:
        detail = f"{len(value)} bytes exceed {MAX_VALUE_BYTES}"
        return Err(CodecError(failure=CodecFailure.TOO_LARGE, detail=detail))
    try:
        return Ok(msgspec.json.decode(value, type=value_type))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(CodecError(failure=CodecFailure.MALFORMED, detail=str(error)))


def _make_wrong_key_error(key: str) -> Err[CodecError]:
    detail = f"the value's ticket number or database does not match key {key}"
    return Err(CodecError(failure=CodecFailure.WRONG_KEY, detail=detail))
