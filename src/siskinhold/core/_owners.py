"""Acquisition and release of pools by this VM.

`reconcile` runs after changes of the membership view or of the configuration,
and adapts pools, polled servers, entries and transactions to them.
"""

from ..effects import SendPeer
from ..events import StatusReported
from ..messages import Forward, Redirect
from ..model import Database, ServerState
from . import _connections as connections
from ._answers import handle_connection_loss, roll_back
from ._health import (
    StatusQuery,
    discard_removed_servers,
    find_term_record,
    is_fit,
    track_database,
    untrack_database,
)
from ._membership import find_owner
from ._pool_state import Pool
from ._pools import dispatch, list_servers, redirect, refuse_if_position_lost, submit
from ._routes import find_incarnation, find_primary_region, handle_owner_loss
from ._state import Effects, NodeState, record


def reconcile(node: NodeState, out: Effects) -> None:
    """Adapt all pools, entries and transactions to the view and configuration."""
    for _, database in list(node.config.databases.values()):
        _reconcile_database(node, database, out)
    _disown_unknown_databases(node, out)
    _release_unowned_pools(node, out)
    _handle_lost_vms(node, out)


def is_database_owner(node: NodeState, database: str) -> bool:
    """Return whether this VM is a database's owner.

    The owner of the pool in the primary's region owns the database.
    """
    region = find_primary_region(node, database)
    pool = node.pools.pools.get((database, region))
    return pool is not None and pool.owned


def _reconcile_database(node: NodeState, database: Database, out: Effects) -> None:
    """Update which pools of a database this VM owns, and their servers and jobs."""
    me = node.identity.name
    has_pool = False
    regions = {server.region for server in database.servers}
    for region in sorted(regions):
        owned = find_owner(node, database.name, region) == me
        pool = node.pools.pools.get((database.name, region))
        if pool is None and not owned:
            continue
        if pool is None:
            pool = Pool(
                database=database.name,
                region=region,
                owned=False,
                queue=node.scheduling.rules.make_queue(),
            )
            node.pools.pools[(database.name, region)] = pool
        if owned and not pool.owned:
            record(
                out, "pool_taken", database=database.name, detail=_build_detail(pool)
            )
        pool.owned = owned
        has_pool = True
    if has_pool:
        track_database(node, database, out)
        discard_removed_servers(node, database)
        _close_leaving_servers(node, database, out)
        _abandon_old_term(node, database, out)


def _build_detail(pool: Pool) -> tuple[tuple[str, str], ...]:
    """Return the detail of a pool's timeline records."""
    return (("region", pool.region),)


def _close_leaving_servers(node: NodeState, database: Database, out: Effects) -> None:
    """Close the idle and opening connections of servers that are leaving."""
    for server in database.servers:
        if server.state is ServerState.LEAVING:
            connections.close_idle(node, server.name, out)


def _abandon_old_term(node: NodeState, database: Database, out: Effects) -> None:
    """Abandon running statements and transactions of a replaced primary.

    The answers of running statements could no longer be confirmed, so their jobs are
    retried or answered. Queued jobs whose required position was lost are refused.
    """
    known = find_term_record(node, database.name)
    for job in list(node.pools.jobs.values()):
        if job.request.database != database.name or not job.connection:
            continue
        if not job.needs_primary or job.answered is not None:
            continue
        if job.term >= known.term or job.server == known.primary:
            continue
        connection = connections.close(node, job.connection, out)
        if connection is not None:
            handle_connection_loss(
                node, connection, out, sent=True, cause="primary_replaced"
            )
    for pool in list(node.pools.pools.values()):
        if pool.database != database.name:
            continue
        for job in list(pool.queue):
            if refuse_if_position_lost(node, job, out):
                pool.queue.remove(job)
    for transaction in list(node.pools.transactions.values()):
        stale = transaction.database == database.name
        if stale and transaction.server != known.primary and known.primary:
            roll_back(node, transaction.id, out)


def _disown_unknown_databases(node: NodeState, out: Effects) -> None:
    """Mark the pools of databases that are no longer in force as not owned."""
    for pool in list(node.pools.pools.values()):
        if pool.database in node.config.databases:
            continue
        pool.owned = False


def _release_unowned_pools(node: NodeState, out: Effects) -> None:
    """Redirect the queued jobs of pools that another VM owns; remove idle pools."""
    for key, pool in list(node.pools.pools.items()):
        if pool.owned:
            continue
        for job in pool.queue:
            pool.queue.remove(job)
            redirect(node, job, "not_owner", out)
        if _is_busy(node, pool):
            continue
        del node.pools.pools[key]
        record(out, "pool_left", database=pool.database, detail=_build_detail(pool))
        for server in list_servers(node, pool):
            connections.close_idle(node, server.name, out)
        if not any(name == pool.database for name, _ in node.pools.pools):
            untrack_database(node, pool.database)


def _is_busy(node: NodeState, pool: Pool) -> bool:
    """Return whether a pool has unanswered jobs or open transactions."""
    for job in node.pools.jobs.values():
        if (job.request.database, job.region) == (pool.database, pool.region):
            return True
    for transaction in node.pools.transactions.values():
        if (transaction.database, transaction.region) == (pool.database, pool.region):
            return True
    return False


def _handle_lost_vms(node: NodeState, out: Effects) -> None:
    """Handle statements whose pool owner is lost, and transactions whose entry VM is.

    A VM that has restarted counts as lost.
    """
    for entry in list(node.sessions.requests.values()):
        if not entry.owner:
            continue
        if find_incarnation(node, entry.owner) != entry.incarnation:
            handle_owner_loss(node, entry, out)
    for transaction in list(node.pools.transactions.values()):
        identity = transaction.id
        if find_incarnation(node, identity.vm) != identity.incarnation:
            record(
                out,
                "transaction_rolled_back",
                cause="entry VM lost",
                database=transaction.database,
                request=identity,
            )
            roll_back(node, identity, out)


def _handle_forward(node: NodeState, event, out: Effects) -> None:
    """Submit a forwarded request to its pool, or redirect it.

    A pool that is no longer owned accepts only statements of its open transactions.
    """
    message: Forward = event.envelope.message
    sender = event.envelope.sender
    request = message.request
    pool = node.pools.pools.get((request.database, message.region))
    continues = request.transaction in node.pools.transactions
    if pool is None or not (pool.owned or continues):
        reason = "not_owner"
        if message.ticket > node.config.applied:
            reason = "ticket_not_in_force"
        out.append(
            SendPeer(vm=sender, message=Redirect(request=request.id, reason=reason))
        )
        return
    submit(node, pool, request, sender, out)


def _warm_up(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    """Open connections to a fit server before jobs need them."""
    health = node.health.servers.get(query.server)
    if health is None or not is_fit(node, health):
        return
    pool = node.pools.pools.get((health.database, health.server.region))
    if pool is None or not pool.owned:
        return
    known = connections.get_server_connections(node, health.server.name)
    if len(known.numbers) < health.server.slots:
        wanted = health.server.slots - len(known.numbers) + len(known.idle)
        connections.open_connections(node, health.server, health.database, wanted, out)


def dispatch_all_pools(node: NodeState, out: Effects) -> None:
    """Dispatch the waiting jobs of every pool."""
    for pool in list(node.pools.pools.values()):
        dispatch(node, pool, out)


EVENTS: dict = {}
MESSAGES = {Forward: _handle_forward}
TIMERS: dict = {}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {StatusQuery: _warm_up}
