"""State of a promotion."""

import enum
from dataclasses import dataclass, field

from ..model import Position
from ._types import Revision


class PromotionStep(enum.Enum):
    """Current step of a promotion.

    Attributes:
        SUSPECTING: other VMs have to confirm the loss of the primary.
        WAITING: VMs ranked before this one may claim the leader record first.
        READING: the leader record is read.
        CLAIMING: a conditional write of the leader record is under way.
        STEPPING_DOWN: the record is claimed; the old primary was ordered to step down.
        COMPARING: the candidates are queried for their log positions.
        FENCING: a majority is suspended for the new term.
        ORDERING: the platform is ordered to promote the candidate.
        TAKING_EFFECT: the order was accepted, but no new primary is found yet.
    """

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
    """End of a replica's received log while the primary is suspected to be lost.

    Args:
        position: end of the log that it has received.
        since: when that position was first seen.
        seen_at: when it was last seen.
    """

    position: Position
    since: float
    seen_at: float


@dataclass(slots=True, kw_only=True, frozen=True)
class Claim:
    """A claim of the leader record that succeeded; only it entitles to an order.

    Args:
        revision: revision of the record with the claim.
        attempt: random id of the claim.
        sent_at: when it was sent.
    """

    revision: Revision
    attempt: str
    sent_at: float

    @property
    def token(self) -> int:
        """The fence token of the claim's orders."""
        return self.revision.to_token()


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A promotion by this VM, or its preparation.

    Args:
        leader: the primary to be replaced, empty if none is known.
        term: its term.
        cause: why it is replaced.
        began_at: when the cause was seen; once the record is claimed, when the claim
            was sent.
        step_at: when the current step began.
        claim: the claim of the leader record, None until it succeeded.
        attempts: when each claim was sent, by its random id.
        candidate: the server to be promoted, once chosen.
        reference: position of the primary that a successor must have received.
        reference_at: when it was chosen.
        queried_at: when the servers' positions were last queried before the claim.
        replica_progress: replication progress before the claim, by server.
        published_at: when this VM's suspicion was last published.
        asked_at: when other VMs were last asked whether they reach the primary.
        asked_call: number of that question.
        missed_by: VMs that answered that they don't, if none answered that it does.
        positions: end of the received log, by server.
        fenced: servers that no longer accept log entries from older primaries.
        claim_sent: whether a claim was sent whose outcome is not known yet.
        claimed_from: revision of the leader record that the newest claim replaces.
        holder: the VM whose lease goes on if the promotion ends without an order.
        ordered: whether a promotion order was sent.
        orders_open: number of orders without an answer that settles them.
        step_down_sent: whether the primary to be replaced was ordered to step down.
        delayed_by: what its claim was last logged to wait for.
        call: number of the call under way, 0 for none.
        repeat_at: earliest time at which the current step is repeated.
    """

    leader: str
    term: int
    cause: str
    began_at: float
    step: PromotionStep
    step_at: float
    claim: Claim | None = None
    attempts: dict[str, float] = field(default_factory=dict)
    candidate: str = ""
    reference: Position | None = None
    reference_at: float = -100.0
    queried_at: float = -100.0
    replica_progress: dict[str, ReplicationProgress] = field(default_factory=dict)
    published_at: float = -100.0
    asked_at: float = -100.0
    asked_call: int = 0
    missed_by: tuple[str, ...] = ()
    positions: dict[str, Position] = field(default_factory=dict)
    fenced: set[str] = field(default_factory=set)
    claim_sent: bool = False
    claimed_from: Revision = Revision()
    holder: str = ""
    ordered: bool = False
    orders_open: int = 0
    step_down_sent: bool = False
    delayed_by: tuple = ()
    call: int = 0
    repeat_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class OpenClaim:
    """A claim without an answer, of a promotion that has ended without it.

    Args:
        attempts: random ids of the promotion's claims.
        claimed_from: revision of the leader record that the newest one replaces.
        sent_at: when the claim was sent.
        call: number of the call under way, 0 for none.
        repeat_at: earliest time of the next call.
    """

    attempts: tuple[str, ...]
    claimed_from: Revision
    sent_at: float
    call: int = 0
    repeat_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class Completion:
    """A leader record that this VM has yet to complete after a promotion.

    Args:
        server: the primary: the new one, or that before a promotion without an order.
        term: its term.
        revision: revision of the record with the promotion's claim.
        attempt: random id of its claim.
        holder: the VM whose lease another VM has to wait out.
        withdraws: whether the promotion ended without an order.
        unsettled: whether an order of it had no answer, and may have arrived later.
        resumes_until: until when it waits for the servers that are being resumed.
        call: number of the call under way, 0 for none.
        repeat_at: earliest time of the next call.
    """

    server: str
    term: int
    revision: Revision
    attempt: str
    holder: str
    withdraws: bool = False
    unsettled: bool = False
    resumes_until: float = 0.0
    call: int = 0
    repeat_at: float = 0.0
