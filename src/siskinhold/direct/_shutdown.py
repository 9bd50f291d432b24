"""Graceful shutdown, which gives open statements and transactions time to end."""

from ._effects import AnnounceReadiness, CloseIdleRelays, Log, Stop
from ._runs import abandon_transaction
from ._sessions import close_idle_session
from ._state import DirectState, Effects

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
    if state.shutdown_at is None:
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
            out.append(Stop())
    if elapsed >= state.grace - STOP_MARGIN:
        out.append(Stop())


def _abort_idle_transactions(state: DirectState, out: Effects) -> None:
    """Abort the open transactions that have no running statement."""
    for session in state.sessions.values():
        transaction = session.transaction
        if transaction is None or transaction.failed or session.work is not None:
            continue
        abandon_transaction(state, transaction, out)
        transaction.failure_unreported = True
