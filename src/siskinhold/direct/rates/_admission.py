"""Admission of operations within the rate of their client account.

The load that this answers: accounts that send many times what they may, at all VMs at
once. An account's homes, one in each region, count its operations and share the rate
by the demand that they report to each other.
"""

import json

from .._effects import Log, Observe
from .._rate_state import Allowance
from .._replies import refuse
from .._state import DirectState, Effects, Session
from .._types import Account, Refusal, Route, Statement
from ..accounts import find_account, is_account_home, uses_accounts
from ._shares import REPORTED_SHARE, compute_first_allowance, compute_share

RATE_EXCEEDED = "rate_exceeded"
"""Refusal reason of operations beyond the rate of their account."""

MAX_WAIT = 60.0
"""Longest time in seconds after which a caller is told to return."""

MEASURE_INTERVAL = 0.25
"""Seconds over which an account's demand is measured."""

DEMAND_WEIGHT = 0.25
"""Weight of a measure in the moving average of the demand: small accounts, which send
an operation now and then, stay reported."""

MAX_DEMANDS = 40
"""Demands in one report, which has to fit into one datagram."""

MAX_DEMANDS_SIZE = 3072
"""Bytes of the demands in one report, which is 4096 bytes long at most."""

DEMAND_SIZE = 24
"""Bytes of a demand beside its account's name."""

REPORT_INTERVAL = 1.0
"""Seconds of refusals of an account that one log line sums up."""


def admit_operation(state: DirectState, session: Session, route: Route) -> float | None:
    """Count an operation that is about to begin: a transaction or a single statement.

    Returns:
        None if it may run, else the seconds after which one may. Without an account
        nothing shows which limit applies, so it may not.
    """
    if route.anonymous or not uses_accounts(state):
        return None
    account = find_account(state, session)
    if account is None:
        return MAX_WAIT
    if account.rate is None:
        return None
    allowance = _update_allowance(state, account)
    allowance.asked += 1
    if allowance.operations >= 1.0:
        allowance.operations -= 1.0
        return None
    if not allowance.refused:
        allowance.refused_since = state.now
    allowance.refused += 1
    rate = account.rate * allowance.rate_share
    if rate <= 0.0:
        return MAX_WAIT
    return min(MAX_WAIT, (1.0 - allowance.operations) / rate)


def _update_allowance(state: DirectState, account: Account) -> Allowance:
    """Return an account's allowance, with what has accrued since it was last used."""
    allowance = state.rates.allowances.get(account.name)
    if allowance is None:
        operations = compute_first_allowance(state, account)
        allowance = Allowance(
            operations=operations, counted_at=state.now, measured_at=state.now
        )
        state.rates.allowances[account.name] = allowance
        _share_limit(state, account, allowance)
    if allowance.displaced_at is not None:
        allowance.displaced_at = None
        allowance.counted_at = state.now
        _share_limit(state, account, allowance)
    # Another VM may have been the home while this one was paused.
    since = max(allowance.counted_at, state.resumed_at)
    accrued = account.rate * allowance.rate_share * (state.now - since)
    # A single operation must be possible whatever the burst is.
    limit = max(account.burst * allowance.burst_share, 1.0)
    allowance.operations = min(limit, allowance.operations + accrued)
    allowance.counted_at = state.now
    return allowance


def _share_limit(state: DirectState, account: Account, allowance: Allowance) -> None:
    """Set the share of an account's limit that this VM may admit."""
    share = compute_share(state, account)
    allowance.rate_share = share.rate
    allowance.burst_share = share.burst


def refuse_rate(
    state: DirectState,
    session: Session,
    statement: Statement,
    wait: float,
    out: Effects,
) -> None:
    """Refuse an operation beyond the rate as not run, with the time of a retry."""
    out.append(Observe(metric="rate_refusals_total", label=session.account))
    detail = f"{RATE_EXCEEDED} retry_after_ms={round(wait * 1000)}"
    refuse(
        state, session, statement, Refusal.OVERLOAD, RATE_EXCEEDED, out, detail=detail
    )


def maintain_rates(state: DirectState, out: Effects) -> None:
    """Measure demand, update the allowances and log refusals; at each tick.

    A home saves up allowances of all its accounts, also before their first operation.
    """
    if state.now - state.rates.listed_at >= MEASURE_INTERVAL:
        state.rates.listed_at = state.now
        for account in state.configuration.accounts.values():
            if account.rate is not None and is_account_home(state, account.name):
                _update_allowance(state, account)
    for name, allowance in list(state.rates.allowances.items()):
        account = state.configuration.accounts.get(name)
        if account is None or account.rate is None:
            del state.rates.allowances[name]
            continue
        elapsed = state.now - allowance.measured_at
        if elapsed >= MEASURE_INTERVAL:
            asked = allowance.asked / elapsed
            allowance.demand += DEMAND_WEIGHT * (asked - allowance.demand)
            allowance.asked = 0
            allowance.measured_at = state.now
        if not is_account_home(state, name):
            _log_refusals(state, name, allowance, out)
            _suspend_allowance(state, account, allowance)
            continue
        _update_allowance(state, account)
        _share_limit(state, account, allowance)
        if state.now - allowance.refused_since >= REPORT_INTERVAL:
            _log_refusals(state, name, allowance, out)


def _suspend_allowance(
    state: DirectState, account: Account, allowance: Allowance
) -> None:
    """Keep what is left at a VM that is no longer an account's home, for a window.

    If it becomes the home again within that time, what it has begun to admit as a new
    home counts: homes that take turns would each begin anew.
    """
    if allowance.displaced_at is None:
        allowance.displaced_at = state.now
        first = compute_first_allowance(state, account)
        allowance.operations = min(allowance.operations, first)
    elif state.now - allowance.displaced_at >= state.accounts.bounds.window:
        del state.rates.allowances[account.name]


def list_demands(state: DirectState) -> dict[str, float]:
    """Return the demands that other VMs have to know: those near an account's rate."""
    ranked = []
    for name, allowance in state.rates.allowances.items():
        account = state.configuration.accounts.get(name)
        if account is None or not account.rate or allowance.displaced_at is not None:
            continue
        share = allowance.demand / account.rate
        if share >= REPORTED_SHARE:
            ranked.append((share, name, allowance.demand))
    ranked.sort(reverse=True)
    listed = {}
    room = MAX_DEMANDS_SIZE
    for _, name, demand in ranked:
        if len(listed) == MAX_DEMANDS:
            break
        size = len(json.dumps(name, ensure_ascii=False).encode()) + DEMAND_SIZE
        if size <= room:
            room -= size
            listed[name] = round(demand, 2)
    return listed


def note_reported(state: DirectState, demands: dict[str, float]) -> None:
    """Record the demands that other homes were told, by which all divide the rates."""
    for name, allowance in state.rates.allowances.items():
        demand = demands.get(name, 0.0)
        if demand and not allowance.reported:
            allowance.reported_since = state.now
        allowance.reported = demand


def _log_refusals(
    state: DirectState, name: str, allowance: Allowance, out: Effects
) -> None:
    """Log how many operations of an account were refused, and by which limit."""
    if not allowance.refused:
        return
    account = (state.configuration.accounts or {}).get(name)
    fields = (
        ("account", name),
        ("refused", allowance.refused),
        ("rate", account.rate if account is not None else 0),
        ("share", round(allowance.rate_share, 2)),
        ("version", state.configuration.version),
    )
    out.append(Log(event="account_limited", fields=fields, essential=True))
    allowance.refused = 0
