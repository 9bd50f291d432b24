"""The decision to replace a primary, from the evidence in status reports.

`_promotion` carries the decision out. A wrong decision causes an unnecessary
change of primary but loses no acknowledged write, because the new term fences
the old primary. The conditions below keep such changes rare.
"""

from dataclasses import dataclass

from ..effects import FollowServer, PromoteServer
from ..events import ControlAnswered, StatusReported
from ..model import (
    Acknowledge,
    Database,
    Role,
    ServerState,
    StatementKind,
    TermRecord,
    TermStart,
)
from ._attempts import (
    PRIMARY_CUT_OFF,
    PRIMARY_LEAVING,
    PRIMARY_LOST_LOG,
    PRIMARY_REMOVED,
    UNFINISHED_PROMOTION,
    has_lost_entries,
    hold_writes,
)
from ._failover_state import DatabaseFailover
from ._first_records import record_first_term
from ._health import (
    MAX_STATUS_AGE,
    StatusQuery,
    find_term_record,
    is_reachable,
    majority_size,
    request_status,
)
from ._health_state import ServerHealth
from ._owners import dispatch_all_pools, is_database_owner
from ._promotion import PromoteCall, begin_attempt
from ._state import Effects, NodeState

SOURCE_SILENCE_MS = 500
"""Milliseconds without traffic from the primary after which a replica's report
counts as confirmation that the primary is lost."""
PARTIAL_LOSS_TIMEOUT = 4.0
"""Seconds of failed queries after which the owner replaces a primary that
replicas still hear; leaves time for the promotion within the 7 s bound."""
PARTIAL_LOSS_MIN_FAILURES = 8
"""Failed queries required in addition to `PARTIAL_LOSS_TIMEOUT`, so that a VM
that was paused does not mistake its own pause for a loss."""
CUT_OFF_TIMEOUT = 1.0
"""Seconds for which a majority of replicas must not hear a primary that answers,
so that replicas that reconnect after a change of primary are not counted."""
UNFINISHED_PROMOTION_TIMEOUT = 1.0
"""Seconds after which this VM takes over a promotion that another VM began."""
SWITCHOVER_TIMEOUT = 2.0
"""Seconds for which a planned switchover waits for running writes and, if a majority
holds what was acknowledged, for a replica to catch up."""
COMMAND_INTERVAL = 0.3
"""Minimum seconds between two promote or follow commands to the same server."""


@dataclass(slots=True, frozen=True)
class ServerCommand:
    """Purpose of a promote or follow command outside a promotion attempt."""

    server: str


def evaluate(node: NodeState, database: Database, out: Effects) -> None:
    """Command servers to match the database's term record, or begin a promotion.

    If the database has no term record yet, the first one is written with the primary
    that it already has.
    """
    failover = node.failover.databases.setdefault(database.name, DatabaseFailover())
    term_record = find_term_record(node, database.name)
    if not term_record.starts:
        _record_existing_primary(node, database, failover, out)
        return
    _command_servers(node, database, term_record, failover, out)
    if failover.attempt is not None or node.now < failover.not_before:
        return
    cause = _find_cause(node, database, term_record, failover, out)
    if cause and _has_reachable_majority(node, database):
        begin_attempt(node, database, failover, cause, out)


def _record_existing_primary(
    node: NodeState, database: Database, failover: DatabaseFailover, out: Effects
) -> None:
    """Record the term that a database had before siskinhold served it."""
    if node.now < failover.not_before or database.name not in node.config.databases:
        return
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or not is_reachable(node, health):
            continue
        if health.status.role is not Role.PRIMARY:
            continue
        if _highest_term(node, database) > health.status.term:
            continue
        start = TermStart(term=health.status.term, offset=0, primary=server.name)
        failover.not_before = node.now + UNFINISHED_PROMOTION_TIMEOUT
        record_first_term(node, database, start, out)
        return


def _find_cause(
    node: NodeState,
    database: Database,
    term_record: TermRecord,
    failover: DatabaseFailover,
    out: Effects,
) -> str:
    """Return why the primary must be replaced, or an empty text.

    It also updates since when each condition holds, and prepares a switchover.
    """
    if _highest_term(node, database) > term_record.term:
        failover.higher_term_since = failover.higher_term_since or node.now
        if node.now - failover.higher_term_since >= UNFINISHED_PROMOTION_TIMEOUT:
            return UNFINISHED_PROMOTION
    else:
        failover.higher_term_since = None
    primary = node.health.servers.get(term_record.primary)
    if primary is None:
        return PRIMARY_REMOVED
    if has_lost_entries(node, database) and is_reachable(node, primary):
        # Its status may be older than those of the others, by `MAX_STATUS_AGE` at most.
        failover.lost_log_since = failover.lost_log_since or node.now
        waited = node.now - failover.lost_log_since
        return PRIMARY_LOST_LOG if waited >= MAX_STATUS_AGE else ""
    failover.lost_log_since = None
    if is_lost(node, database, primary):
        return f"primary_{primary.failure.value}"
    if _is_cut_off(node, database, primary, failover):
        return PRIMARY_CUT_OFF
    return _prepare_switchover(node, database, primary, failover, out)


def is_lost(node: NodeState, database: Database, primary: ServerHealth) -> bool:
    """Return whether the evidence shows that the primary is lost.

    Queries on the existing and on a new connection must have failed. In addition,
    either every reachable replica, at least one, must have reported since then
    that it no longer hears the primary, or the failures must have reached
    `PARTIAL_LOSS_TIMEOUT` and `PARTIAL_LOSS_MIN_FAILURES`.
    """
    if not primary.failures or not primary.fresh_failed:
        return False
    is_persistent = node.now - primary.failing_since >= PARTIAL_LOSS_TIMEOUT
    if is_persistent and primary.failures >= PARTIAL_LOSS_MIN_FAILURES:
        return True
    confirmations = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health is primary or not is_reachable(node, health):
            continue
        if health.started < primary.failing_since:
            return False
        if health.status.source_silence_ms < SOURCE_SILENCE_MS:
            return False
        confirmations += 1
    return confirmations > 0


def _is_cut_off(
    node: NodeState,
    database: Database,
    primary: ServerHealth,
    failover: DatabaseFailover,
) -> bool:
    """Return whether the primary answers but no longer reaches its replicas.

    Its writes can't be confirmed then. The replicas that report this must form a
    majority without the primary, because one of them will be promoted.
    """
    cut_off_replicas = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health is primary or not is_reachable(node, health):
            continue
        if health.status.source_silence_ms >= SOURCE_SILENCE_MS:
            cut_off_replicas += 1
    if cut_off_replicas < majority_size(database) or not is_reachable(node, primary):
        failover.cut_off_since = None
        return False
    failover.cut_off_since = failover.cut_off_since or node.now
    return node.now - failover.cut_off_since >= CUT_OFF_TIMEOUT


def _prepare_switchover(
    node: NodeState,
    database: Database,
    primary: ServerHealth,
    failover: DatabaseFailover,
    out: Effects,
) -> str:
    """Hold writes before the planned replacement of a primary that is leaving.

    Writes resume if the primary is no longer leaving. They are not held while no
    other server could be promoted. Where the primary alone acknowledges writes, a
    replica has to catch up, however long that takes: planned work loses no commit.

    Returns:
        The cause of the promotion once it may begin, else an empty text.
    """
    if primary.server.state is not ServerState.LEAVING:
        if failover.switchover_since is not None:
            failover.switchover_since = None
            hold_writes(node, database.name, False)
            dispatch_all_pools(node, out)
        return ""
    if not _has_successor(node, database):
        return ""
    if failover.switchover_since is None:
        failover.switchover_since = node.now
    hold_writes(node, database.name, True)
    overdue = node.now - failover.switchover_since >= SWITCHOVER_TIMEOUT
    if _has_caught_up_replica(node, database):
        if overdue or not _has_running_writes(node, database):
            return PRIMARY_LEAVING
    elif overdue and _is_acknowledged_by_replicas(node, database):
        return PRIMARY_LEAVING
    request_status(node, primary.server.name, out)
    return ""


def _has_successor(node: NodeState, database: Database) -> bool:
    """Return whether an active server of the database is reachable."""
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or server.state is not ServerState.ACTIVE:
            continue
        if is_reachable(node, health):
            return True
    return False


def _has_caught_up_replica(node: NodeState, database: Database) -> bool:
    """Return whether an active replica has reached the primary's log position."""
    term_record = find_term_record(node, database.name)
    primary = node.health.servers[term_record.primary]
    if primary.status is None:
        return False
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health.status is None or health is primary:
            continue
        if server.state is not ServerState.ACTIVE:
            continue
        if health.status.position == primary.status.position:
            return True
    return False


def _is_acknowledged_by_replicas(node: NodeState, database: Database) -> bool:
    """Return whether a majority holds every acknowledged write; False if unknown."""
    found = node.config.databases.get(database.name)
    return found is not None and found[0].rules.acknowledge is Acknowledge.REPLICA


def _has_running_writes(node: NodeState, database: Database) -> bool:
    """Return whether a job other than a read runs or any transaction is open."""
    for job in node.pools.jobs.values():
        if job.request.database != database.name or not job.connection:
            continue
        if job.request.kind is not StatementKind.READ:
            return True
    for transaction in node.pools.transactions.values():
        if transaction.database == database.name:
            return True
    return False


def _has_reachable_majority(node: NodeState, database: Database) -> bool:
    """Return whether a majority of the database's instances answers this VM."""
    count = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is not None and is_reachable(node, health):
            count += 1
    return count >= majority_size(database)


def _highest_term(node: NodeState, database: Database) -> int:
    """Return the highest term that a server of the database has reported."""
    highest = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is not None and health.status is not None:
            highest = max(highest, health.status.term)
    return highest


def _command_servers(
    node: NodeState,
    database: Database,
    term_record: TermRecord,
    failover: DatabaseFailover,
    out: Effects,
) -> None:
    """Send commands to reachable servers that differ from the term record."""
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or not is_reachable(node, health):
            continue
        if (
            node.now - failover.commanded_at.get(server.name, -COMMAND_INTERVAL)
            < COMMAND_INTERVAL
        ):
            continue
        if health.status.term > term_record.term:
            continue
        command_server(node, database, health, term_record, failover, out)


def command_server(
    node: NodeState,
    database: Database,
    health: ServerHealth,
    term_record: TermRecord,
    failover: DatabaseFailover,
    out: Effects,
) -> None:
    """Command a server to take the role that the term record gives it, if needed.

    The recorded primary is promoted if it is fenced in the recorded term with all of
    its log. Any other server is told to follow that primary unless it does.
    """
    status = health.status
    server = health.server
    if server.name == term_record.primary:
        if status.term != term_record.term or status.role is not Role.FENCED:
            return
        if not _were_queried(node, database) or has_lost_entries(node, database):
            return
        # The store's watch may report the record before the attempt's write to
        # the store is answered.
        attempt = failover.attempt
        purpose: object = ServerCommand(server.name)
        if attempt is not None:
            purpose = PromoteCall(database.name, server.name, attempt.started)
        call = node.open_control_call(purpose)
        out.append(PromoteServer(server=server, call=call, term=term_record.term))
        failover.commanded_at[server.name] = node.now
        return
    follows = status.role is Role.REPLICA and status.term == term_record.term
    primary = node.health.servers.get(term_record.primary)
    if follows or primary is None:
        return
    call = node.open_control_call(ServerCommand(server.name))
    out.append(
        FollowServer(
            server=server, call=call, term=term_record.term, primary=primary.server
        )
    )
    failover.commanded_at[server.name] = node.now


def _were_queried(node: NodeState, database: Database) -> bool:
    """Return whether each server of the database has answered or failed a query."""
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or (health.status is None and not health.failures):
            return False
    return True


def _handle_status_report(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    """Evaluate the database of a reported server if this VM owns the database."""
    health = node.health.servers.get(query.server)
    if health is None:
        return
    found = node.config.databases.get(health.database)
    if found is None or not is_database_owner(node, health.database):
        return
    evaluate(node, found[1], out)


def _handle_command_answer(
    node: NodeState, command: ServerCommand, event: ControlAnswered, out: Effects
) -> None:
    """Query the status of a server that has answered a command."""
    request_status(node, command.server, out)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {
    StatusQuery: _handle_status_report,
    ServerCommand: _handle_command_answer,
}
