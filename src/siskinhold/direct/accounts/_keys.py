"""Keys of callers: whose they are, and whether this VM may still rely on them.

A withdrawn key must not be served longer than a bound, also by a VM that the store
turns away. So a VM relies on its configuration only for a time after the store has
shown that it is the newest one; then it refuses callers with keys as not run.
"""

import enum

from .._copies import CONFIRMED_SHARE
from .._state import DirectState, Session
from .._types import Account


class KeyFault(enum.Enum):
    """Why a session's key can't be served.

    Attributes:
        WITHDRAWN: it belongs to no account any more.
        REASSIGNED: it belongs to another account than when the session was opened.
        UNCONFIRMED: it may have been withdrawn without this VM's knowledge.
    """

    WITHDRAWN = "key_withdrawn"
    REASSIGNED = "key_reassigned"
    UNCONFIRMED = "keys_unconfirmed"


def uses_accounts(state: DirectState) -> bool:
    """Return whether callers are identified by keys."""
    configuration = state.configuration
    return configuration is not None and configuration.accounts is not None


def name_account(state: DirectState, key: str) -> str:
    """Return the name of the account that a key belongs to, empty for none."""
    return state.configuration.keys.get(key, "") if key else ""


def find_account(state: DirectState, session: Session) -> Account | None:
    """Return the account of a session, None if its key no longer belongs to it."""
    if not session.account or name_account(state, session.key) != session.account:
        return None
    return state.configuration.accounts.get(session.account)


def is_key_required(state: DirectState, session: Session) -> bool:
    """Return whether a session needs a key that holds.

    Only a route shows that it does not. A route that becomes anonymous frees its
    sessions, and one that ceases to be binds them. A transaction that began with a key
    needs it until its end, and one that began without keeps its route if that is gone.
    """
    if not uses_accounts(state):
        return bool(session.account)
    route = state.configuration.routes.get(session.database)
    if session.transaction is not None:
        began_by = session.transaction.route
        if not began_by.anonymous:
            return True
        if route is None:
            route = began_by
    return route is None or not route.anonymous


def find_key_fault(state: DirectState, session: Session) -> KeyFault | None:
    """Return why a session's statements may not run, None if they may.

    A transaction on an anonymous route runs in the name of an account if its caller had
    a key, so it ends with that.
    """
    required = is_key_required(state, session)
    if not required and (session.transaction is None or not session.account):
        return None
    if state.configuration is None:
        return KeyFault.UNCONFIRMED
    account = name_account(state, session.key) if uses_accounts(state) else ""
    if not account:
        return KeyFault.WITHDRAWN
    if account != session.account:
        return KeyFault.REASSIGNED
    if required and not is_confirmed(state):
        return KeyFault.UNCONFIRMED
    return None


def is_confirmed(state: DirectState, share: float = CONFIRMED_SHARE) -> bool:
    """Return whether the configuration is recent enough to rely on its keys.

    Args:
        share: share of the bound within which it must have been confirmed.
    """
    bound = state.accounts.bounds.withdrawal
    if bound is None:
        return True
    return state.now - state.copy.confirmed_at < share * bound
