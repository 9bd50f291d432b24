"""Part of an account's rate that this VM may admit, given which VMs it hears.

While VMs don't hear each other, two of them may take themselves for an account's home.
What both admit together has to stay within the limit and its tolerance.
"""

from dataclasses import dataclass

from .._state import DirectState
from .._types import Account
from ..accounts import (
    count_home_regions,
    hears_majority,
    is_home_certain,
    list_heard_demands,
)

MAX_UNCERTAIN_SHARE = 0.2
"""Greatest share of the rate at a VM that may not be the only home."""

REPORTED_SHARE = 0.05
"""Share of an account's rate from which its demand is reported to other homes. What
homes admit below it comes out of the limit's tolerance."""

FIRST_SHARE = 0.5
"""Part of an equal share of the rate that a home has until its demand is reported."""

SETTLING_PERIOD = 0.6
"""Seconds after the first report of a demand in which those of others may arrive."""

TOLERANCE_PARTS = 6
"""Parts into which a limit's tolerance is divided: two for changes of the home within a
window, one for a second home, one for the time until VMs notice a change, and two for
the homes of several regions."""


@dataclass(slots=True, kw_only=True, frozen=True)
class Share:
    """Part of an account's limit that this VM may admit.

    Args:
        rate: share of the rate.
        burst: share of the burst.
    """

    rate: float
    burst: float


def compute_share(state: DirectState, account: Account) -> Share:
    """Return the share of an account's limit that this VM may admit.

    What a VM admits beside another home of its region comes out of the limit's
    tolerance.
    """
    if hears_majority(state) and is_home_certain(state, account.name):
        return _divide_by_demand(state, account)
    total = account.rate * state.accounts.bounds.window
    share = MAX_UNCERTAIN_SHARE
    if total > 0.0:
        share = min(share, _compute_part(state, account) / total)
    return Share(rate=share, burst=share)


def _divide_by_demand(state: DirectState, account: Account) -> Share:
    """Return the share by the demand here and at the homes of other regions.

    All homes use the demands as they were reported, so that their shares sum up to one.
    A home that has reported none, or has just begun to, has a small share: another one
    may not know of it yet. It may have saved up an equal share of the burst.
    """
    homes = count_home_regions(state)
    if homes == 1:
        return Share(rate=1.0, burst=1.0)
    equal = 1.0 / homes
    first = Share(rate=equal * FIRST_SHARE, burst=equal)
    allowance = state.rates.allowances.get(account.name)
    others = list_heard_demands(state, account.name)
    if allowance is None or not allowance.reported or not account.rate:
        return first
    if len(others) < homes - 1:
        if state.now - allowance.reported_since < SETTLING_PERIOD:
            return first
        silent = homes - 1 - len(others)
        return Share(rate=1.0 - silent * REPORTED_SHARE, burst=equal)
    total = allowance.reported + sum(others)
    spare = max(0.0, account.rate - total)
    rate = (allowance.reported + spare * equal) / (total + spare)
    return Share(rate=rate, burst=rate)


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
