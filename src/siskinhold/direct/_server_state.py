"""Backend servers and connections, as one VM's direct core remembers them."""

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..model import Position
from ._types import ServerEntry

if TYPE_CHECKING:
    from ._state import Job, Transaction


SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new value in the moving average of the service time."""

DEFAULT_SERVICE_TIME = 0.02
"""Seconds that a statement is taken to need while no recent one tells: that of a usual
one at a server that is well."""

SERVICE_TIME_MAX_AGE = 1.0
"""Seconds after which the time of the last statement tells nothing of the next one."""


class Purpose(enum.Enum):
    """What the answer to a command is for."""

    JOB = "work"
    SETUP = "setup"
    PROBE = "probe"
    LEAD_PROBE = "lead_probe"
    ROLE = "role"
    CLEANUP = "cleanup"
    POSITION = "position"
    STEP_DOWN = "step_down"
    FENCE = "fence"
    ATTEST = "vouch"


@dataclass(slots=True, kw_only=True)
class PendingCommand:
    """A command that awaits its answer."""

    purpose: Purpose
    sent_at: float
    work: "Job | None" = None


class ConnectionState(enum.Enum):
    """Whether a connection may be used."""

    OPENING = "opening"
    OPEN = "open"


@dataclass(slots=True, kw_only=True)
class Connection:
    """A connection to a backend server.

    Args:
        number: never reused.
        control: whether it is kept free of callers' statements.
        values: session values that were set on it.
        prepared: statements prepared on it: whether they write, and shape.
        pending: commands without an answer yet, in order of sending.
        transaction: the caller's transaction that it serves.
        used_at: when a command was last sent, or it was opened.
    """

    number: int
    server: "Server"
    control: bool
    opened_at: float
    state: ConnectionState = ConnectionState.OPENING
    values: dict[str, str] = field(default_factory=dict)
    prepared: set[tuple[bool, str]] = field(default_factory=set)
    pending: deque[PendingCommand] = field(default_factory=deque)
    transaction: "Transaction | None" = None
    used_at: float = 0.0

    @property
    def idle(self) -> bool:
        """Whether a new statement may be sent on it."""
        return (
            self.state is ConnectionState.OPEN
            and not self.pending
            and self.transaction is None
        )


@dataclass(slots=True, kw_only=True, frozen=True)
class Evidence:
    """What an answer showed of a server.

    Args:
        sent_at: when its command was sent; the server was so at some later time.
        position: end of the server's applied log.
    """

    sent_at: float
    position: Position


@dataclass(slots=True, kw_only=True)
class Server:
    """A backend server and this VM's connections to it.

    Args:
        evidence: from the newest answer.
        write_refused_at: when the newest transaction for writing was sent that it
            refused, as only a primary takes one.
        draining_at: when it was first seen to leave.
        gone_at: when its entry was first missing.
        down_at: since when no connection can be opened.
        attested_at: when the newest question was sent that it answered as a replica.
        attested_term: the newest term that it then knew of or was suspended for.
        lead_confirmed_at: when the newest question was sent that it answered as the
            primary.
        resume_at: when it is told to receive again, after this VM suspended it.
        retry_at: earliest time of the next attempt to connect.
        open_failures: failed attempts in a row.
        lagging_until: until when reads that need more than `evidence` pass it over.
        service_time: moving average of the time of a statement, in seconds.
        service_time_updated_at: when the average last took a value.
        overloaded_until: until when no further connections are opened.
    """

    entry: ServerEntry
    connections: dict[int, Connection] = field(default_factory=dict)
    evidence: Evidence | None = None
    write_refused_at: float = -1.0
    draining_at: float | None = None
    gone_at: float | None = None
    down_at: float | None = None
    attested_at: float = -1.0
    attested_term: int = 0
    lead_confirmed_at: float = -1.0
    resume_at: float | None = None
    retry_at: float = 0.0
    open_failures: int = 0
    lagging_until: float = 0.0
    service_time: float = DEFAULT_SERVICE_TIME
    service_time_updated_at: float = -100.0
    overloaded_until: float = 0.0

    def record_service_time(self, now: float, seconds: float) -> None:
        """Take the time of a statement into the average."""
        if now - self.service_time_updated_at >= SERVICE_TIME_MAX_AGE:
            self.service_time = seconds
        else:
            self.service_time += SERVICE_TIME_WEIGHT * (seconds - self.service_time)
        self.service_time_updated_at = now

    def estimate_service_time(self, now: float) -> float:
        """Return how long a statement takes, as far as recent ones tell.

        An old average must not decide: while it lets no statement run, it stays.
        """
        if now - self.service_time_updated_at >= SERVICE_TIME_MAX_AGE:
            return min(self.service_time, DEFAULT_SERVICE_TIME)
        return self.service_time

    @property
    def usable(self) -> bool:
        """Whether new work may be sent to it."""
        return self.draining_at is None and self.gone_at is None
