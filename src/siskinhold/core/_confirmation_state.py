"""What is kept of answers that wait for confirmation."""

from dataclasses import dataclass, field

from ._queue import Work


@dataclass(slots=True, kw_only=True)
class PendingFloor:
    """A VM that waits for the primary's position, and since when."""

    vm: str
    sequence: int
    since: float


@dataclass(slots=True, kw_only=True)
class PendingConfirmations:
    """What waits for one database's instances.

    Args:
        works: answered works.
        floors: requested floors.
        retry_due: whether a retry timer is set.
    """

    works: list[Work] = field(default_factory=list)
    floors: list[PendingFloor] = field(default_factory=list)
    retry_due: bool = False


@dataclass(slots=True, kw_only=True)
class ConfirmationState:
    """State of `_confirmation`: what waits, by database."""

    databases: dict[str, PendingConfirmations] = field(default_factory=dict)
