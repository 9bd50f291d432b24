"""Part of an account's rate that this VM may admit, given which VMs it hears.

While VMs don't hear each other, two of them may take themselves for an account's home.
What both admit together has to stay within the limit and its tolerance.
"""

from .._state import DirectState
from .._types import Account
from ..accounts import hears_majority, is_home_certain, list_heard_demands

MAJORITY_SHARE = 0.8
"""Share of the rate at a home that replaces a silent VM, which may still run."""

MIN_SHARE = 0.05
"""Share of the rate that a home admits though others are asked for all of it, so that
its own demand shows."""

MINORITY_SHARE = 0.2
"""Share of the rate at a home that hears only a minority of the holders."""


def compute_share(state: DirectState, account: Account) -> float:
    """Return the share of an account's rate that this VM may admit."""
    share = _compute_demand_share(state, account)
    if not hears_majority(state):
        return share * MINORITY_SHARE
    if not is_home_certain(state, account.name):
        return share * MAJORITY_SHARE
    return share


def _compute_demand_share(state: DirectState, account: Account) -> float:
    """Return the share of a rate by the demand here and at the other homes.

    What no home is asked for is divided equally among them.
    """
    others = list_heard_demands(state, account.name)
    if not others or not account.rate:
        return 1.0
    allowance = state.rates.allowances.get(account.name)
    own = allowance.demand if allowance is not None else 0.0
    total = own + sum(others)
    spare = account.rate - total
    if spare >= 0.0:
        share = (own + spare / (len(others) + 1)) / account.rate
    else:
        share = own / total
    return max(MIN_SHARE, share)


def compute_first_allowance(state: DirectState, account: Account) -> float:
    """Return the operations that a new home may admit at once.

    The home before may have just admitted all that the limit allows, so these come out
    of its tolerance. Half of that is left for the next change.
    """
    bounds = state.accounts.bounds
    limit = account.rate * bounds.window + account.burst
    return min(account.burst, (bounds.excess * limit + bounds.slack) / 2)
