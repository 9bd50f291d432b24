"""Pure functions that parse, check, apply, compare and digest change tickets."""

from ._check import check_ticket, list_changed_databases
from ._diff import DiffKind, DiffLine, diff_states
from ._faults import TicketFault, TicketFaultKind
from ._parse import parse_ticket
from ._state import TicketState, apply_ticket, digest_state

__all__ = [
    "DiffKind",
    "DiffLine",
    "TicketFault",
    "TicketFaultKind",
    "TicketState",
    "apply_ticket",
    "check_ticket",
    "diff_states",
    "digest_state",
    "list_changed_databases",
    "parse_ticket",
]
