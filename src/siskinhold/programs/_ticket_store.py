"""Reads and submits change tickets in the platform's store."""

import asyncio
import enum
import random
from dataclasses import dataclass

from result import Err, Ok, Result

from ..adapters import StoreClient
from ..model import ChangeTicket
from ..store import (
    TICKET_PREFIX,
    ListObjects,
    ReadObject,
    StoredObject,
    StoreFailure,
    StoreResult,
    WriteObject,
    decode_ticket,
    encode_ticket,
    ticket_key,
)
from ..tickets import TicketState, apply_ticket

CALL_TIMEOUT_SECONDS = 2.0
LIST_TIMEOUT_SECONDS = 10.0
# Time for which an unanswered submission is settled, in seconds.
RESOLVE_TIMEOUT_SECONDS = 10.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# A list taken in several pages can lack a ticket that was accepted between two
# of them although it holds the following one; reading again completes it.
MAX_LIST_ATTEMPTS = 3


class StoreFaultKind(enum.Enum):
    """Why the tickets could not be read or submitted."""

    NO_ANSWER = "store_no_answer"
    UNREADABLE = "store_unreadable"
    NUMBER_TAKEN = "ticket_number_taken"
    REJECTED = "store_rejected"


@dataclass(slots=True, frozen=True, kw_only=True)
class StoreFault:
    """A failure to read or submit tickets.

    Args:
        detail: what was found, for the operator.
        winner: the accepted ticket with the same number, if it was taken.
    """

    kind: StoreFaultKind
    detail: str = ""
    winner: ChangeTicket | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class History:
    """The accepted tickets, ascending, and the state that they add up to."""

    tickets: tuple[ChangeTicket, ...]
    state: TicketState

    def find(self, number: int) -> ChangeTicket | None:
        """Return the accepted ticket with a number, None if there is none."""
        if not 1 <= number <= len(self.tickets):
            return None
        return self.tickets[number - 1]


async def load_history(client: StoreClient) -> Result[History, StoreFault]:
    """Read all accepted tickets and fold them."""
    fault = StoreFault(kind=StoreFaultKind.UNREADABLE)
    for _ in range(MAX_LIST_ATTEMPTS):
        listed = await client.call(
            ListObjects(prefix=TICKET_PREFIX), timeout=LIST_TIMEOUT_SECONDS
        )
        if listed.failure is not None:
            return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER))
        built = _build_history(listed.objects)
        if isinstance(built, Ok):
            return built
        fault = built.err_value
    return Err(fault)


async def submit_ticket(
    client: StoreClient,
    ticket: ChangeTicket,
    *,
    resolve_timeout: float = RESOLVE_TIMEOUT_SECONDS,
    call_timeout: float = CALL_TIMEOUT_SECONDS,
) -> Result[None, StoreFault]:
    """Create `ticket/<number>` only if it is absent.

    A lost answer is settled by reading the object back and comparing
    identities. An object that is still absent may yet be created by the
    unanswered call, so the same conditional call is made again until one of
    them is known to have won.

    Args:
        resolve_timeout: how long to go on after an answer was lost. After that
            the failure is `NO_ANSWER`, and the ticket may or may not be
            accepted.
        call_timeout: seconds for each call.
    """
    encoded = encode_ticket(ticket)
    if isinstance(encoded, Err):
        detail = encoded.err_value.detail
        return Err(StoreFault(kind=StoreFaultKind.REJECTED, detail=detail))
    write = WriteObject(
        key=ticket_key(ticket.number), value=encoded.ok_value, expected_version=0
    )
    loop = asyncio.get_running_loop()
    deadline = loop.time() + resolve_timeout
    delay = MIN_RETRY_SECONDS
    while True:
        written = await client.call(write, timeout=call_timeout)
        resolved = await _resolve(client, ticket, written, call_timeout)
        if resolved is not None:
            return resolved
        if loop.time() + delay > deadline:
            return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER))
        await asyncio.sleep(delay * random.uniform(0.5, 1.0))
        delay = min(delay * 2, MAX_RETRY_SECONDS)


async def _resolve(
    client: StoreClient,
    ticket: ChangeTicket,
    written: StoreResult,
    call_timeout: float,
) -> Result[None, StoreFault] | None:
    """Return how a submission ended, None if that is not known."""
    if written.failure is None:
        return Ok(None)
    if written.failure is StoreFailure.REJECTED:
        return Err(StoreFault(kind=StoreFaultKind.REJECTED))
    if written.failure is StoreFailure.CONFLICT and written.objects:
        return _compare(ticket, written.objects[0])
    key = ticket_key(ticket.number)
    stored = await client.call(ReadObject(key=key), timeout=call_timeout)
    if stored.failure is None:
        return _compare(ticket, stored.objects[0])
    return None


def _compare(ticket: ChangeTicket, stored: StoredObject) -> Result[None, StoreFault]:
    decoded = decode_ticket(stored.key, stored.value)
    if isinstance(decoded, Err):
        detail = f"{stored.key}: {decoded.err_value.detail}"
        return Err(StoreFault(kind=StoreFaultKind.UNREADABLE, detail=detail))
    return compare_accepted(ticket, decoded.ok_value)


def compare_accepted(
    ticket: ChangeTicket, accepted: ChangeTicket
) -> Result[None, StoreFault]:
    """Return whether an accepted ticket of the same number is this one."""
    if accepted.identity == ticket.identity:
        return Ok(None)
    return Err(StoreFault(kind=StoreFaultKind.NUMBER_TAKEN, winner=accepted))


def _build_history(objects: tuple[StoredObject, ...]) -> Result[History, StoreFault]:
    tickets: list[ChangeTicket] = []
    for stored in objects:
        decoded = decode_ticket(stored.key, stored.value)
        if isinstance(decoded, Err):
            detail = f"{stored.key}: {decoded.err_value.detail}"
            return Err(StoreFault(kind=StoreFaultKind.UNREADABLE, detail=detail))
        tickets.append(decoded.ok_value)
    tickets.sort(key=lambda ticket: ticket.number)
    state = TicketState()
    for number, ticket in enumerate(tickets, start=1):
        if ticket.number != number:
            detail = f"{ticket_key(number)} is missing"
            return Err(StoreFault(kind=StoreFaultKind.UNREADABLE, detail=detail))
        state = apply_ticket(state, ticket)
    return Ok(History(tickets=tuple(tickets), state=state))
