"""Opening, choice and closing of the connections in a pool."""

from .._connection_life import ConnectionState
from .._effects import Observe, OpenBackend
from .._server_state import Connection, Server
from .._state import DirectState, Effects, Session
from ..accounts import uses_accounts
from ._closing import close_connection
from ._limits import compute_connection_limit
from ._reachability import OVERLOAD_DELAY

IDLE_TIMEOUT = 1.5
"""Seconds after which an idle connection beyond `MIN_IDLE_CONNECTIONS` is closed:
longer than the gaps between statements under a load that needs it."""

ACCOUNT_IDLE_TIMEOUT = 4.0
"""The same for connections of client accounts, each of which uses few of them. Kept for
longer, they would leave no room for homes that take over."""

MAX_OPENING = 2
"""Statement connections that are opened to a server at once."""

MAX_ACCOUNT_SHARE = 0.5
"""Share of a home's connections to a server up to which an account may replace those of
other accounts."""

MIN_IDLE_CONNECTIONS = 1
"""Statement connections to a server that stay open while they are idle."""


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
    state: DirectState,
    server: Server,
    out: Effects,
    account: str = "",
    *,
    replace: bool = True,
) -> bool:
    """Open a statement connection within the limit; return whether one is opening.

    Each account opens one at a time, and no more than `MAX_OPENING` are opened to a
    server, as each opening takes a slot of it. At the limit, an idle connection of
    another account makes room.

    Args:
        replace: False to open a connection only if there is room for it.
    """
    opening = 0
    for connection in server.connections.values():
        if connection.state is not ConnectionState.OPENING:
            continue
        if connection.account == account:
            return True
        opening += not connection.control
    if opening >= MAX_OPENING:
        return False
    limit = compute_connection_limit(state, server)
    if len(server.connections) >= limit:
        if not replace or state.now < max(server.retry_at, server.overloaded_until):
            return False
        idle = _find_replaceable(server, account, limit)
        if idle is None:
            return False
        close_connection(state, idle, out, "other_account")
        state.pools.replaced += 1
        out.append(Observe(metric="backend_connections_replaced_total"))
    before = len(server.connections)
    open_connection(state, server, out, account=account)
    return len(server.connections) > before


def _find_replaceable(server: Server, account: str, limit: int) -> Connection | None:
    """Return the idle connection of another account that was unused for longest.

    None for an account with `MAX_ACCOUNT_SHARE` of the connections: it may have more
    only while there is room, so that its load leaves the others theirs.
    """
    found = None
    held = 0
    for connection in server.connections.values():
        if connection.control:
            continue
        if connection.account == account:
            held += 1
            continue
        if not connection.idle:
            continue
        if found is None or connection.used_at < found.used_at:
            found = connection
    if held >= MAX_ACCOUNT_SHARE * (limit - 1):
        return None
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
        if connection.control and connection.open:
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
        if connection.kept.values == session.values:
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
