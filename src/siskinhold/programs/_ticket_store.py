"""Reading and submitting of change tickets in the platform's store."""

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
# Time limit for determining the outcome of an unanswered submission.
RESOLVE_TIMEOUT_SECONDS = 10.0
MIN_RETRY_SECONDS = 0.1
MAX_RETRY_SECONDS = 1.0
# A list read in several pages can lack a ticket that was accepted while it was read and
# still contain the following one; another read completes it.
MAX_LIST_ATTEMPTS = 3


class StoreFaultKind(enum.Enum):
    """Kinds of failure to read or submit tickets."""

    NO_ANSWER = "store_no_answer"
    UNREADABLE = "store_unreadable"
    RESTORED = "store_restored"
    NUMBER_TAKEN = "ticket_number_taken"
    REJECTED = "store_rejected"


@dataclass(slots=True, frozen=True, kw_only=True)
class StoreFault:
    """A failure to read or submit tickets.

    Args:
        kind: kind of the failure.
        detail: cause of the failure, for the operator.
        winner: the accepted ticket with the same number, if the number was taken.
    """

    kind: StoreFaultKind
    detail: str = ""
    winner: ChangeTicket | None = None


@dataclass(slots=True, frozen=True, kw_only=True)
class History:
    """The accepted tickets by number, and the state after applying all of them.

    Args:
        era: the store's era in which they were read.
    """

    tickets: tuple[ChangeTicket, ...]
    state: TicketState
    era: int = 0

    def find(self, number: int) -> ChangeTicket | None:
        """Return the accepted ticket with the given number, or None."""
        if not 1 <= number <= len(self.tickets):
            return None
        return self.tickets[number - 1]


async def load_history(client: StoreClient) -> Result[History, StoreFault]:
    """Return the accepted tickets and the state that results from them."""
    fault = StoreFault(kind=StoreFaultKind.UNREADABLE)
    for _ in range(MAX_LIST_ATTEMPTS):
        listed = await client.call(
            ListObjects(prefix=TICKET_PREFIX), timeout=LIST_TIMEOUT_SECONDS
        )
        if listed.failure is not None:
            return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER))
        built = _build_history(listed)
        if isinstance(built, Ok):
            return built
        fault = built.err_value
    return Err(fault)


async def submit_ticket(
    client: StoreClient,
    ticket: ChangeTicket,
    *,
    era: int = 0,
    resolve_timeout: float = RESOLVE_TIMEOUT_SECONDS,
    call_timeout: float = CALL_TIMEOUT_SECONDS,
) -> Result[None, StoreFault]:
    """Submit a ticket: create `ticket/<number>` if it is absent.

    If the answer is lost, the object is read back and the identities are compared. If
    the object is still absent, the unanswered call may yet create it, so the same
    conditional call is repeated until the object is known to exist.

    Args:
        client: the store.
        ticket: the ticket.
        era: the store's era in which the history was read, 0 if it is unknown. The
            ticket is not created in another one, which may lack earlier tickets.
        resolve_timeout: time limit in seconds for determining the outcome after a lost
            answer. After it the failure is `NO_ANSWER`, and the ticket may or may not
            have been accepted.
        call_timeout: timeout of each call, in seconds.
    """
    encoded = encode_ticket(ticket)
    if isinstance(encoded, Err):
        detail = encoded.err_value.detail
        return Err(StoreFault(kind=StoreFaultKind.REJECTED, detail=detail))
    write = WriteObject(
        key=ticket_key(ticket.number),
        value=encoded.ok_value,
        expected_version=0,
        expected_era=era,
    )
    loop = asyncio.get_running_loop()
    deadline = loop.time() + resolve_timeout
    delay = MIN_RETRY_SECONDS
    while True:
        written = await client.call(write, timeout=call_timeout)
        resolved = await _resolve(client, write, ticket, written, call_timeout)
        if resolved is not None:
            return resolved
        if loop.time() + delay > deadline:
            return Err(StoreFault(kind=StoreFaultKind.NO_ANSWER))
        await asyncio.sleep(delay * random.uniform(0.5, 1.0))
        delay = min(delay * 2, MAX_RETRY_SECONDS)


async def _resolve(
    client: StoreClient,
    write: WriteObject,
    ticket: ChangeTicket,
    written: StoreResult,
    call_timeout: float,
) -> Result[None, StoreFault] | None:
    """Return the outcome of a submission; None if it is not known yet."""
    if written.failure is None:
        return Ok(None)
    if written.failure is StoreFailure.REJECTED:
        return Err(StoreFault(kind=StoreFaultKind.REJECTED))
    if written.failure is StoreFailure.CONFLICT and written.objects:
        return _compare(ticket, written.objects[0])
    stored = await client.call(ReadObject(key=write.key), timeout=call_timeout)
    if stored.failure is None:
        return _compare(ticket, stored.objects[0])
    if stored.failure is StoreFailure.NOT_FOUND and write.expected_era:
        if stored.era != write.expected_era:
            return Err(StoreFault(kind=StoreFaultKind.RESTORED))
    return None


def _compare(ticket: ChangeTicket, stored: StoredObject) -> Result[None, StoreFault]:
    """Return an error unless a stored object is this ticket."""
    decoded = decode_ticket(stored.key, stored.value)
    if isinstance(decoded, Err):
        detail = f"{stored.key}: {decoded.err_value.detail}"
        return Err(StoreFault(kind=StoreFaultKind.UNREADABLE, detail=detail))
    return compare_accepted(ticket, decoded.ok_value)


def compare_accepted(
    ticket: ChangeTicket, accepted: ChangeTicket
) -> Result[None, StoreFault]:
    """Return an error unless the accepted ticket of this number is this ticket."""
    if accepted.identity == ticket.identity:
        return Ok(None)
    return Err(StoreFault(kind=StoreFaultKind.NUMBER_TAKEN, winner=accepted))


def _build_history(listed: StoreResult) -> Result[History, StoreFault]:
    """Return the history of the stored tickets; an error if a number is missing."""
    tickets: list[ChangeTicket] = []
    for stored in listed.objects:
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
    return Ok(History(tickets=tuple(tickets), state=state, era=listed.era))
