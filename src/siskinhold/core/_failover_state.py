"""The state of failover decisions and promotion attempts."""

import enum
from dataclasses import dataclass, field

from ..model import Database, ServerStatus, TermRecord


class Phase(enum.Enum):
    """Step of a promotion attempt."""

    RESERVING = "reserving"
    FENCING = "fencing"
    RECORDING = "recording"


@dataclass(slots=True, kw_only=True)
class Attempt:
    """A promotion attempt under way.

    Args:
        database: the database whose primary is replaced.
        run: random identity of the attempt, stored with its reservation. If the
            store's answer is lost, it shows whether the write took effect.
        cause: why the primary is replaced.
        term: the term that the attempt reserves for the new primary.
        era: the store's era for which the term was chosen.
        started: when the attempt began.
        phase: its current step.
        fenced: status of each fenced server, by server name.
        pending_fences: number of fence commands that are not answered yet.
        base: the term record that the current or last write replaces.
        written: the term record of the current or last write to the store.
        replaced_version: version of the stored record that this write replaces, 0 if
            there is none.
    """

    database: Database
    run: str
    cause: str
    term: int
    era: int
    started: float
    phase: Phase = Phase.RESERVING
    fenced: dict[str, ServerStatus] = field(default_factory=dict)
    pending_fences: int = 0
    base: TermRecord | None = None
    written: TermRecord | None = None
    replaced_version: int = 0


@dataclass(slots=True, kw_only=True)
class DatabaseFailover:
    """Failover state of one database at its owner.

    Args:
        attempt: the promotion under way, if any.
        not_before: earliest time of a new attempt.
        higher_term_since: since when a server has reported a term above that of
            the term record.
        cut_off_since: since when a primary that answers has not reached a
            majority of replicas.
        switchover_since: when the preparation of a planned switchover began.
        lost_log_since: since when the primary has lacked entries of its log.
        commanded_at: when each server was last sent a promote or follow
            command.
        promoted_term: the last term whose primary was promoted by this VM.
    """

    promoted_term: int = 0
    attempt: Attempt | None = None
    not_before: float = 0.0
    higher_term_since: float | None = None
    cut_off_since: float | None = None
    switchover_since: float | None = None
    lost_log_since: float | None = None
    commanded_at: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True, kw_only=True)
class FailoverState:
    """State of `_failover`, `_attempts` and `_promotion`, by database."""

    databases: dict[str, DatabaseFailover] = field(default_factory=dict)
