"""Part of an account's rate that this VM may admit, given which VMs it hears.

While VMs don't hear each other, two of them may take themselves for an account's home.
What both admit together has to stay within the limit and its tolerance.
"""

from .._state import DirectState
from .._types import Account
from ..accounts import hears_majority, is_home_certain

MAJORITY_SHARE = 0.8
"""Share of the rate at a home that replaces a silent VM, which may still run."""

MINORITY_SHARE = 0.2
"""Share of the rate at a home that hears only a minority of the holders."""


def compute_share(state: DirectState, account: str) -> float:
    """Return the share of an account's rate that this VM may admit."""
    if not hears_majority(state):
        return MINORITY_SHARE
    if not is_home_certain(state, account):
        return MAJORITY_SHARE
    return 1.0


def compute_first_allowance(state: DirectState, account: Account) -> float:
    """Return the operations that a new home may admit at once.

    The home before may have just admitted all that the limit allows, so these come out
    of its tolerance. Half of that is left for the next change.
    """
    bounds = state.accounts.bounds
    limit = account.rate * bounds.window + account.burst
    return min(account.burst, (bounds.excess * limit + bounds.slack) / 2)
