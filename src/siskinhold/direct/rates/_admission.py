"""Admission of operations within the rate of their client account.

The load that this answers: accounts that send many times what they may, at all VMs at
once. An account's homes, one in each region, count its operations and
share the rate by the demand that they report to each other.
"""

from .._effects import Log
from .._rate_state import Allowance
from .._replies import refuse
from .._state import DirectState, Effects, Session
from .._types import Account, Refusal, Route, Statement
from ..accounts import is_account_home
from ._shares import compute_first_allowance, compute_share

RATE_EXCEEDED = "rate_exceeded"
"""Refusal reason of operations beyond the rate of their account."""

MAX_WAIT = 60.0
"""Longest time in seconds after which a caller is told to return."""

MEASURE_INTERVAL = 0.25
"""Seconds over which an account's demand is measured."""

REPORTED_SHARE = 0.2
"""Share of an account's rate from which its demand is reported to other homes. Those
below it don't exceed the rate together."""

MAX_DEMANDS = 60
"""Demands in one report, which has to fit into one datagram."""

REPORT_INTERVAL = 1.0
"""Seconds of refusals of an account that one log line sums up."""


def admit_operation(state: DirectState, session: Session, route: Route) -> float | None:
    """Count an operation that is about to begin: a transaction or a single statement.

    Returns:
        None if it may run, else the seconds after which one may.
    """
    if not session.account or route.anonymous or state.configuration is None:
        return None
    account = (state.configuration.accounts or {}).get(session.account)
    if account is None or account.rate is None:
        return None
    allowance = _update_allowance(state, account)
    allowance.asked += 1
    if allowance.operations >= 1.0:
        allowance.operations -= 1.0
        return None
    if not allowance.refused:
        allowance.refused_since = state.now
    allowance.refused += 1
    rate = account.rate * allowance.share
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
        allowance.share = compute_share(state, account)
    accrued = account.rate * allowance.share * (state.now - allowance.counted_at)
    # A single operation must be possible whatever the burst is.
    limit = max(account.burst * allowance.share, 1.0)
    allowance.operations = min(limit, allowance.operations + accrued)
    allowance.counted_at = state.now
    return allowance


def refuse_rate(
    state: DirectState,
    session: Session,
    statement: Statement,
    wait: float,
    out: Effects,
) -> None:
    """Refuse an operation beyond the rate as not run, with the time of a retry."""
    detail = f"{RATE_EXCEEDED} retry_after_ms={round(wait * 1000)}"
    refuse(
        state, session, statement, Refusal.OVERLOAD, RATE_EXCEEDED, out, detail=detail
    )


def maintain_rates(state: DirectState, out: Effects) -> None:
    """Measure demand, log refusals, and forget accounts with other homes; at each tick.

    A VM that becomes an account's home again starts anew: it can't know what another
    home admitted meanwhile.
    """
    for name, allowance in list(state.rates.allowances.items()):
        elapsed = state.now - allowance.measured_at
        if elapsed < MEASURE_INTERVAL:
            continue
        allowance.demand = (allowance.demand + allowance.asked / elapsed) / 2
        allowance.asked = 0
        allowance.measured_at = state.now
        account = state.configuration.accounts.get(name)
        if account is not None:
            allowance.share = compute_share(state, account)
        if not is_account_home(state, name):
            del state.rates.allowances[name]
        elif state.now - allowance.refused_since >= REPORT_INTERVAL:
            _log_refusals(state, name, allowance, out)


def list_demands(state: DirectState) -> dict[str, float]:
    """Return the demands that other VMs have to know: those near an account's rate."""
    ranked = []
    for name, allowance in state.rates.allowances.items():
        account = state.configuration.accounts.get(name)
        if account is None or not account.rate:
            continue
        share = allowance.demand / account.rate
        if share >= REPORTED_SHARE:
            ranked.append((share, name, allowance.demand))
    ranked.sort(reverse=True)
    return {name: round(demand, 2) for _, name, demand in ranked[:MAX_DEMANDS]}


def _log_refusals(
    state: DirectState, name: str, allowance: Allowance, out: Effects
) -> None:
    """Log how many operations of an account were refused, and by which limit."""
    if not allowance.refused:
        return
    account = state.configuration.accounts.get(name)
    fields = (
        ("account", name),
        ("refused", allowance.refused),
        ("rate", account.rate if account is not None else 0),
        ("share", round(allowance.share, 2)),
        ("version", state.configuration.version),
    )
    out.append(Log(event="account_limited", fields=fields, essential=True))
    allowance.refused = 0
