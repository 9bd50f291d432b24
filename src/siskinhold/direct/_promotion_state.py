"""The state of a promotion."""

import enum
from dataclasses import dataclass, field

from ..model import Position


class PromotionStep(enum.Enum):
    """What a promotion waits for."""

    SUSPECTING = "suspecting"
    WAITING = "waiting"
    READING = "reading"
    CLAIMING = "claiming"
    STEPPING_DOWN = "ending_lead"
    FENCING = "fencing"
    COMPARING = "comparing"
    ORDERING = "ordering"
    TAKING_EFFECT = "taking_effect"


@dataclass(slots=True, kw_only=True)
class ReplicationProgress:
    """What a replica received while the primary is suspected to be lost.

    Args:
        position: end of the log that it has received.
        since: when that position was first seen.
        seen_at: when it was last seen.
    """

    position: Position
    since: float
    seen_at: float


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A promotion of this VM, or its preparation.

    Args:
        leader: the primary to be replaced, empty if none is known.
        term: its term.
        cause: why it is replaced.
        began_at: when the cause was seen.
        step_at: when the present step began.
        token: fence token, once the record is claimed.
        attempt: random identity.
        candidate: the server to be promoted, once chosen.
        replica_progress: what replicas received before the claim, by server.
        positions: log positions received, by server.
        fenced: servers that take nothing from older primaries any more.
        ordered: whether an order was sent.
        call: number of the call under way, 0 for none.
        repeat_at: when the present step is repeated.
    """

    leader: str
    term: int
    cause: str
    began_at: float
    step: PromotionStep
    step_at: float
    token: int = 0
    attempt: str = ""
    candidate: str = ""
    replica_progress: dict[str, ReplicationProgress] = field(default_factory=dict)
    positions: dict[str, Position] = field(default_factory=dict)
    fenced: set[str] = field(default_factory=set)
    ordered: bool = False
    call: int = 0
    repeat_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Completion:
    """A leader record that this VM has yet to complete after its promotion.

    Args:
        server: the new primary.
        term: its term.
        token: the promotion's fence token, which is the record's revision.
        attempt: the promotion's identity.
        call: number of the call under way, 0 for none.
        repeat_at: earliest time of the next call.
    """

    server: str
    term: int
    token: int
    attempt: str
    call: int = 0
    repeat_at: float = 0.0
