"""State of the limits on client accounts' operations at one VM."""

from dataclasses import dataclass


@dataclass(slots=True, kw_only=True)
class RateState:
    """Counts of operations by client account."""
