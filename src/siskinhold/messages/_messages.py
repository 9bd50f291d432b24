"""The messages themselves. Field units are in the docstrings."""

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
        request: what to run.
        region: the region whose pool is meant.
        ticket: highest ticket in force on the sender.
    """

    request: Request
    region: str
    ticket: int


class Answer(Struct, frozen=True, kw_only=True, tag="answer"):
    """Tells the entry VM how a request ended.

    Args:
        request: the request's identity.
        outcome: how it ended.
        position: the position of a write, None for a read.
        server: the backend server that ran it; empty when none did.
        replica: whether that server was a replica.
    """

    request: RequestId
    outcome: Outcome
    position: Position | None = None
    server: str = ""
    replica: bool = False


class Redirect(Struct, frozen=True, kw_only=True, tag="redirect"):
    """Tells the entry VM to take a request elsewhere; this VM will not run it.

    Args:
        request: the request's identity.
        reason: why, for the time line.
        may_have_run: whether an attempt may have run that its key makes safe
            to repeat.
    """

    request: RequestId
    reason: str
    may_have_run: bool = False


class Abandon(Struct, frozen=True, kw_only=True, tag="abandon"):
    """Tells the owner that nobody waits for a request or transaction any more."""

    request: RequestId
    transaction: RequestId | None = None


class FloorRequest(Struct, frozen=True, kw_only=True, tag="floor_request"):
    """Asks the database owner for the primary's position from now on."""

    database: str
    sequence: int


class FloorAnswer(Struct, frozen=True, kw_only=True, tag="floor_answer"):
    """The primary's position, read after the request arrived; None if it failed."""

    database: str
    sequence: int
    position: Position | None


class Heartbeat(Struct, frozen=True, kw_only=True, tag="heartbeat"):
    """Carries the sender's own view first, then recent changes of others."""

    views: tuple[VmView, ...]


class Probe(Struct, frozen=True, kw_only=True, tag="probe"):
    """Asks a third VM whether it hears a suspected VM."""

    suspect: str
    sequence: int


class ProbeAnswer(Struct, frozen=True, kw_only=True, tag="probe_answer"):
    """Answers a probe.

    Args:
        suspect: the VM asked about.
        sequence: of the probe.
        heard_ms: ms since the answering VM heard from it; -1 for never.
    """

    suspect: str
    sequence: int
    heard_ms: int


class TicketsWanted(Struct, frozen=True, kw_only=True, tag="tickets_wanted"):
    """Asks for tickets from a number on."""

    first: int


class TicketsPushed(Struct, frozen=True, kw_only=True, tag="tickets_pushed"):
    """Passes on accepted tickets, ascending without gaps."""

    tickets: tuple[ChangeTicket, ...]


class TermsWanted(Struct, frozen=True, kw_only=True, tag="terms_wanted"):
    """Asks for the records of terms that the receiver knows."""


class TermsPushed(Struct, frozen=True, kw_only=True, tag="terms_pushed"):
    """Passes on records of terms."""

    records: tuple[TermRecord, ...]


class VmsPushed(Struct, frozen=True, kw_only=True, tag="vms_pushed"):
    """Passes on the platform's list of VMs from the watcher."""

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
    """What travels between two VMs.

    Args:
        sender: name of the sending VM.
        incarnation: the sender's incarnation.
        receiver_incarnation: the incarnation meant; 0 when not known. A
            process drops an envelope meant for its predecessor.
        clock: the sender's logical clock, for the causal order of the time line.
        message: the message.
    """

    sender: str
    incarnation: int
    receiver_incarnation: int
    clock: int
    message: Message
