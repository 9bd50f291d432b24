"""Admission of operations within the rate of their client account."""

from .._replies import refuse
from .._state import DirectState, Effects, Session
from .._types import Refusal, Route, Statement

RATE_EXCEEDED = "rate_exceeded"
"""Refusal reason of operations beyond the rate of their account."""


def admit_operation(state: DirectState, session: Session, route: Route) -> float | None:
    """Count an operation that is about to begin: a transaction or a single statement.

    Returns:
        None if it may run, else the seconds after which one may.
    """
    return None


def refuse_rate(
    state: DirectState,
    session: Session,
    statement: Statement,
    wait: float,
    out: Effects,
) -> None:
    """Refuse an operation beyond the rate as not run, with the time of a retry."""
    refuse(state, session, statement, Refusal.OVERLOAD, RATE_EXCEEDED, out)
