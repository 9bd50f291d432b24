"""The state of status polls."""

from collections import deque
from dataclasses import dataclass, field

from ..model import BackendServer, ControlFailure, Position, ServerStatus

MAX_SAMPLES = 128
"""Primary positions kept per database to bound the age of replica data.

They span about 13 s at the poll interval of the own region.
"""


@dataclass(slots=True, kw_only=True)
class ServerHealth:
    """Results of the status queries of one backend server.

    Args:
        server: its configuration.
        database: name of the database that it belongs to.
        status: the last reported status, None before the first.
        started: when the query for that status started.
        query_started: when the query under way started, None if there is none.
        query_again: whether to query again as soon as the query under way ends.
        failures: number of consecutive failed queries.
        failing_since: when the first of those queries started.
        failure: how the last of them failed.
        fresh_failed: whether one of them used a new connection.
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
    """Confirmed times and log positions of one database's primary.

    Args:
        confirmed_at: latest time at which a majority is known to have had the
            recorded primary in its term.
        samples: pairs of time and primary position; a log that contains the
            position holds every write committed by that time.
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
