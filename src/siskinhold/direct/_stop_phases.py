"""Phases of a graceful shutdown: what is still accepted and started in each."""

import enum

from ._state import DirectState

DRAIN_NOTICE_PERIOD = 2.3
"""Seconds until sessions are closed after their next answer: the load balancer needs
two failed probes, at one per second, before it sends new callers elsewhere."""

INTAKE_RATIO = 0.7
"""Share of the grace period in which callers and transactions are accepted. Idle
sessions are closed after it: a statement that is on its way at that moment gets no
answer, so it comes late."""

START_RATIO = 0.8
"""Share of the grace period in which statements are started."""

ANSWER_RATIO = 0.85
"""Share of the grace period in which a started statement may end. What follows is left
to send the answers."""

STOP_RATIO = 0.9
"""Share of the grace period after which the process stops in any case."""

MIN_IDLE_PERIOD = 0.3
"""Seconds without a statement after which a session counts as idle: a new caller sends
its first one a round trip after it was accepted."""

SHUTDOWN = "shutdown"
"""Reason of answers that are due to a shutdown."""


class StopPhase(enum.IntEnum):
    """Phases of a graceful shutdown, in order; each includes the restrictions before.

    Attributes:
        NONE: no shutdown was requested.
        NOTICE: this VM is not ready, and serves as before.
        DRAINING: a session is closed after an answer that leaves it idle.
        INTAKE_OVER: new callers and transactions are refused, and idle sessions are
            closed.
        STARTS_OVER: statements that wait or arrive are refused, and open transactions
            without a running statement are aborted.
        ANSWERED: running statements have been answered, and all sessions are closed.
        ENDING: the process stops.
    """

    NONE = 0
    NOTICE = 1
    DRAINING = 2
    INTAKE_OVER = 3
    STARTS_OVER = 4
    ANSWERED = 5
    ENDING = 6


def find_stop_phase(state: DirectState) -> StopPhase:
    """Return the phase of this VM's shutdown."""
    if state.shutdown_at is None:
        return StopPhase.NONE
    elapsed = state.now - state.shutdown_at
    ends = (
        (min(DRAIN_NOTICE_PERIOD, state.stop_grace * INTAKE_RATIO), StopPhase.NOTICE),
        (state.stop_grace * INTAKE_RATIO, StopPhase.DRAINING),
        (state.stop_grace * START_RATIO, StopPhase.INTAKE_OVER),
        (state.stop_grace * ANSWER_RATIO, StopPhase.STARTS_OVER),
        (state.stop_grace * STOP_RATIO, StopPhase.ANSWERED),
    )
    for end, phase in ends:
        if elapsed < end:
            return phase
    return StopPhase.ENDING


def limit_deadline(state: DirectState, deadline: float) -> float:
    """Return a statement's deadline, limited by when a shutdown answers it."""
    if state.shutdown_at is None:
        return deadline
    return min(deadline, state.shutdown_at + state.stop_grace * ANSWER_RATIO)
