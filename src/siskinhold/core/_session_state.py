"""What is kept of sessions and their statements."""

from dataclasses import dataclass, field

from ..model import Position, Request, RequestId


@dataclass(slots=True, kw_only=True)
class OpenTransaction:
    """A transaction of a session.

    Args:
        id: the identity of its BEGIN.
        database: the database it is in; empty before its first statement.
        owner: the VM that holds it; empty before its first statement.
        incarnation: that VM's incarnation.
        region: the region of the pool it is in.
        lost: whether it can't go on; it ends with COMMIT or ROLLBACK.
    """

    id: RequestId
    database: str = ""
    owner: str = ""
    incarnation: int = 0
    region: str = ""
    lost: bool = False


@dataclass(slots=True, kw_only=True)
class Session:
    """One caller's connection.

    Args:
        number: its number.
        user: user name, the tenant for fair queueing.
        database: default database.
        positions: the position that reads must cover, by database.
        has_token: whether a token was presented, so that databases without a
            position were not written in this session.
        transaction: the open transaction.
        request: the statement under way.
        closed: whether the caller is gone.
        draining: whether its connection is closed once it has nothing open.
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
        """Whether a transaction is open, be it without a statement yet."""
        return self.transaction is not None and not self.transaction.lost


@dataclass(slots=True, kw_only=True)
class EntryRequest:
    """A statement under way, as its entry VM sees it.

    Args:
        request: the statement; its budget is renewed with each sending.
        session: the caller's connection.
        arrived: when it came.
        deadline: when its time is over.
        owner: the VM it was sent to; empty while it waits to be sent.
        incarnation: that VM's incarnation.
        region: the region of the pool it was sent to.
        send_count: how often it was sent.
        may_have_run: whether an earlier sending may have had an effect.
        avoid_region: a region whose pool could not serve it.
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
    """Requests of a database that wait for the primary's position.

    Args:
        sequence: of the floor request under way.
        served: the requests it serves.
        later: requests that came after it was sent and need the next one.
        sent_at: when it was sent.
    """

    sequence: int
    served: list[RequestId] = field(default_factory=list)
    later: list[RequestId] = field(default_factory=list)
    sent_at: float = 0.0


@dataclass(slots=True, kw_only=True)
class SessionsState:
    """State of `_sessions`.

    Args:
        sessions: open sessions by number.
        requests: statements under way.
        floors: floors being sought, by database.
        next_sequence: sequence number of the next request.
    """

    sessions: dict[int, Session] = field(default_factory=dict)
    requests: dict[RequestId, EntryRequest] = field(default_factory=dict)
    floors: dict[str, FloorWait] = field(default_factory=dict)
    next_sequence: int = 1
