"""Gauges that show operators which client accounts a VM serves."""

from .._effects import Observe
from .._state import DirectState, Effects
from ._homes import is_account_home, may_serve
from ._keys import uses_accounts

OBSERVATION_INTERVAL = 1.0
"""Seconds between two updates of the gauges."""


def observe_accounts(state: DirectState, out: Effects) -> None:
    """Update the gauges about accounts once a second; at each tick."""
    accounts = state.accounts
    if not uses_accounts(state):
        return
    if state.now - accounts.observed_at < OBSERVATION_INTERVAL:
        return
    accounts.observed_at = state.now
    served = {session.account for session in state.sessions.values()}
    served.discard("")
    homes = sum(is_account_home(state, account) for account in served)
    out.append(Observe(metric="accounts_served", value=homes))
    out.append(Observe(metric="accounts_home", value=float(may_serve(state))))
