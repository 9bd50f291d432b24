"""Pool of connections to each backend server, and the commands sent on them."""

from ._effects import CloseBackend, Log, Observe, OpenBackend, SendCommands
from ._events import LossReason
from ._holders import SPARE_HOLDERS, compute_connection_share
from ._server_state import Connection, ConnectionState, PendingCommand, Purpose, Server
from ._state import DirectState, Effects, Job, Session
from ._types import Command, CommandKind
from .accounts import list_likely_homes, uses_accounts

SPARE_SHARES = 2
"""VMs beyond the registered ones for which a server's connections must suffice."""

ASSUMED_VMS = 9
"""Number of VMs assumed until the store lists them: that of the larger deployment."""

MIN_CONNECTIONS = 2
"""Connections to a server that every VM may have: one for control, one for jobs."""

MIN_RECONNECT_DELAY = 0.1
"""Seconds until the second attempt to connect; doubled after each further one."""

MAX_RECONNECT_DELAY = 0.8
"""Upper limit of the seconds between two attempts to connect."""

OVERLOAD_DELAY = 0.3
"""Seconds without new connections after a server had too many: it takes a while to drop
the connections of VMs that lost power."""


STARTUP_PERIOD = 2.0
"""Seconds after the start in which a VM opens no more than `MIN_CONNECTIONS`. Servers
drop the connections of VMs that lost power after 3 s, of which the start takes 1 s;
until then they have room for few connections from each VM."""

IDLE_TIMEOUT = 1.5
"""Seconds after which an idle connection beyond `MIN_IDLE_CONNECTIONS` is closed:
longer than the gaps between statements under a load that needs it."""

ACCOUNT_IDLE_TIMEOUT = 20.0
"""The same for connections of client accounts: each account uses few of them, and a
new one takes a slot of the server."""

MIN_IDLE_CONNECTIONS = 1
"""Statement connections to a server that stay open while they are idle."""


def compute_connection_limit(state: DirectState, server: Server) -> int:
    """Return the number of connections that this VM may have to a server.

    The VMs share the server's limit evenly, with a reserve for VMs that join. A VM that
    has just started opens fewer.
    """
    configuration = state.configuration
    if configuration is None or state.now - state.started_at < STARTUP_PERIOD:
        return MIN_CONNECTIONS
    total = configuration.connections.get(server.entry.service, 0)
    if uses_accounts(state):
        homes = list_likely_homes(state)
        if homes and all(vm.name != state.vm for vm in homes):
            return MIN_CONNECTIONS
        return max(MIN_CONNECTIONS, total // (len(homes) + SPARE_HOLDERS))
    share = compute_connection_share(state, total, SPARE_SHARES, ASSUMED_VMS)
    return max(MIN_CONNECTIONS, share)


def open_connection(
    state: DirectState,
    server: Server,
    out: Effects,
    *,
    control: bool = False,
    account: str = "",
) -> None:
    """Start to open a connection, unless a retry delay or overload forbids it.

    The pool's size is not checked here, see `grow_pool`.
    """
    if state.now < server.retry_at or state.now < server.overloaded_until:
        return
    number = state.allocate_number()
    connection = Connection(
        number=number,
        server=server,
        control=control,
        opened_at=state.now,
        account=account,
    )
    server.connections[number] = connection
    state.connections[number] = connection
    out.append(
        OpenBackend(
            connection=number,
            host=server.entry.host,
            port=server.entry.port,
            service=server.entry.service,
            server=server.entry.server,
            account=account,
        )
    )
    out.append(Observe(metric="backend_connections_opened_total"))


def grow_pool(
    state: DirectState, server: Server, out: Effects, account: str = ""
) -> bool:
    """Open a statement connection within the limit; return whether one is opening.

    Connections of an account are opened one at a time, since each opening takes a slot
    of the server. At the limit, an idle connection of another account makes room.
    """
    for connection in server.connections.values():
        if connection.state is ConnectionState.OPENING:
            if connection.account == account:
                return True
    if len(server.connections) >= compute_connection_limit(state, server):
        idle = _find_replaceable(server, account)
        if idle is None or state.now < max(server.retry_at, server.overloaded_until):
            return False
        close_connection(state, idle, out, "other_account")
    before = len(server.connections)
    open_connection(state, server, out, account=account)
    return len(server.connections) > before


def _find_replaceable(server: Server, account: str) -> Connection | None:
    """Return the idle connection of another account that was unused for longest."""
    found = None
    for connection in server.connections.values():
        if connection.control or not connection.idle or connection.account == account:
            continue
        if found is None or connection.used_at < found.used_at:
            found = connection
    return found


def has_pool(server: Server, account: str = "") -> bool:
    """Return whether there is a statement connection to a server, open or opening."""
    for connection in server.connections.values():
        if not connection.control and connection.account == account:
            return True
    return False


def ensure_control_connection(state: DirectState, server: Server, out: Effects) -> None:
    """Open a control connection to a server unless there is one."""
    for connection in server.connections.values():
        if connection.control:
            return
    open_connection(state, server, out, control=True)


def find_control_connection(server: Server) -> Connection | None:
    """Return the control connection to a server, None unless it is open."""
    for connection in server.connections.values():
        if connection.control and connection.state is ConnectionState.OPEN:
            return connection
    return None


def find_idle_connection(
    state: DirectState, server: Server, session: Session
) -> Connection | None:
    """Return an idle connection, preferably one with the session's values, or None.

    While or shortly after a server refused further connections, the control connection
    is also used, but not for transactions: the proxy's own commands would interfere
    with them.
    """
    found = None
    full = (
        state.now < server.overloaded_until + OVERLOAD_DELAY
        and session.transaction is None
        and not session.account
    )
    for connection in server.connections.values():
        if connection.control and not full or not connection.idle:
            continue
        if connection.account != session.account:
            continue
        if connection.values == session.values:
            return connection
        found = connection
    return found


def close_idle_connections(state: DirectState, server: Server, out: Effects) -> None:
    """Close idle statement connections that the load does not need.

    A server takes seconds to drop the connections of VMs that lost power, so too many
    open connections would leave no room when the VMs start again.
    """
    pool = [c for c in server.connections.values() if not c.control]
    surplus = len(pool) - MIN_IDLE_CONNECTIONS
    timeout = ACCOUNT_IDLE_TIMEOUT if uses_accounts(state) else IDLE_TIMEOUT
    for connection in pool:
        if surplus <= 0:
            return
        if connection.idle and state.now - connection.used_at >= timeout:
            close_connection(state, connection, out, "idle")
            surplus -= 1


def remove_connection(state: DirectState, connection: Connection) -> None:
    """Remove a connection that has ended from the state; its jobs are not handled."""
    connection.server.connections.pop(connection.number, None)
    state.connections.pop(connection.number, None)


def close_connection(
    state: DirectState, connection: Connection, out: Effects, reason: str
) -> None:
    """Close a connection; the server rolls back its transaction, if any.

    Jobs on it are not handled here, see `handle_connection_loss`.
    """
    remove_connection(state, connection)
    out.append(CloseBackend(connection=connection.number))
    out.append(
        Log(
            event="backend_closed",
            fields=(("server", connection.server.entry.server), ("reason", reason)),
        )
    )


def send(
    state: DirectState,
    connection: Connection,
    command: Command,
    purpose: Purpose,
    out: Effects,
    job: Job | None = None,
) -> None:
    """Send a command, and record its purpose for the handling of its answer.

    Consecutive commands on a connection are joined into one effect. A `RESET` clears
    the recorded values and prepared statements.
    """
    connection.pending.append(
        PendingCommand(purpose=purpose, sent_at=state.now, work=job)
    )
    connection.used_at = state.now
    if command.kind is CommandKind.RESET:
        connection.values.clear()
        connection.prepared.clear()
    if (
        out
        and isinstance(out[-1], SendCommands)
        and out[-1].connection == connection.number
    ):
        last = out.pop()
        out.append(
            SendCommands(
                connection=connection.number, commands=(*last.commands, command)
            )
        )
        return
    out.append(SendCommands(connection=connection.number, commands=(command,)))


def apply_session_values(
    state: DirectState, connection: Connection, session: Session, out: Effects
) -> None:
    """Set the session values of a caller on a connection before its statement runs.

    Values that are set already are not sent again. A connection with values that the
    session lacks is reset first.
    """
    extra = [name for name in connection.values if name not in session.values]
    if extra:
        send(state, connection, Command(kind=CommandKind.RESET), Purpose.SETUP, out)
    for name, value in session.values.items():
        if connection.values.get(name) == value:
            continue
        command = Command(kind=CommandKind.SET, name=name, value=value)
        send(state, connection, command, Purpose.SETUP, out)
        connection.values[name] = value


def prepare_statement(
    state: DirectState,
    connection: Connection,
    writes: bool,
    shape: str,
    out: Effects,
) -> str:
    """Prepare a statement unless it is prepared already; return its name.

    The name is derived from the statement, as the names of different callers collide.
    """
    name = f"{'w' if writes else 'r'}_{shape}"
    if (writes, shape) not in connection.prepared:
        command = Command(
            kind=CommandKind.PREPARE, name=name, value=shape, writes=writes
        )
        send(state, connection, command, Purpose.SETUP, out)
        connection.prepared.add((writes, shape))
    return name


def mark_reachable(state: DirectState, server: Server, out: Effects) -> None:
    """Mark a server as no longer down after a connection to it was opened."""
    server.open_failures = 0
    server.retry_at = 0.0
    if server.down_at is not None:
        out.append(
            Log(
                event="server_reachable",
                fields=(
                    ("server", server.entry.server),
                    ("after_ms", round((state.now - server.down_at) * 1000)),
                ),
                essential=True,
            )
        )
        server.down_at = None


def record_open_failure(
    state: DirectState,
    server: Server,
    reason: LossReason,
    out: Effects,
) -> None:
    """Record a failed attempt to connect and set the earliest time of the next one.

    The server counts as down unless another connection to it is open.
    """
    server.open_failures += 1
    pause = min(
        MAX_RECONNECT_DELAY, MIN_RECONNECT_DELAY * 2 ** min(server.open_failures - 1, 8)
    )
    server.retry_at = state.now + pause
    for connection in server.connections.values():
        if connection.state is ConnectionState.OPEN:
            return
    _mark_down(state, server, reason.value, out)


def handle_server_loss(
    state: DirectState, server: Server, reason: LossReason, out: Effects
) -> None:
    """Mark a server as down after the loss of an established connection.

    Unless that was unresponsive, the server stays up while another connection is open.
    After an unresponsive one, the idle ones are closed as well: they are probably
    half-open, which would be found only when a statement is sent.
    """
    if reason is LossReason.SILENT:
        for connection in list(server.connections.values()):
            if connection.state is ConnectionState.OPEN and connection.idle:
                close_connection(state, connection, out, "server_unresponsive")
    elif any(c.state is ConnectionState.OPEN for c in server.connections.values()):
        return
    _mark_down(state, server, reason.value, out)


def _mark_down(state: DirectState, server: Server, reason: str, out: Effects) -> None:
    """Mark a server as down until a connection to it opens."""
    if server.down_at is not None:
        return
    server.down_at = state.now
    out.append(
        Log(
            event="server_lost",
            fields=(("server", server.entry.server), ("reason", reason)),
            essential=True,
        )
    )
