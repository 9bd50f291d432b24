"""State of the limits on client accounts' operations at one VM."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Allowance:
    """Operations that an account may begin now at its home.

    Args:
        operations: their number at `counted_at`.
        asked: operations that callers asked for since `measured_at`.
        demand: operations a second that callers asked for.
        share: share of the account's rate that this VM may admit.
        refused: operations that were refused since `refused_since`.
        refused_since: when the first of them was.
    """

    operations: float
    counted_at: float
    measured_at: float
    asked: int = 0
    demand: float = 0.0
    share: float = 1.0
    refused: int = 0
    refused_since: float = 0.0


@dataclass(slots=True, kw_only=True)
class RateState:
    """Allowances by client account, of the accounts whose home this VM is."""

    allowances: dict[str, Allowance] = field(default_factory=dict)
