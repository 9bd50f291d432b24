"""Whether a backend server accepts connections, and when to try again."""

from .._effects import Log
from .._events import LossReason
from .._server_state import Server
from .._state import DirectState, Effects
from ._closing import close_connection

MIN_RECONNECT_DELAY = 0.1
"""Seconds until the second attempt to connect; doubled after each further one."""

MAX_RECONNECT_DELAY = 0.8
"""Upper limit of the seconds between two attempts to connect."""

OVERLOAD_DELAY = 0.3
"""Seconds without new connections after a server had too many: it takes a while to drop
the connections of VMs that lost power."""


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
        if connection.open:
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
            if connection.idle:
                close_connection(state, connection, out, "server_unresponsive")
    elif any(c.open for c in server.connections.values()):
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
