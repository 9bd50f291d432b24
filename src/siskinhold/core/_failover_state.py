"""What is kept of failovers and promotions."""

import enum
from dataclasses import dataclass, field

from ..model import Database, ServerStatus, TermRecord


class Phase(enum.Enum):
    """Step of an attempt."""

    RESERVING = "reserving"
    FENCING = "fencing"
    RECORDING = "recording"


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One promotion under way.

    Args:
        database: the database.
        run: random identity, so that a lost store answer can be settled.
        cause: why the primary is replaced.
        term: the term being reserved.
        started: when the attempt began.
        phase: its step.
        fenced: the status of each fenced server.
        pending_fences: how many fences are unanswered.
        written: the record being written.
    """

    database: Database
    run: str
    cause: str
    term: int
    started: float
    phase: Phase = Phase.RESERVING
    fenced: dict[str, ServerStatus] = field(default_factory=dict)
    pending_fences: int = 0
    written: TermRecord | None = None


@dataclass(slots=True, kw_only=True)
class DatabaseFailover:
    """What the owner of a database keeps for failover.

    Args:
        attempt: the promotion under way.
        not_before: no new attempt before this time.
        higher_term_since: since when a server has shown a term above the record.
        cut_off_since: since when a majority of replicas has missed a primary
            that answers.
        switchover_since: since when a planned switchover has been wanted.
        ordered_at: when each server was last sent an order.
        promoted_term: the last term whose primary became primary by order of
            this VM.
    """

    promoted_term: int = 0
    attempt: Attempt | None = None
    not_before: float = 0.0
    higher_term_since: float | None = None
    cut_off_since: float | None = None
    switchover_since: float | None = None
    ordered_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class FailoverState:
    """State of `_failover`, `_attempts` and `_promotion`: watches by database."""

    databases: dict[str, DatabaseFailover] = field(default_factory=dict)
