"""Messages between VMs."""

from ._messages import (
    Abandon,
    Answer,
    Envelope,
    FloorAnswer,
    FloorRequest,
    Forward,
    Heartbeat,
    Message,
    Probe,
    ProbeAnswer,
    Redirect,
    TermsPushed,
    TermsWanted,
    TicketsPushed,
    TicketsWanted,
    VmsPushed,
)

__all__ = [
    "Abandon",
    "Answer",
    "Envelope",
    "FloorAnswer",
    "FloorRequest",
    "Forward",
    "Heartbeat",
    "Message",
    "Probe",
    "ProbeAnswer",
    "Redirect",
    "TermsPushed",
    "TermsWanted",
    "TicketsPushed",
    "TicketsWanted",
    "VmsPushed",
]
