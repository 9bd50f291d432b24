"""Backend servers: the platform's list, events of connections, and maintenance."""

from dataclasses import replace

from ._connection_life import ConnectionState
from ._effects import Log
from ._events import BackendLost, BackendOpened, LossReason, ServersRead
from ._evidence import LIST_VALIDITY, NEW_SERVER_PERIOD, record_evidence
from ._holders import knows_vms, needs_connections, needs_servers
from ._leaders import DropReason, drop_leader, probe_leader
from ._log_proof import count_acknowledging, depart, forget_covered, welcome
from ._losses import handle_connection_loss
from ._placement import accepts_leader_jobs
from ._resumptions import resume_replication
from ._server_state import Connection, Purpose, Server
from ._state import Database, DirectState, Effects, JobState
from ._switchover import request_backlogs
from ._types import Command, CommandKind, ServerEntry
from .pools import (
    OVERLOAD_DELAY,
    close_connection,
    close_idle_connections,
    ensure_control_connection,
    find_control_connection,
    handle_server_loss,
    mark_reachable,
    record_open_failure,
    release_kept,
    remove_connection,
    send,
)

GONE_SERVER_RETENTION = 6.0
"""Seconds after which a server that is no longer listed is removed from the state."""

ENTRY_RETURN_PERIOD = 2.5
"""Seconds after the first list of an era in which entries may be missing or outdated:
servers write theirs again within about two seconds of the store's return."""

DRAINING_CLOSE_DELAY = 5.0
"""Seconds after which connections to a draining or removed server are closed; it gets
no new statements as soon as it is seen draining, unless it leads."""

UNSEEN_DRAIN_PERIOD = 3.0
"""Seconds for which a primary gets statements that was draining when this VM started:
less than the time after which it may get none."""

LEAD_PROBE_INTERVAL = 0.08
"""Seconds between two rounds of probes for the primary."""

PING_INTERVAL = 1.0
"""Seconds without an answer after which a server is pinged for its position."""

LEADER_PING_INTERVAL = 0.5
"""The same for a primary, which is shorter as its loss stops writes."""

ABANDONED_ANSWER_TIMEOUT = 1.5
"""Seconds after which a connection is closed if its statement has been answered by
another connection or its caller has disconnected."""

CONTROL_CONNECTION_TIMEOUT = 0.8
"""Seconds without an answer after which a control connection counts as half-open; its
commands need no slot of the server."""


def apply_servers(state: DirectState, event: ServersRead, out: Effects) -> None:
    """Apply a list of servers, unless a newer one is known.

    It is deferred until the configuration is known. The servers of the first list are
    not taken for new ones. A server that is missing from the list is marked as gone,
    unless the store was restored a moment ago.
    """
    if state.configuration is None:
        deferred = state.deferred_servers
        if deferred is None or event.revision >= deferred.revision:
            state.deferred_servers = event
        return
    if event.revision < state.servers_revision:
        return
    if event.revision.era > state.servers_revision.era:
        state.servers_era_since = state.now
    returning = state.now - state.servers_era_since < ENTRY_RETURN_PERIOD
    state.servers_revision = event.revision
    first = not state.servers_known
    state.servers_known = True
    listed = set()
    for entry in event.entries:
        # The store may hold entries of other writers; unknown services are ignored.
        if entry.service not in state.configuration.connections:
            continue
        listed.add(entry.server)
        known = state.servers.get(entry.server)
        if returning and known is not None and entry.started < known.entry.started:
            # The copy is older than the server's restart.
            continue
        _apply_entry(state, entry, out)
        if first:
            # Each VM would have to wait after the start of the fleet.
            state.servers[entry.server].listed_at = -NEW_SERVER_PERIOD
            if entry.draining:
                # Since when is not known.
                leaves_at = state.now + UNSEEN_DRAIN_PERIOD
                state.servers[entry.server].leaves_at = leaves_at
    if returning:
        return
    if event.read_at is not None:
        state.servers_read_at = max(state.servers_read_at, event.read_at)
    for server in state.servers.values():
        if server.entry.server in listed or server.gone_at is not None:
            continue
        server.gone_at = state.now
        _log_server(state, "server_gone", server, out)
        state.pending_updates.add(server.entry.service)


def _apply_entry(state: DirectState, entry: ServerEntry, out: Effects) -> None:
    """Add a server or update its entry, and mark it as draining or returned.

    A process that was draining stays so: a restored store may show an older entry.
    """
    server = state.servers.get(entry.server)
    if server is None:
        server = Server(entry=entry, listed_at=state.now)
        state.servers[entry.server] = server
        _log_server(state, "server_found", server, out)
        if state.vms_known and needs_connections(state):
            ensure_control_connection(state, server, out)
    old = server.entry
    if old.draining and old.started == entry.started:
        entry = replace(entry, draining=True)
    server.entry = entry
    if server.gone_at is not None:
        server.listed_at = state.now
    server.gone_at = None
    if old.started != entry.started or (old.host, old.port) != (entry.host, entry.port):
        server.retry_at = 0.0
        server.evidence = None
    welcome(state, state.databases[entry.service], server)
    if entry.draining and server.draining_at is None:
        server.draining_at = state.now
        # The list that was read before showed it ready.
        since = max(state.servers_read_at, state.now - LIST_VALIDITY)
        server.leaves_at = since + state.drain
        _log_server(state, "server_draining", server, out)
        state.pending_updates.add(entry.service)
    if not entry.draining and server.draining_at is not None:
        server.draining_at = None
        server.leaves_at = None
        _log_server(state, "server_returned", server, out)


def _log_server(state: DirectState, event: str, server: Server, out: Effects) -> None:
    """Log a change of a server's entry."""
    out.append(
        Log(
            event=event,
            fields=(
                ("server", server.entry.server),
                ("service", server.entry.service),
                ("zone", server.entry.zone),
                ("leads", server.entry.leads),
                ("revision", str(state.servers_revision)),
            ),
            essential=True,
        )
    )


def handle_backend_opened(
    state: DirectState, event: BackendOpened, out: Effects
) -> None:
    """Mark a connection as open and its server as reachable, with its log position.

    While no primary is known, the server is probed at once.
    """
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    connection.advance(ConnectionState.FREE)
    connection.used_at = state.now
    server = connection.server
    mark_reachable(state, server, out)
    record_evidence(state, server, connection.opened_at, event.answer.position, out)
    database = state.databases.get(server.entry.service)
    if connection.control and database is not None and database.leader is None:
        probe_leader(state, server, out)
    state.pending_updates.add(server.entry.service)


def handle_backend_lost(state: DirectState, event: BackendLost, out: Effects) -> None:
    """Remove a lost connection, update its server and requeue or fail its jobs.

    A lost control connection to a usable server is opened again.
    """
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    server = connection.server
    opening = connection.state is ConnectionState.OPENING
    remove_connection(state, connection)
    if event.reason is LossReason.OVERLOAD:
        server.overloaded_until = state.now + OVERLOAD_DELAY
        state.pools.refused += 1
    elif opening:
        record_open_failure(state, server, event.reason, out)
    else:
        handle_server_loss(state, server, event.reason, out)
    out.append(
        Log(
            event="backend_lost",
            fields=(
                ("server", server.entry.server),
                ("reason", event.reason.value),
                ("opening", opening),
                ("pending", len(connection.pending)),
            ),
            essential=True,
        )
    )
    handle_connection_loss(state, connection, out)
    state.pending_updates.add(server.entry.service)
    if not opening and server.usable:
        ensure_control_connection(state, server, out)


def maintain_servers(state: DirectState, out: Effects) -> None:
    """Maintain connections to servers and probe for primaries; called at each tick."""
    if not needs_servers(state):
        _close_released_connections(state, out)
        return
    if not needs_connections(state):
        return
    for server in list(state.servers.values()):
        _maintain_server(state, server, out)
    for database in state.databases.values():
        _probe_for_leader(state, database, out)
        forget_covered(state, database, out)
        request_backlogs(state, database, out)


def _close_released_connections(state: DirectState, out: Effects) -> None:
    """Close the unused connections of a VM that only relays, and forget the leaders.

    The configuration is forgotten as well: it is not followed any more, and a caller
    that no holder accepts would be served by routes that may have been removed.
    """
    state.configuration = None
    for connection in list(state.connections.values()):
        if connection.transaction is None and not connection.pending:
            close_connection(state, connection, out, "not_a_holder")
    for database in state.databases.values():
        database.leader = None
        database.leaderless_since = state.now


def _maintain_server(state: DirectState, server: Server, out: Effects) -> None:
    """Maintain the connections to a server.

    Half-open and stuck connections are closed. A listed server gets its control
    connection, pings and a pool without idle surplus; the connections to a draining
    or removed one are closed after a while.
    """
    control = find_control_connection(server)
    if control is not None and control.pending:
        oldest = control.pending[0]
        if (
            oldest.work is None
            and state.now - oldest.sent_at > CONTROL_CONNECTION_TIMEOUT
        ):
            close_connection(state, control, out, "control_unresponsive")
            handle_connection_loss(state, control, out)
    _close_unanswered_connections(state, server, out)
    _release_unused(state, server, out)
    resume_replication(state, server, out)
    left_at = server.draining_at if server.gone_at is None else server.gone_at
    if left_at is None:
        if knows_vms(state):
            ensure_control_connection(state, server, out)
        close_idle_connections(state, server, out)
        _ping(state, server, out)
        return
    database = state.databases[server.entry.service]
    leads = state.leader_of(database) is server
    kept = server.gone_at is None and (leads or count_acknowledging(state, database))
    if kept:
        ensure_control_connection(state, server, out)
    if state.now - left_at > DRAINING_CLOSE_DELAY:
        for connection in list(server.connections.values()):
            if kept and (leads or connection.control):
                continue
            if connection.transaction is None and not connection.pending:
                close_connection(state, connection, out, "server_leaving")
    if (
        server.gone_at is not None
        and state.now - server.gone_at > GONE_SERVER_RETENTION
    ):
        for connection in list(server.connections.values()):
            close_connection(state, connection, out, "server_gone")
            handle_connection_loss(state, connection, out)
        depart(state, database, server)
        del state.servers[server.entry.server]
        if database.leader and database.leader.server == server.entry.server:
            drop_leader(state, database, DropReason.GONE, out)


def _close_unanswered_connections(
    state: DirectState, server: Server, out: Effects
) -> None:
    """Close connections on which an answer is overdue that no caller waits for."""
    for connection in list(server.connections.values()):
        if not connection.pending or _is_awaited(connection):
            continue
        if state.now - connection.pending[0].sent_at >= ABANDONED_ANSWER_TIMEOUT:
            close_connection(state, connection, out, "answer_lost")
            handle_connection_loss(state, connection, out)


def _release_unused(state: DirectState, server: Server, out: Effects) -> None:
    """Have a server release what it keeps for unused connections beyond the limits."""
    for connection in server.connections.values():
        if connection.idle and connection.kept.size:
            release_kept(state, connection, out)


def _is_awaited(connection: Connection) -> bool:
    """Return whether a caller waits for an answer on a connection.

    A control connection's own commands are watched by `_maintain_server`.
    """
    for pending in connection.pending:
        if pending.work is None:
            if connection.control:
                return True
            continue
        if pending.work.state is not JobState.ENDED:
            return True
    return False


def _ping(state: DirectState, server: Server, out: Effects) -> None:
    """Ping a server without traffic, so that its loss is detected early."""
    if server.down_at is not None:
        return
    database = state.databases[server.entry.service]
    interval = PING_INTERVAL
    if state.leader_of(database) is server:
        interval = LEADER_PING_INTERVAL
    evidence = server.evidence
    if evidence is not None and state.now - evidence.sent_at < interval:
        return
    control = find_control_connection(server)
    if control is not None and not control.pending:
        command = Command(kind=CommandKind.RESET)
        send(state, control, command, Purpose.POSITION, out)


def _probe_for_leader(state: DirectState, database: Database, out: Effects) -> None:
    """Probe the other servers unless the leader is up, works and is not draining."""
    leader = state.leader_of(database)
    works = leader is not None and state.now >= leader.failing_until
    if works and leader.down_at is None:
        if accepts_leader_jobs(state, leader) and leader.draining_at is None:
            return
    if state.now - database.probed_at < LEAD_PROBE_INTERVAL:
        return
    database.probed_at = state.now
    for server in state.members(database.name):
        if server is not leader:
            probe_leader(state, server, out)
