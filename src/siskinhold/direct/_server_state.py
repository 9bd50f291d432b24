"""State of backend servers and of this VM's connections to them."""

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import Position
from ._connection_life import ConnectionState, check_transition
from ._server_session import ServerSession
from ._speed_state import Slowdown
from ._types import Answer, ServerEntry

if TYPE_CHECKING:
    from ._state import Job, Transaction


SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new value in the moving average of the service time."""

DEFAULT_SERVICE_TIME = 0.02
"""Seconds assumed for a statement without recent values: the usual time on a healthy
server."""

SERVICE_TIME_MAX_AGE = 1.0
"""Seconds after which the average of the service time is out of date."""


class Purpose(enum.Enum):
    """Why a command was sent, which selects the handler of its answer.

    Attributes:
        JOB: to run a caller's statement.
        SETUP: to set session values and make room before a caller's statement.
        BEGIN: to begin a caller's transaction.
        PREPARE: to prepare what the next command executes.
        PROBE: to learn the end of a server's received log for a promotion.
        LEAD_PROBE: to learn whether a server accepts a write transaction.
        ROLE: to learn the term of a server that leads, or to make it step down.
        CLEANUP: to end a transaction; the answer is ignored.
        RELEASE: to release what the server keeps for a connection.
        POSITION: to learn a server's log position, which every answer carries.
        STEP_DOWN: to make the primary step down for a promotion.
        FENCE: to suspend a server's replication for a promotion.
        ATTEST: to get an attestation.
        SUSPENSION: to learn whether replication is suspended, before it is resumed.
        RESUMPTION: to resume replication.
        BACKLOG: to learn how far a replica is behind with what it has received.
    """

    JOB = "work"
    SETUP = "setup"
    BEGIN = "begin"
    PREPARE = "prepare"
    PROBE = "probe"
    LEAD_PROBE = "lead_probe"
    ROLE = "role"
    CLEANUP = "cleanup"
    RELEASE = "release"
    POSITION = "position"
    STEP_DOWN = "step_down"
    FENCE = "fence"
    ATTEST = "vouch"
    SUSPENSION = "suspension"
    RESUMPTION = "resumption"
    BACKLOG = "backlog"


@dataclass(slots=True, kw_only=True)
class PendingCommand:
    """A command that waits for its answer.

    Args:
        preparation: the refusal to prepare what it executes.
    """

    purpose: Purpose
    sent_at: float
    work: "Job | None" = None
    preparation: Answer | None = None


@dataclass(slots=True, kw_only=True)
class Connection:
    """A connection to a backend server.

    Args:
        number: its number, which is never reused.
        control: whether it is the control connection, which is reserved for the proxy's
            own commands.
        opened_at: when the attempt to open it began.
        account: client account that it serves, empty without one.
        state: where it is in its life, see `_connection_life`.
        kept: what the server keeps for it.
        pending: commands without an answer yet, in the order of sending.
        transaction: the caller's transaction that runs on it.
        used_at: when the last command was sent or the connection became open.
    """

    number: int
    server: "Server"
    control: bool
    opened_at: float
    account: str = ""
    state: ConnectionState = ConnectionState.OPENING
    kept: ServerSession = field(default_factory=ServerSession)
    pending: deque[PendingCommand] = field(default_factory=deque)
    transaction: "Transaction | None" = None
    used_at: float = 0.0

    @property
    def idle(self) -> bool:
        """Whether a caller's statement may be sent on it."""
        return self.state is ConnectionState.FREE

    @property
    def open(self) -> bool:
        """Whether the server has accepted it, and it has not ended."""
        return self.state not in (ConnectionState.OPENING, ConnectionState.CLOSED)

    def advance(self, state: ConnectionState) -> None:
        """Enter another state of its life.

        Raises:
            IllegalTransition: if the state does not follow from the present one.
        """
        check_transition(self.state, state, control=self.control)
        self.state = state


@dataclass(slots=True, kw_only=True, frozen=True)
class Evidence:
    """A server's log position, as shown by an answer.

    Args:
        sent_at: when the command was sent; the server had the position at some later
            time.
        position: end of the server's applied log.
    """

    sent_at: float
    position: Position


@dataclass(slots=True, kw_only=True, frozen=True)
class Backlog:
    """Part of a replica's received log that it has yet to apply.

    Args:
        sent_at: when the query was sent.
        seconds: the replica's estimate of the time until it has applied all of it.
        received: end of its received log.
    """

    sent_at: float
    seconds: float
    received: Position


@dataclass(slots=True, kw_only=True)
class Server:
    """A backend server and this VM's connections to it.

    Args:
        evidence: log position from the newest answer.
        write_refused_at: send time of the newest write transaction that it refused;
            only a primary accepts one.
        catching_up_at: when it was last seen to lead without having applied its log.
        listed_at: since when it has been listed.
        draining_at: when its entry was first seen draining.
        leaves_at: until when it serves while it is draining, None otherwise.
        gone_at: when its entry was first missing from the list of servers.
        down_at: since when no connection can be opened.
        attested_at: send time of the newest status query that it answered as a replica.
        attested_term: the newest term that it knew of or was suspended for in that
            answer.
        released_at: when an older term was last seen in such an answer than before, as
            a suspension has ended.
        attestation_retry_at: earliest time of the next query for an attestation, after
            the server refused one.
        received: end of its received log in its newest status report.
        held: the greatest end of its received log in a term that it has shown.
        held_term: its term then.
        log_lost: whether it has shown less than that in the same term.
        lead_confirmed_at: send time of the newest probe that it answered as the
            primary.
        resume_at: when to resume replication after this VM suspended it, None once it
            was resumed.
        suspended_for: the term for which this VM last suspended it.
        suspended_at: when that was.
        retry_at: earliest time of the next attempt to connect.
        open_failures: consecutive failed attempts to connect.
        lagging_until: until when reads that need a later position than `evidence` skip
            the server.
        backlog: its backlog, None unless it was reported while the database was
            overloaded.
        failure_ratio: moving average of failed statements, see `_outliers`.
        failed_since: when the first failure after the last success was seen.
        failing_since: when it was last found to be failing.
        failing_until: until when it gets no new statements as it fails them.
        failing_period: length of that period, 0 after a success.
        service_time: moving average of the time of a statement, in seconds.
        service_time_updated_at: when the average was last updated.
        slowdown: how much longer than usual it takes, see `room`.
        overloaded_until: until when no further connections are opened, as the server
            refused one because it has too many.
    """

    entry: ServerEntry
    connections: dict[int, Connection] = field(default_factory=dict)
    evidence: Evidence | None = None
    write_refused_at: float = -1.0
    catching_up_at: float = -1.0
    listed_at: float = -100.0
    draining_at: float | None = None
    leaves_at: float | None = None
    gone_at: float | None = None
    down_at: float | None = None
    attested_at: float = -1.0
    attested_term: int = 0
    released_at: float = -100.0
    attestation_retry_at: float = 0.0
    received: Position | None = None
    held: Position | None = None
    held_term: int = 0
    log_lost: bool = False
    lead_confirmed_at: float = -1.0
    resume_at: float | None = None
    suspended_for: int = 0
    suspended_at: float = -100.0
    retry_at: float = 0.0
    open_failures: int = 0
    lagging_until: float = 0.0
    backlog: Backlog | None = None
    failure_ratio: float = 0.0
    failed_since: float | None = None
    failing_since: float = -100.0
    failing_until: float = -100.0
    failing_period: float = 0.0
    service_time: float = DEFAULT_SERVICE_TIME
    service_time_updated_at: float = -100.0
    slowdown: Slowdown = field(default_factory=Slowdown)
    overloaded_until: float = 0.0

    def record_attestation(self, now: float, sent_at: float, term: int) -> None:
        """Record the newest term that a status report shows."""
        if term < self.attested_term:
            self.released_at = now
        self.attested_at = sent_at
        self.attested_term = term

    def record_service_time(self, now: float, seconds: float) -> None:
        """Update the moving average with the time of a statement."""
        if now - self.service_time_updated_at >= SERVICE_TIME_MAX_AGE:
            self.service_time = seconds
        else:
            self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)
        self.service_time_updated_at = now

    def estimate_service_time(self, now: float) -> float:
        """Return the expected time of a statement, in seconds.

        An average that is out of date is capped: it is updated only by statements, and
        a high one would let none run.
        """
        if now - self.service_time_updated_at >= SERVICE_TIME_MAX_AGE:
            return min(self.service_time, DEFAULT_SERVICE_TIME)
        return self.service_time

    @property
    def usable(self) -> bool:
        """Whether new statements may be sent to it."""
        return self.draining_at is None and self.gone_at is None
