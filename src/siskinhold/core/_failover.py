"""Evidence that a primary is lost, and the decision to replace it.

`_promotion` carries the decision out. A wrong decision costs a change of
primary but no acknowledged write, because terms fence the old primary; the
evidence keeps such changes rare.
"""

from dataclasses import dataclass

from ..effects import FollowServer, PromoteServer
from ..events import ControlAnswered, StatusReported
from ..model import Database, Role, ServerState, StatementKind, TermRecord, TermStart
from ._attempts import (
    PRIMARY_CUT_OFF,
    PRIMARY_LEAVING,
    PRIMARY_REMOVED,
    UNFINISHED,
    hold_writes,
)
from ._failover_state import Watch
from ._first_records import record_first_term
from ._health import StatusQuery, find_record, is_reachable, majority, request_status
from ._health_state import ServerHealth
from ._owners import drain_all, is_database_owner
from ._promotion import Promote, begin_attempt
from ._state import Effects, NodeState

SOURCE_SILENCE_MS = 500
"""Milliseconds without word from the primary after which a replica confirms
its loss."""
PARTIAL_LOSS_TIME = 4.0
"""Seconds for which only the owner can't reach the primary before it is
replaced although replicas still hear it; leaves time within the 7 s bound."""
PARTIAL_LOSS_FAILURES = 8
"""Failed queries needed besides, so that a VM that was paused does not take
its own pause for a loss."""
CUT_OFF_TIME = 1.0
"""Seconds for which a majority of replicas must miss a primary that answers,
so that a replica that reconnects after a change of primary is not taken for it."""
UNFINISHED_TIME = 1.0
"""Seconds given to another VM to finish the promotion it began."""
SWITCHOVER_PATIENCE = 2.0
"""Seconds for which a planned switchover waits for running writes and for a
replica to catch up."""
ORDER_INTERVAL = 0.3
"""Seconds between two orders to the same server."""


@dataclass(slots=True, frozen=True)
class ServerOrder:
    """Purpose of a promote or follow order outside a promotion attempt."""

    server: str


def evaluate(node: NodeState, database: Database, out: Effects) -> None:
    """Compare a database's servers with its record and act on a difference."""
    watch = node.failover.databases.setdefault(database.name, Watch())
    known = find_record(node, database.name)
    if not known.starts:
        _bootstrap(node, database, watch, out)
        return
    _order_servers(node, database, known, watch, out)
    if watch.attempt is not None or node.now < watch.not_before:
        return
    cause = _find_cause(node, database, known, watch, out)
    if cause and _can_promote(node, database):
        begin_attempt(node, database, watch, cause, out)


def _bootstrap(node: NodeState, database: Database, watch: Watch, out: Effects) -> None:
    """Record the term that a database had before siskinhold served it."""
    if node.now < watch.not_before or database.name not in node.config.databases:
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
        watch.not_before = node.now + UNFINISHED_TIME
        record_first_term(node, database, start, out)
        return


def _find_cause(
    node: NodeState,
    database: Database,
    known: TermRecord,
    watch: Watch,
    out: Effects,
) -> str:
    """Return why the primary must be replaced, or an empty text."""
    if _highest_term(node, database) > known.term:
        watch.ahead_since = watch.ahead_since or node.now
        if node.now - watch.ahead_since >= UNFINISHED_TIME:
            return UNFINISHED
    else:
        watch.ahead_since = None
    primary = node.health.servers.get(known.primary)
    if primary is None:
        return PRIMARY_REMOVED
    if is_lost(node, database, primary):
        return f"primary_{primary.failure.value}"
    if _is_cut_off(node, database, primary, watch):
        return PRIMARY_CUT_OFF
    return _consider_switchover(node, database, primary, watch, out)


def is_lost(node: NodeState, database: Database, primary: ServerHealth) -> bool:
    """Return whether the evidence says that the primary is lost.

    The old and a fresh connection failed, and no replica that has answered
    since has heard from it lately.
    """
    if not primary.failures or not primary.fresh_failed:
        return False
    lasting = node.now - primary.failing_since >= PARTIAL_LOSS_TIME
    if lasting and primary.failures >= PARTIAL_LOSS_FAILURES:
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
    node: NodeState, database: Database, primary: ServerHealth, watch: Watch
) -> bool:
    """Return whether the primary answers, but has not reached its replicas lately.

    Its writes can't be confirmed then. The replicas that say so must be a
    majority by themselves, because one of them is to lead.
    """
    silent = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health is primary or not is_reachable(node, health):
            continue
        if health.status.source_silence_ms >= SOURCE_SILENCE_MS:
            silent += 1
    if silent < majority(database) or not is_reachable(node, primary):
        watch.cut_off_since = None
        return False
    watch.cut_off_since = watch.cut_off_since or node.now
    return node.now - watch.cut_off_since >= CUT_OFF_TIME


def _consider_switchover(
    node: NodeState,
    database: Database,
    primary: ServerHealth,
    watch: Watch,
    out: Effects,
) -> str:
    """Prepare the planned replacement of a primary that is leaving."""
    if primary.server.state is not ServerState.LEAVING:
        if watch.switchover_since is not None:
            watch.switchover_since = None
            hold_writes(node, database.name, False)
            drain_all(node, out)
        return ""
    if not _has_successor(node, database):
        return ""
    if watch.switchover_since is None:
        watch.switchover_since = node.now
    hold_writes(node, database.name, True)
    waited = node.now - watch.switchover_since
    ready = not _has_running_writes(node, database) and _caught_up(node, database)
    if ready or waited >= SWITCHOVER_PATIENCE:
        return PRIMARY_LEAVING
    request_status(node, primary.server.name, out)
    return ""


def _has_successor(node: NodeState, database: Database) -> bool:
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or server.state is not ServerState.ACTIVE:
            continue
        if is_reachable(node, health):
            return True
    return False


def _caught_up(node: NodeState, database: Database) -> bool:
    """Return whether an active replica holds all that the primary has."""
    known = find_record(node, database.name)
    primary = node.health.servers[known.primary]
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


def _has_running_writes(node: NodeState, database: Database) -> bool:
    for job in node.pools.jobs.values():
        if job.request.database != database.name or not job.connection:
            continue
        if job.request.kind is not StatementKind.READ:
            return True
    for transaction in node.pools.transactions.values():
        if transaction.database == database.name:
            return True
    return False


def _can_promote(node: NodeState, database: Database) -> bool:
    """Return whether a majority of the instances answers this VM."""
    count = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is not None and is_reachable(node, health):
            count += 1
    return count >= majority(database)


def _highest_term(node: NodeState, database: Database) -> int:
    highest = 0
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is not None and health.status is not None:
            highest = max(highest, health.status.term)
    return highest


def _order_servers(
    node: NodeState,
    database: Database,
    known: TermRecord,
    watch: Watch,
    out: Effects,
) -> None:
    """Make servers do what the record of terms says."""
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or not is_reachable(node, health):
            continue
        if node.now - watch.orders.get(server.name, -ORDER_INTERVAL) < ORDER_INTERVAL:
            continue
        if health.status.term > known.term:
            continue
        order_server(node, database, health, known, watch, out)


def order_server(
    node: NodeState,
    database: Database,
    health: ServerHealth,
    known: TermRecord,
    watch: Watch,
    out: Effects,
) -> None:
    """Tell one server to lead or to follow, if it does not do so yet."""
    status = health.status
    server = health.server
    if server.name == known.primary:
        if status.term != known.term or status.role is not Role.FENCED:
            return
        # The watch may report the attempt's record before the write is answered.
        attempt = watch.attempt
        purpose: object = ServerOrder(server.name)
        if attempt is not None:
            purpose = Promote(database.name, server.name, attempt.started)
        call = node.open_control_call(purpose)
        out.append(PromoteServer(server=server, call=call, term=known.term))
        watch.orders[server.name] = node.now
        return
    follows = status.role is Role.REPLICA and status.term == known.term
    primary = node.health.servers.get(known.primary)
    if follows or primary is None:
        return
    call = node.open_control_call(ServerOrder(server.name))
    out.append(
        FollowServer(server=server, call=call, term=known.term, primary=primary.server)
    )
    watch.orders[server.name] = node.now


def _take_report(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    health = node.health.servers.get(query.server)
    if health is None:
        return
    found = node.config.databases.get(health.database)
    if found is None or not is_database_owner(node, health.database):
        return
    evaluate(node, found[1], out)


def _take_order(
    node: NodeState, order: ServerOrder, event: ControlAnswered, out: Effects
) -> None:
    request_status(node, order.server, out)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {StatusQuery: _take_report, ServerOrder: _take_order}
