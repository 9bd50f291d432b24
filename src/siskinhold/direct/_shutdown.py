"""Graceful shutdown, which gives open statements and transactions time to end."""

from ._effects import AnnounceReadiness, CloseIdleRelays, Log, Stop
from ._runs import abandon_transaction
from ._sessions import close_idle_session
from ._state import DirectState, Effects, Job

DRAIN_NOTICE_PERIOD = 2.3
"""Seconds until sessions are closed after their next answer: the load balancer needs
two failed probes, at one per second, before it sends new callers elsewhere."""

IDLE_CLOSE_RATIO = 0.7
"""Share of the grace period after which sessions that stayed idle are closed. A
statement that is on its way at that moment gets no answer, so it comes late."""

TRANSACTION_GRACE_RATIO = 0.5
"""Share of the grace period after which idle open transactions are aborted."""

STOP_MARGIN = 0.4
"""Seconds before the end of the grace period at which the process stops in any case."""

MAX_CUT_LINES = 50
"""Log lines about statements that a shutdown cuts off."""


def request_shutdown(state: DirectState, out: Effects) -> None:
    """Start a graceful shutdown: report this VM as not ready, but stay in service."""
    if state.shutdown_at is not None:
        return
    state.shutdown_at = state.now
    state.ready = False
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

    Once the load balancer has had time to notice, sessions and relays are closed right
    after an answer, so that no statement crosses with the end of its connection. Those
    that stay idle are closed later. Open transactions without a running statement are
    aborted after half of the grace period. The process stops once no session is open,
    and in any case shortly before the period ends.
    """
    if state.shutdown_at is None or state.stopped:
        return
    elapsed = state.now - state.shutdown_at
    if elapsed >= state.grace * TRANSACTION_GRACE_RATIO:
        _abort_idle_transactions(state, out)
    if elapsed >= min(DRAIN_NOTICE_PERIOD, state.grace * TRANSACTION_GRACE_RATIO):
        closes_idle = elapsed >= state.grace * IDLE_CLOSE_RATIO
        for session in list(state.sessions.values()):
            session.closing = True
            idle = session.work is None and session.transaction is None
            if closes_idle and idle:
                close_idle_session(state, session, out)
        if state.relayed:
            out.append(CloseIdleRelays(answered_only=not closes_idle))
        if not state.sessions and not state.relayed:
            _stop(state, out)
            return
    if elapsed >= state.grace - STOP_MARGIN:
        _stop(state, out)


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


def _abort_idle_transactions(state: DirectState, out: Effects) -> None:
    """Abort the open transactions that have no running statement."""
    for session in state.sessions.values():
        transaction = session.transaction
        if transaction is None or transaction.failed or session.work is not None:
            continue
        abandon_transaction(state, transaction, out)
        transaction.failure_unreported = True
