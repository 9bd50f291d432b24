"""State of the limits on client accounts' operations at one VM."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Allowance:
    """Operations that an account may begin now at its home.

    Args:
        operations: their number at `counted_at`.
        asked: operations that callers asked for since `measured_at`.
        demand: operations a second that callers asked for.
        reported: the demand that other homes were last told, 0 for none.
        reported_since: since when they are told of one.
        rate_share: share of the account's rate that this VM may admit.
        burst_share: share of its burst.
        refused: operations that were refused since `refused_since`.
        refused_since: when the first of them was.
        displaced_at: when another VM became the home, None while this one is.
    """

    operations: float
    counted_at: float
    measured_at: float
    asked: int = 0
    demand: float = 0.0
    reported: float = 0.0
    reported_since: float = 0.0
    rate_share: float = 1.0
    burst_share: float = 1.0
    refused: int = 0
    refused_since: float = 0.0
    displaced_at: float | None = None


@dataclass(slots=True, kw_only=True)
class RateState:
    """Allowances by client account, of the accounts whose home this VM is.

    Args:
        listed_at: when these accounts were last listed.
    """

    listed_at: float = -100.0
    allowances: dict[str, Allowance] = field(default_factory=dict)
