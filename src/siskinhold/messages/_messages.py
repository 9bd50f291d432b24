"""Message types and their envelope."""

from msgspec import Struct

from ..model import (
    ChangeTicket,
    Outcome,
    Position,
    Request,
    RequestId,
    TermRecord,
    VmAddress,
    VmView,
)


class Forward(Struct, frozen=True, kw_only=True, tag="forward"):
    """Asks a pool owner to run a request.

    Args:
        request: the request to run.
        region: region of the pool.
        ticket: highest change ticket number in force on the sender.
    """

    request: Request
    region: str
    ticket: int


class Answer(Struct, frozen=True, kw_only=True, tag="answer"):
    """Reports the outcome of a request to its entry VM.

    Args:
        request: identifier of the request.
        outcome: outcome of the request.
        position: log position of a write; None for a read.
        server: name of the backend server that ran the request; empty if none did.
        replica: whether that server was a replica.
    """

    request: RequestId
    outcome: Outcome
    position: Position | None = None
    server: str = ""
    replica: bool = False


class Redirect(Struct, frozen=True, kw_only=True, tag="redirect"):
    """Tells the entry VM to route a request again; the sender will not run it.

    Args:
        request: identifier of the request.
        reason: reason, for the timeline.
        may_have_run: whether an attempt may have run. The request's idempotency
            key then makes another attempt safe.
    """

    request: RequestId
    reason: str
    may_have_run: bool = False


class Abandon(Struct, frozen=True, kw_only=True, tag="abandon"):
    """Tells the pool owner that no caller waits for a request or transaction."""

    request: RequestId
    transaction: RequestId | None = None


class FloorRequest(Struct, frozen=True, kw_only=True, tag="floor_request"):
    """Asks the database owner for the primary's current log position.

    The position becomes the floor of reads: the minimum log position that they must
    see. It has to be read after this request arrives.
    """

    database: str
    sequence: int


class FloorAnswer(Struct, frozen=True, kw_only=True, tag="floor_answer"):
    """Answers a floor request.

    Args:
        database: database name.
        sequence: sequence number of the floor request.
        position: the primary's log position, read after the floor request arrived;
            None if it could not be read.
    """

    database: str
    sequence: int
    position: Position | None


class Heartbeat(Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Carries the sender's own state first, then recent changes of other VMs."""

    views: tuple[VmView, ...]


class Probe(Struct, frozen=True, kw_only=True, tag="probe"):
    """Asks when the receiver last heard from a suspected VM.

    Sent to the suspected VM itself and to third VMs.
    """

    suspect: str
    sequence: int


class ProbeAnswer(Struct, frozen=True, kw_only=True, tag="probe_answer"):
    """Answers a probe.

    Args:
        suspect: name of the suspected VM.
        sequence: sequence number of the probe.
        heard_ms: time since the answering VM last heard from the suspected VM, in
            ms; -1 for never.
    """

    suspect: str
    sequence: int
    heard_ms: int


class TicketsWanted(Struct, frozen=True, kw_only=True, tag="tickets_wanted"):
    """Asks for the accepted change tickets from the number `first` on."""

    first: int


class TicketsPushed(Struct, frozen=True, kw_only=True, tag="tickets_pushed"):
    """Carries accepted change tickets in ascending order, without gaps."""

    tickets: tuple[ChangeTicket, ...]


class TermsWanted(Struct, frozen=True, kw_only=True, tag="terms_wanted"):
    """Asks for the term records that the receiver knows."""


class TermsPushed(Struct, frozen=True, kw_only=True, tag="terms_pushed"):
    """Carries term records."""

    records: tuple[TermRecord, ...]


class VmsPushed(Struct, frozen=True, kw_only=True, tag="vms_pushed"):
    """Carries VMs of the platform's list, as read by the watcher."""

    live: tuple[VmAddress, ...]
    leaving: tuple[str, ...]


Message = (
    Forward
    | Answer
    | Redirect
    | Abandon
    | FloorRequest
    | FloorAnswer
    | Heartbeat
    | Probe
    | ProbeAnswer
    | TicketsWanted
    | TicketsPushed
    | TermsWanted
    | TermsPushed
    | VmsPushed
)


class Envelope(Struct, frozen=True, kw_only=True):
    """A message between two VMs with its addressing.

    Args:
        sender: name of the sending VM.
        incarnation: the sender's incarnation.
        receiver_incarnation: incarnation of the intended receiver; 0 if not known.
            A process discards an envelope for an earlier incarnation.
        clock: the sender's logical clock, for the causal order of the timeline.
        message: the message.
    """

    sender: str
    incarnation: int
    receiver_incarnation: int
    clock: int
    message: Message
