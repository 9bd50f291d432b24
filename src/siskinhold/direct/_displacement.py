"""Sessions that this VM no longer serves, as their account has another home or none."""

from ._effects import Log, Observe
from ._replies import close_session
from ._runs import abandon_transaction
from ._state import DirectState, Effects, Session
from ._stop_phases import MIN_IDLE_PERIOD
from .accounts import (
    KeyFault,
    find_account,
    find_key_fault,
    is_account_home,
    is_key_required,
    uses_accounts,
)


def close_displaced_sessions(state: DirectState, out: Effects) -> None:
    """Close idle sessions that this VM no longer serves.

    These are sessions of accounts with another home, which their callers reach by
    connecting again, and sessions whose key was withdrawn. A transaction that lost its
    account is rolled back at once, as it can't go on.
    """
    if not uses_accounts(state):
        return
    homes: dict[str, bool] = {}
    for session in list(state.sessions.values()):
        if session.transaction is not None and session.work is None:
            _end_transaction(state, session, out)
        if not is_key_required(state, session):
            continue
        account = session.account
        if account and account not in homes:
            homes[account] = is_account_home(state, account)
        if find_account(state, session) is not None and homes[account]:
            continue
        session.closing = True
        if session.end_ordered or session.work or session.transaction:
            continue
        if session.number in state.copy.waiting:
            continue
        if state.now - session.active_at >= MIN_IDLE_PERIOD:
            close_session(state, session, out)


def _end_transaction(state: DirectState, session: Session, out: Effects) -> None:
    """Roll back an idle transaction whose account its caller's key no longer names.

    The caller learns of it by its next statement.
    """
    transaction = session.transaction
    fault = find_key_fault(state, session)
    if transaction.failed or fault in (None, KeyFault.UNCONFIRMED):
        return
    fields = (
        ("session", session.number),
        ("account", session.account),
        ("version", state.configuration.version),
        ("reason", fault.value),
    )
    out.append(Log(event="transaction_ended", fields=fields, essential=True))
    out.append(Observe(metric="key_refusals_total", label=fault.value))
    session.closing = True
    abandon_transaction(state, transaction, out)
    transaction.failure_unreported = True
