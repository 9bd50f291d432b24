"""What one VM knows of a replicated database."""

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import Position
from ._promotion_state import Completion, OpenClaim, Promotion
from ._starts import StartCounts
from ._types import LeaderRecord, Revision, TermStart

if TYPE_CHECKING:
    from ._state import Job


@dataclass(slots=True, kw_only=True, frozen=True)
class Leadership:
    """A server that this VM believes to be a database's primary.

    Args:
        since: when this VM found it, in seconds of the runtime's clock.
    """

    server: str
    term: int
    since: float


@dataclass(slots=True, kw_only=True)
class Floor:
    """The minimum log position that a session's reads must see.

    The log up to `position` holds every commit that was acknowledged before `at`.
    """

    at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class DepartedServer:
    """A server that has left the list and may hold acknowledged commits.

    Args:
        host: IP address under which it was listed.
        port: its port, 0 if the address is not known.
        left_at: when it was removed from the state.
        held: the greatest end of its received log that it has shown, None if unknown.
        held_term: its term then.
        reference: what the primary had committed once it was gone, None before that is
            known.
    """

    host: str
    port: int
    left_at: float
    held: Position | None = None
    held_term: int = 0
    reference: Position | None = None


@dataclass(slots=True, kw_only=True)
class Database:
    """A replicated database, which its servers call a service.

    Args:
        leader: the server believed to be the primary, None if none is known.
        previous_leader: the last leader that was dropped.
        leaderless_since: since when no leader is known.
        min_term: a term that a primary is known to have reached.
        leader_expected_at: when a leader is expected, while none is known.
        floors: known floors, in ascending order of time.
        queue: jobs that wait for a connection.
        starts: recent starts of queued jobs by priority.
        queued_since: since when the queue has not been empty.
        hedge_budget: reads that may be hedged now.
        unconfirmed: jobs whose answers wait for proof that the primary led.
        store_confirmed_at: latest time at which the leader record in the store
            confirmed the leader's term.
        store_call: number of the confirming store call under way, 0 for none.
        store_sent_at: when the last confirming store call was sent.
        store_failed_at: when the last confirming store call failed.
        store_retry_at: earliest time of the next confirming store call.
        recorded_era: newest era of the store that has a leader record.
        missed_era: newest era in which this VM found none.
        record_retry_at: earliest time of the next attempt to write the first one.
        probed_at: when the servers were last probed for the primary.
        positions_requested_at: when the last round of position requests for a floor
            was sent.
        last_read_at: when a read that a replica may serve last arrived.
        lagging_seen_at: when a replica last refused a read because it lagged.
        overloaded_since: when the refusals for want of time began.
        overloaded_at: when a statement was last refused for want of time.
        promotion: this VM's promotion of the database.
        completion: leader record that this VM has yet to complete after a promotion.
        open_claim: claim that may still be carried out though its promotion has ended.
        record_revision: newest revision of the leader record that this VM has seen.
        record_seen_at: when that revision was first seen.
        completed_term: term up to which the leader record need not be watched, 0
            before the first primary.
        completion_read_at: earliest time of the next read that watches it.
        ordered_at: when this VM last ordered a promotion.
        ordered_server: the server whose promotion it ordered, empty once the order was
            rejected.
        goes_on_at: earliest time of this VM's next claim within its own lease.
        term_starts: where the newest terms began, the oldest first.
        rolled_back_since: since when all candidates have commits that a promotion has
            rolled back, None if one has not or is not known.
        settled_attempt: random id of this VM's last attempt that was dropped after
            all of its orders were answered.
        acknowledging: replicas that must have received a commit before it is
            acknowledged.
        departed: servers that have left the list and may hold acknowledged commits.
        covered: those whose commits are known to be held by others.
        record: the leader record of `record_revision`, None if there is none, it is
            unreadable or was not read yet.
        record_known: whether the record or its absence has been read.
        servers_recorded_at: earliest time of the next look at the servers that it
            names.
    """

    name: str
    leader: Leadership | None = None
    previous_leader: Leadership | None = None
    leaderless_since: float = 0.0
    min_term: int = 0
    leader_expected_at: float = 0.0
    floors: deque[Floor] = field(default_factory=deque)
    queue: list["Job"] = field(default_factory=list)
    starts: StartCounts = field(default_factory=StartCounts)
    queued_since: float = 0.0
    hedge_budget: float = 2.0
    unconfirmed: list["Job"] = field(default_factory=list)
    store_confirmed_at: float = -1.0
    store_call: int = 0
    store_sent_at: float = 0.0
    store_failed_at: float = -100.0
    store_retry_at: float = 0.0
    recorded_era: int = 0
    missed_era: int = 0
    record_retry_at: float = 0.0
    probed_at: float = -1.0
    positions_requested_at: float = -1.0
    last_read_at: float = -100.0
    lagging_seen_at: float = -100.0
    overloaded_since: float = -100.0
    overloaded_at: float = -100.0
    promotion: Promotion | None = None
    completion: Completion | None = None
    open_claim: OpenClaim | None = None
    record_revision: Revision = Revision(number=-1)
    record_seen_at: float = 0.0
    completed_term: int = 0
    completion_read_at: float = 0.0
    ordered_at: float = -100.0
    ordered_server: str = ""
    goes_on_at: float = 0.0
    settled_attempt: str = ""
    term_starts: tuple[TermStart, ...] = ()
    rolled_back_since: float | None = None
    acknowledging: int = 0
    departed: dict[str, DepartedServer] = field(default_factory=dict)
    covered: set[str] = field(default_factory=set)
    record: LeaderRecord | None = None
    record_known: bool = False
    servers_recorded_at: float = -100.0
