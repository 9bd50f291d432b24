"""What is kept of backend servers' health."""

from collections import deque
from dataclasses import dataclass, field

from ..model import BackendServer, ControlFailure, Position, ServerStatus

MAX_SAMPLES = 128
"""Primary positions kept as evidence of age: about 13 s of near polls."""


@dataclass(slots=True, kw_only=True)
class ServerHealth:
    """One backend server as its control connection shows it.

    Args:
        server: its configuration.
        database: the database it belongs to.
        status: the last report, None before the first.
        started: when the query of that report started.
        query_started: when the query under way started, None without one.
        query_again: whether another query is wanted as soon as that one ends.
        failures: consecutive queries without a report.
        failing_since: start of the first of them.
        failure: how the last of them failed.
        fresh_failed: whether a query on a new connection failed among them.
    """

    server: BackendServer
    database: str
    status: ServerStatus | None = None
    started: float = -1.0
    query_started: float | None = None
    query_again: bool = False
    failures: int = 0
    failing_since: float = 0.0
    failure: ControlFailure | None = None
    fresh_failed: bool = False


@dataclass(slots=True, kw_only=True)
class DatabaseHealth:
    """Evidence about one database.

    Args:
        confirmed_at: latest time at which a majority is known to have had the
            recorded primary as its leader.
        samples: (time, primary position) pairs: a log that contains the
            position holds all that was committed at that time.
    """

    confirmed_at: float = -1.0
    samples: deque[tuple[float, Position]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )


@dataclass(slots=True, kw_only=True)
class HealthState:
    """State of `_health`: polled servers and databases by name."""

    servers: dict[str, ServerHealth] = field(default_factory=dict)
    databases: dict[str, DatabaseHealth] = field(default_factory=dict)
