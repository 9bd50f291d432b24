"""Withdrawal of reserved terms before a ticket changes a database's servers.

A promotion counts its majority among the servers in force on its VM. One that is
under way for longer than two such tickets take would count servers of which no
majority shares one with those in force by then.
"""

import msgspec
from result import Err, Ok, Result

from ..adapters import StoreClient
from ..model import ChangeTicket, Reservation
from ..store import (
    ReadObject,
    StoreFailure,
    WriteObject,
    decode_term,
    encode_term,
    term_key,
)
from ._ticket_store import CALL_TIMEOUT_SECONDS, StoreFault, StoreFaultKind

MAX_ATTEMPTS = 5
"""Maximum number of reads of a term record that changes meanwhile."""


async def withdraw_reservations(
    client: StoreClient, ticket: ChangeTicket, databases: list[str]
) -> Result[None, StoreFault]:
    """Replace the reservations of databases, so that their promotions begin again.

    The reserved terms are not given out again.
    """
    for database in databases:
        for _ in range(MAX_ATTEMPTS):
            withdrawn = await _withdraw(client, ticket, database)
            if isinstance(withdrawn, Err):
                return withdrawn
            if withdrawn.ok_value:
                break
        else:
            detail = f"the term record of {database} keeps changing"
            return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER, detail=detail))
    return Ok(None)


async def _withdraw(
    client: StoreClient, ticket: ChangeTicket, database: str
) -> Result[bool, StoreFault]:
    """Return whether no reservation but the ticket's own one is left."""
    key = term_key(database)
    read = await client.call(ReadObject(key=key), timeout=CALL_TIMEOUT_SECONDS)
    if read.failure is StoreFailure.NOT_FOUND:
        return Ok(True)
    if read.failure is not None:
        return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER))
    stored = read.objects[0]
    decoded = decode_term(stored.key, stored.value)
    if isinstance(decoded, Err):
        detail = decoded.err_value.detail
        return Err(StoreFault(kind=StoreFaultKind.UNREADABLE, detail=detail))
    record = decoded.ok_value
    if record.reservation is None or record.reservation.run == ticket.identity:
        return Ok(True)
    own = Reservation(term=record.reservation.term, vm="", run=ticket.identity)
    write = WriteObject(
        key=key,
        value=encode_term(msgspec.structs.replace(record, reservation=own)).unwrap(),
        expected_version=stored.version,
        expected_era=read.era,
    )
    written = await client.call(write, timeout=CALL_TIMEOUT_SECONDS)
    return Ok(written.failure is None)
