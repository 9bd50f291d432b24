"""Part of an account's rate that this VM may admit, given which VMs it hears.

While VMs don't hear each other, two of them may take themselves for an account's home.
What both admit together has to stay within the limit and its tolerance.
"""

from .._state import DirectState
from .._types import Account
from ..accounts import hears_majority, is_home_certain

MAX_UNCERTAIN_SHARE = 0.2
"""Greatest share of the rate at a VM that may not be the only home."""

TOLERANCE_PARTS = 4
"""Parts into which a limit's tolerance is divided: two for changes of the home within a
window, one for a second home, one for the time until VMs notice a change."""


def compute_share(state: DirectState, account: Account) -> float:
    """Return the share of an account's rate that this VM may admit.

    What a VM admits beside another home comes out of the limit's tolerance.
    """
    if hears_majority(state) and is_home_certain(state, account.name):
        return 1.0
    total = account.rate * state.accounts.bounds.window
    if total <= 0.0:
        return MAX_UNCERTAIN_SHARE
    return min(MAX_UNCERTAIN_SHARE, _compute_part(state, account) / total)


def compute_first_allowance(state: DirectState, account: Account) -> float:
    """Return the operations that a new home may admit at once.

    The home before may have just admitted all that the limit allows. One operation is
    admitted also where a limit has no tolerance: most accounts are far below theirs.
    """
    if account.rate <= 0.0:
        return min(account.burst, _compute_part(state, account))
    return min(max(account.burst, 1.0), max(1.0, _compute_part(state, account)))


def _compute_part(state: DirectState, account: Account) -> float:
    """Return the operations in one part of a limit's tolerance."""
    bounds = state.accounts.bounds
    limit = account.rate * bounds.window + account.burst
    return (bounds.excess * limit + bounds.slack) / TOLERANCE_PARTS
