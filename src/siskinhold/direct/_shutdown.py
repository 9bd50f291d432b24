"""Graceful shutdown, which answers every statement that was read before the end."""

from ._callers import refuse_pending_callers
from ._effects import AnnounceReadiness, CloseRelays, Log, Stop
from ._events import ShutdownRequested
from ._losses import expire_job
from ._relays import RelayClosing
from ._replies import close_session
from ._runs import abandon_transaction
from ._state import DirectState, Effects, Job, Session
from ._stop_phases import MIN_IDLE_PERIOD, StopPhase, find_stop_phase, limit_deadline

ENDING_PERIOD = 0.02
"""Seconds in which what was read behind the last answers is answered, too."""

MAX_CUT_LINES = 50
"""Log lines about statements that a shutdown cuts off."""

_CLOSED_RELAYS = {
    StopPhase.DRAINING: RelayClosing.ANSWERED,
    StopPhase.INTAKE_OVER: RelayClosing.IDLE,
    StopPhase.STARTS_OVER: RelayClosing.TRANSACTIONS,
    StopPhase.ANSWERED: RelayClosing.ALL,
    StopPhase.ENDING: RelayClosing.ALL,
}


def request_shutdown(
    state: DirectState, event: ShutdownRequested, out: Effects
) -> None:
    """Start a graceful shutdown: report this VM as not ready, but stay in service."""
    if state.shutdown_at is not None:
        return
    state.shutdown_at = state.now
    if event.requested_at is not None:
        state.shutdown_at = event.requested_at
    state.stop_grace = state.grace
    state.ready = False
    for session in state.sessions.values():
        job = session.work
        if job is not None:
            job.deadline = limit_deadline(state, job.deadline)
            job.latest_end = min(job.latest_end, job.deadline)
    out.append(AnnounceReadiness(ready=False))
    out.append(
        Log(
            event="shutdown_requested",
            fields=(("sessions", len(state.sessions)),),
            essential=True,
        )
    )


def advance_shutdown(state: DirectState, out: Effects) -> None:
    """Advance a graceful shutdown; called at each tick.

    The phases are those of `StopPhase`. The process stops once no session is open
    after the notice to the load balancer, and in any case shortly before the grace
    period ends.
    """
    phase = find_stop_phase(state)
    if phase is StopPhase.NONE or state.stopped:
        return
    if phase >= StopPhase.INTAKE_OVER:
        refuse_pending_callers(state, out)
    if phase >= StopPhase.STARTS_OVER:
        _abort_idle_transactions(state, out)
        state.pending_updates.update(state.databases)
    if phase >= StopPhase.DRAINING:
        for session in state.sessions.values():
            session.closing = True
            if _may_close(state, session, phase):
                close_session(state, session, out)
        if state.relayed:
            out.append(CloseRelays(closing=_CLOSED_RELAYS[phase]))
    if phase is StopPhase.ENDING:
        _answer_all(state, out)
        if state.ending_at is None:
            state.ending_at = state.now
        if state.now - state.ending_at >= ENDING_PERIOD:
            _stop(state, out)
            return
    stop_if_idle(state, out)


def _answer_all(state: DirectState, out: Effects) -> None:
    """Answer all statements that still have none, and close their sessions."""
    for session in list(state.sessions.values()):
        if session.work is not None:
            expire_job(state, session.work, out)
        close_session(state, session, out)


def stop_if_idle(state: DirectState, out: Effects) -> None:
    """Stop the process if a shutdown has nothing left to wait for."""
    if state.stopped or find_stop_phase(state) < StopPhase.DRAINING:
        return
    if not state.sessions and not state.relayed and not state.pending_callers:
        _stop(state, out)


def _may_close(state: DirectState, session: Session, phase: StopPhase) -> bool:
    """Return whether to close a session that waits for its caller."""
    if session.work is not None:
        return False
    if phase >= StopPhase.ANSWERED:
        return True
    if phase < StopPhase.INTAKE_OVER or session.transaction is not None:
        return False
    idle = state.now - session.active_at
    return idle >= MIN_IDLE_PERIOD or phase >= StopPhase.STARTS_OVER


def _abort_idle_transactions(state: DirectState, out: Effects) -> None:
    """Abort the open transactions that have no running statement."""
    for session in state.sessions.values():
        transaction = session.transaction
        if transaction is None or transaction.failed or session.work is not None:
            continue
        abandon_transaction(state, transaction, out)
        transaction.failure_unreported = True


def _stop(state: DirectState, out: Effects) -> None:
    """End the process; log what the shutdown did, and the statements it cuts off."""
    state.stopped = True
    cut = [session for session in state.sessions.values() if session.work is not None]
    for session in cut[:MAX_CUT_LINES]:
        _log_cut(state, session.work, out)
    took = state.now - state.shutdown_at
    out.append(
        Log(
            event="shutdown_complete",
            fields=(
                ("took_ms", round(took * 1000)),
                *state.stop_counts.to_fields(),
                ("sessions", len(state.sessions)),
                ("relays", len(state.relayed)),
                ("cut", len(cut)),
            ),
            essential=True,
        )
    )
    out.append(Stop())


def _log_cut(state: DirectState, job: Job, out: Effects) -> None:
    """Log a statement whose connection ends without an answer."""
    out.append(
        Log(
            event="cut",
            fields=(
                ("request", job.statement.request),
                ("session", job.session.number),
                ("route", job.route.database),
                ("kind", job.statement.kind.value),
                ("server", job.server),
                ("state", job.state.value),
                ("waited_ms", round((state.now - job.arrived_at) * 1000)),
            ),
            essential=True,
        )
    )
