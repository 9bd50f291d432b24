"""Parses ticket files: JSON with the fields of `ChangeTicket`.

Unknown fields are refused, unlike in stored objects: in a handwritten file, an
unknown field is most often a misspelt one, whose default would apply unnoticed.
`identity` is optional.
"""

import secrets

import msgspec
from result import Err, Ok, Result

from ..model import BackendServer, ChangeTicket, Database, DatabaseGroup, RoutingRules
from ..store import MAX_VALUE_BYTES
from ._faults import TicketFault, TicketFaultKind

IDENTITY_BYTES = 16


class _StrictRules(RoutingRules, frozen=True, forbid_unknown_fields=True):
    pass


class _StrictServer(BackendServer, frozen=True, forbid_unknown_fields=True):
    pass


class _StrictDatabase(Database, frozen=True, kw_only=True, forbid_unknown_fields=True):
    servers: tuple[_StrictServer, ...]


class _StrictGroup(
    DatabaseGroup, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    databases: tuple[_StrictDatabase, ...] = ()
    rules: _StrictRules = _StrictRules()


class _StrictTicket(
    ChangeTicket, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    identity: str = ""
    groups: tuple[_StrictGroup, ...]


def parse_ticket(text: bytes) -> Result[ChangeTicket, TicketFault]:
    """Return the ticket in a file, with a random identity if it has none.

    >>> parse_ticket(b'{"number": 1, "author": "a", "groups": [], "extra": 1}')
    ... # doctest: +ELLIPSIS
    Err(TicketFault(kind=<TicketFaultKind.MALFORMED_TEXT: 'malformed_text'>, ...
    """
    if len(text) > MAX_VALUE_BYTES:
        detail = f"{len(text)} bytes exceed {MAX_VALUE_BYTES}"
        return Err(TicketFault(kind=TicketFaultKind.TOO_LARGE, detail=detail))
    try:
        strict = msgspec.json.decode(text, type=_StrictTicket)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        kind = TicketFaultKind.MALFORMED_TEXT
        return Err(TicketFault(kind=kind, detail=str(error)))
    ticket = msgspec.json.decode(msgspec.json.encode(strict), type=ChangeTicket)
    if not ticket.identity:
        identity = secrets.token_hex(IDENTITY_BYTES)
        ticket = msgspec.structs.replace(ticket, identity=identity)
    return Ok(ticket)
