"""Value types shared by events, effects, messages and stored objects."""

from ._config import (
    Acknowledge,
    BackendServer,
    ChangeTicket,
    Database,
    DatabaseGroup,
    RoutingRules,
    ServerState,
)
from ._outcomes import (
    Column,
    Done,
    Failed,
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from ._peers import VmAddress, VmState, VmView
from ._positions import Position, Reservation, TermRecord, TermStart, covers, is_lost
from ._requests import Marks, Request, RequestId, StatementKind
from ._status import ControlFailure, Role, ServerStatus

__all__ = [
    "Acknowledge",
    "BackendServer",
    "ChangeTicket",
    "Column",
    "ControlFailure",
    "Database",
    "DatabaseGroup",
    "Done",
    "Failed",
    "Marks",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "Position",
    "Request",
    "RequestId",
    "Reservation",
    "Role",
    "RoutingRules",
    "ServerState",
    "ServerStatus",
    "StatementKind",
    "TermRecord",
    "TermStart",
    "Unknown",
    "UnknownReason",
    "VmAddress",
    "VmState",
    "VmView",
    "covers",
    "is_lost",
]
