"""State of the limits on client accounts' operations at one VM."""

from dataclasses import dataclass, field


@dataclass(slots=True, kw_only=True)
class Allowance:
    """Operations that an account may begin now at its home.

    Args:
        operations: their number at `counted_at`.
        refused: operations that were refused since `refused_since`.
        refused_since: when the first of them was.
        displaced_at: when another VM became the home, None while this one is.
    """

    operations: float
    counted_at: float
    refused: int = 0
    refused_since: float = 0.0
    displaced_at: float | None = None


@dataclass(slots=True, kw_only=True)
class RateState:
    """Allowances by client account, of the accounts whose home this VM is."""

    allowances: dict[str, Allowance] = field(default_factory=dict)
