"""What is kept of answers that wait for confirmation."""

from dataclasses import dataclass, field

from ._queue import Job


@dataclass(slots=True, kw_only=True)
class Floor:
    """A VM that waits for the primary's position, and since when."""

    vm: str
    sequence: int
    since: float


@dataclass(slots=True, kw_only=True)
class Waiting:
    """What waits for one database's instances.

    Args:
        jobs: answered works.
        floors: requested floors.
        retry_due: whether a retry timer is set.
    """

    jobs: list[Job] = field(default_factory=list)
    floors: list[Floor] = field(default_factory=list)
    retry_due: bool = False


@dataclass(slots=True, kw_only=True)
class ConfirmationState:
    """State of `_confirmation`: what waits, by database."""

    databases: dict[str, Waiting] = field(default_factory=dict)
