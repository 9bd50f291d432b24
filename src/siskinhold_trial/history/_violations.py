"""The ways in which a run can break a guarantee."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True, frozen=True)
class Violation:
    """Base of all violations.

    Args:
        subject: tag of the statement, or name of the VM or server.
        detail: what was seen, for people.
    """

    subject: str
    detail: str


class ReadMissedOwnWrite(Violation):
    """A read lacked a write of its session (guarantee 1)."""


class WriteLost(Violation):
    """An acknowledged write is in no surviving log (guarantee 2)."""


class WriteOnReplacedPrimary(Violation):
    """An acknowledged write ran on a primary already replaced (guarantee 2)."""


class TransactionMixed(Violation):
    """Statements of different transactions shared one, or one was split (3)."""


class AnswerMismatched(Violation):
    """An answer is not the whole answer to its own request (guarantee 4)."""


class NotRunButRan(Violation):
    """A statement refused as not run, or as failed, had an effect (5)."""


class RanTwice(Violation):
    """A request marked `once` ran more than once (guarantee 6)."""


class WorkAfterLeaving(Violation):
    """A leaving server received new work (guarantee 7)."""


class CutOffByShutdown(Violation):
    """A graceful shutdown cut off a request in flight (guarantee 8)."""


class TicketReverted(Violation):
    """A VM went back in tickets, or a number was accepted twice (9)."""


class TicketLate(Violation):
    """A ticket was not in force on a VM within the bound (guarantee 9)."""
