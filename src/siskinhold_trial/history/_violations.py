"""Violations of the guarantees."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Violation:
    """Base of all violations.

    Args:
        subject: tag of the statement, or name of the VM or server.
        detail: description of the observation.
    """

    subject: str
    detail: str


class ReadMissedOwnWrite(Violation):
    """A read did not return a write of its own session (guarantee 1)."""


class WriteLost(Violation):
    """An acknowledged write is in no surviving log (guarantee 2)."""


class WriteOnReplacedPrimary(Violation):
    """An acknowledged write ran on an already replaced primary (guarantee 2)."""


class TransactionMixed(Violation):
    """Caller transactions shared one on a server, or one was split (guarantee 3)."""


class AnswerMismatched(Violation):
    """An answer is incomplete or belongs to another request (guarantee 4)."""


class NotRunButRan(Violation):
    """A statement answered as not run or failed had an effect (guarantee 5)."""


class RanTwice(Violation):
    """A request marked `once` ran more than once (guarantee 6)."""


class WorkAfterLeaving(Violation):
    """A server being drained received new work (guarantee 7)."""


class CutOffByShutdown(Violation):
    """A graceful shutdown cut off a request in flight (guarantee 8)."""


class TicketReverted(Violation):
    """A VM returned to an older ticket, or a number was reused (guarantee 9)."""


class TicketLate(Violation):
    """A ticket was not in force on a VM within the bound (guarantee 9)."""
