"""State of callers' sessions and their statements on the entry VM."""

from dataclasses import dataclass, field

from ..model import Position, Request, RequestId


@dataclass(slots=True, kw_only=True)
class OpenTransaction:
    """An open transaction of a session.

    Args:
        id: request id of its BEGIN.
        database: its database; empty before its first statement.
        owner: the pool owner that runs it; empty before its first statement.
        incarnation: that VM's incarnation.
        region: the region of the pool that runs it.
        lost: whether it can't continue; the caller ends it with COMMIT or
            ROLLBACK.
    """

    id: RequestId
    database: str = ""
    owner: str = ""
    incarnation: int = 0
    region: str = ""
    lost: bool = False


@dataclass(slots=True, kw_only=True)
class Session:
    """The session of one caller's connection.

    Args:
        number: its number.
        user: user name, the tenant for fair queueing.
        database: default database.
        positions: the floor of each database: the minimum log position that
            reads must see. It rises with the session's own writes.
        has_token: whether the caller presented a token. Databases without a
            position in it have no earlier writes of this session, so reads of
            them need no floor.
        transaction: the open transaction.
        request: the statement in progress.
        closed: whether the caller has disconnected.
        draining: whether its connection is to be closed as soon as no statement
            or transaction is open.
    """

    number: int
    user: str
    database: str
    positions: dict[str, Position] = field(default_factory=dict)
    has_token: bool = False
    transaction: OpenTransaction | None = None
    request: RequestId | None = None
    closed: bool = False
    draining: bool = False

    @property
    def open_transaction(self) -> bool:
        """Whether a transaction is open and not lost, even one without statements."""
        return self.transaction is not None and not self.transaction.lost


@dataclass(slots=True, kw_only=True)
class EntryRequest:
    """A statement in progress on its entry VM.

    Args:
        request: the statement; its time budget is recomputed for each sending.
        session: number of the caller's session.
        arrived: when it arrived.
        deadline: when it expires.
        owner: the pool owner it was sent to; empty while it waits to be sent.
        incarnation: that VM's incarnation.
        region: the region of the pool it was sent to.
        send_count: number of times it was sent.
        may_have_run: whether an earlier sending may have had an effect.
        avoid_region: region whose pool could not serve it.
        retry_pending: whether its next sending counts as a retry.
    """

    request: Request
    session: int
    arrived: float
    deadline: float
    owner: str = ""
    incarnation: int = 0
    region: str = ""
    send_count: int = 0
    may_have_run: bool = False
    avoid_region: str = ""
    retry_pending: bool = False


@dataclass(slots=True, kw_only=True)
class FloorWait:
    """Reads of a database that wait for a floor, the primary's position.

    Args:
        sequence: number of the floor request in progress.
        waiting: requests that wait for its answer.
        waiting_for_next: requests that arrived after it was sent and need the next
            answer.
        sent_at: when it was last sent.
    """

    sequence: int
    waiting: list[RequestId] = field(default_factory=list)
    waiting_for_next: list[RequestId] = field(default_factory=list)
    sent_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class SessionsState:
    """State of `_sessions`, `_entries` and `_routes`.

    Args:
        sessions: open sessions by number.
        requests: statements in progress.
        floors: unanswered floor requests by database.
        next_sequence: sequence number of the next request.
    """

    sessions: dict[int, Session] = field(default_factory=dict)
    requests: dict[RequestId, EntryRequest] = field(default_factory=dict)
    floors: dict[str, FloorWait] = field(default_factory=dict)
    next_sequence: int = 1
