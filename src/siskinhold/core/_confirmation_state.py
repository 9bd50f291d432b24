"""The state of answers that wait for confirmation."""

from dataclasses import dataclass, field

from ._queue import Job


@dataclass(slots=True, kw_only=True)
class PendingFloor:
    """A VM's request for a floor.

    Args:
        vm: the VM that sent the request.
        sequence: number of the request at that VM.
        since: when the request arrived.
    """

    vm: str
    sequence: int
    since: float


@dataclass(slots=True, kw_only=True)
class PendingConfirmations:
    """Answers of one database that wait for status reports.

    Args:
        jobs: jobs whose results are not confirmed yet.
        floors: floor requests that are not answered yet.
        retry_due: whether a retry timer is set.
    """

    jobs: list[Job] = field(default_factory=list)
    floors: list[PendingFloor] = field(default_factory=list)
    retry_due: bool = False


@dataclass(slots=True, kw_only=True)
class ConfirmationState:
    """State of `_confirmation`: pending confirmations by database."""

    databases: dict[str, PendingConfirmations] = field(default_factory=dict)
