"""Status polls of the backend servers, and what their reports prove.

A status is dated by the *start* of its query, because the server may have
determined it at any moment between that start and the report.
"""

from dataclasses import dataclass

from ..effects import Observe, QueryStatus
from ..events import StatusReported
from ..model import (
    BackendServer,
    ControlFailure,
    Database,
    Position,
    Role,
    ServerState,
    ServerStatus,
    TermRecord,
    covers,
)
from ._health_state import DatabaseHealth, ServerHealth
from ._state import Effects, NodeState
from ._timers import TimerAction

LOCAL_POLL_INTERVAL = 0.1
"""Average seconds between status polls of a server in the VM's own region."""
REMOTE_POLL_INTERVAL = 0.25
"""Average seconds between status polls of a server in another region.

Longer, because traffic between regions is paid by volume.
"""
STATUS_TIMEOUT = 0.3
"""Timeout of a status query in seconds."""
MAX_STATUS_AGE = 1.0
"""Seconds after which a server without a newer status counts as unreachable."""


@dataclass(slots=True, frozen=True)
class PollDue(TimerAction):
    """A server's status is to be polled."""

    server: str


@dataclass(slots=True, frozen=True)
class StatusQuery:
    """Purpose of a control call: a status query.

    Args:
        server: name of the queried server.
        started: when the query started.
        fresh: whether it uses a new connection.
    """

    server: str
    started: float
    fresh: bool


def track_database(node: NodeState, database: Database, out: Effects) -> None:
    """Start polling the servers of a database, and update their configuration."""
    health = node.health
    health.databases.setdefault(database.name, DatabaseHealth())
    for server in database.servers:
        known = health.servers.get(server.name)
        if known is not None:
            known.server = server
            continue
        health.servers[server.name] = ServerHealth(
            server=server, database=database.name
        )
        request_status(node, server.name, out)
        _schedule_poll(node, server)


def untrack_database(node: NodeState, name: str) -> None:
    """Stop polling the servers of a database."""
    node.health.databases.pop(name, None)
    for server in list(node.health.servers.values()):
        if server.database == name:
            del node.health.servers[server.server.name]


def discard_removed_servers(node: NodeState, database: Database) -> None:
    """Discard the state of servers that a change ticket removed from a database."""
    names = {server.name for server in database.servers}
    for server in list(node.health.servers.values()):
        if server.database == database.name and server.server.name not in names:
            del node.health.servers[server.server.name]


def request_status(
    node: NodeState, name: str, out: Effects, *, fresh: bool = False
) -> None:
    """Query a server's status now, or again as soon as the query under way ends.

    Args:
        fresh: whether to use a new connection. A query that has to wait uses one only
            if the query under way fails.
    """
    health = node.health.servers.get(name)
    if health is None:
        return
    if health.query_started is not None:
        health.query_again = True
        return
    health.query_started = node.now
    call = node.open_control_call(StatusQuery(name, node.now, fresh))
    out.append(
        QueryStatus(
            server=health.server, call=call, fresh=fresh, timeout=STATUS_TIMEOUT
        )
    )


def is_reachable(node: NodeState, health: ServerHealth) -> bool:
    """Return whether the last query succeeded and its status is recent enough."""
    if health.status is None or health.failures:
        return False
    return node.now - health.started <= MAX_STATUS_AGE


def find_term_record(node: NodeState, database: str) -> TermRecord:
    """Return the known term record of a database, empty if there is none."""
    return node.config.records.get(database) or TermRecord(database=database)


def find_primary(node: NodeState, database: str) -> ServerHealth | None:
    """Return the recorded primary if it last reported that role and term."""
    record = find_term_record(node, database)
    health = node.health.servers.get(record.primary or "")
    if health is None or health.status is None:
        return None
    if health.status.role is not Role.PRIMARY or health.status.term != record.term:
        return None
    return health


def is_fit(node: NodeState, health: ServerHealth) -> bool:
    """Return whether a server may run new jobs.

    It must be active, reachable, in the recorded term and not fenced.
    """
    if health.server.state is not ServerState.ACTIVE:
        return False
    if not is_reachable(node, health):
        return False
    if health.status.role is Role.FENCED:
        return False
    return health.status.term == find_term_record(node, health.database).term


def measure_age(node: NodeState, health: ServerHealth) -> float | None:
    """Return an upper bound of the age of a server's data in seconds.

    None if it is unknown. For the primary it is the time since a majority last
    confirmed its term, so that the data of an isolated primary ages as well.
    """
    database = node.health.databases.get(health.database)
    if database is None or health.status is None:
        return None
    record = find_term_record(node, health.database)
    if health.server.name == record.primary:
        return node.now - database.confirmed_at if database.confirmed_at >= 0 else None
    for at, position in reversed(database.samples):
        if covers(record.starts, health.status.position, position):
            return node.now - at
    return None


def confirm_since(
    node: NodeState,
    database: Database,
    since: float,
    *,
    term: int,
    position: Position | None = None,
) -> bool:
    """Return whether a majority has confirmed the primary of `term` since `since`.

    Args:
        database: the database whose instances are counted.
        since: only queries that started at or after this time count.
        term: the term in which the primary must still be primary.
        position: if given, only replicas that have reached it are counted.
    """
    record = find_term_record(node, database.name)
    count = 0
    primary_counted = False
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health.status is None or health.started < since:
            continue
        status = health.status
        if status.term > term:
            continue
        if server.name == record.primary:
            primary_counted = status.role is Role.PRIMARY and status.term == term
            if not primary_counted:
                return False
        elif position is not None:
            if not covers(record.starts, status.position, position):
                continue
        count += 1
    return primary_counted and count >= majority_size(database)


def majority_size(database: Database) -> int:
    """Return the number of instances that form a majority."""
    return len(database.servers) // 2 + 1


def _poll(node: NodeState, action: PollDue, out: Effects) -> None:
    """Query a server's status, over a new connection after a failure, and repeat it."""
    health = node.health.servers.get(action.server)
    if health is None:
        return
    request_status(node, action.server, out, fresh=health.failures > 0)
    _schedule_poll(node, health.server)


def _schedule_poll(node: NodeState, server: BackendServer) -> None:
    """Schedule the next poll, with random jitter."""
    same_region = server.region == node.identity.address.region
    interval = LOCAL_POLL_INTERVAL if same_region else REMOTE_POLL_INTERVAL
    jitter = 0.9 + 0.2 * node.random.random()
    node.timers.schedule(node.now + interval * jitter, PollDue(server.name))


def _handle_status_report(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    """Store the result of a status query, and query again if needed.

    After the first failure on the existing connection, a new connection is tried.
    """
    health = node.health.servers.get(query.server)
    if health is None:
        return
    health.query_started = None
    if event.status is None:
        _record_failure(health, query, event.failure)
    else:
        _record_status(node, health, query, event.status)
    if health.query_again or (health.failures == 1 and not query.fresh):
        health.query_again = False
        request_status(node, query.server, out, fresh=health.failures > 0)
    out.append(Observe(metric="status_queries_total"))


def _record_failure(
    health: ServerHealth, query: StatusQuery, failure: ControlFailure | None
) -> None:
    """Count a failed query and store how it failed."""
    if not health.failures:
        health.failing_since = query.started
    health.failures += 1
    health.failure = failure
    health.fresh_failed = health.fresh_failed or query.fresh


def _record_status(
    node: NodeState, health: ServerHealth, query: StatusQuery, status: ServerStatus
) -> None:
    """Store a reported status, which ends a series of failures."""
    health.failures = 0
    health.failure = None
    health.fresh_failed = False
    health.status = status
    health.started = query.started
    _record_confirmation(node, health.database)


def _record_confirmation(node: NodeState, name: str) -> None:
    """Advance the time of the last confirmation as far as the reports allow.

    The primary's position at that time is kept as a sample for `measure_age`.
    """
    found = node.config.databases.get(name)
    evidence = node.health.databases.get(name)
    primary = find_primary(node, name)
    if found is None or evidence is None or primary is None:
        return
    term = primary.status.term
    times = []
    for server in found[1].servers:
        health = node.health.servers.get(server.name)
        if health is None or health.status is None or health is primary:
            continue
        if health.status.term <= term:
            times.append(health.started)
    needed = majority_size(found[1]) - 1
    if len(times) < needed:
        return
    times.sort(reverse=True)
    at = min([primary.started, *times[:needed]])
    if at <= evidence.confirmed_at:
        return
    evidence.confirmed_at = at
    evidence.samples.append((at, primary.status.position))


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS = {PollDue: _poll}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {StatusQuery: _handle_status_report}
