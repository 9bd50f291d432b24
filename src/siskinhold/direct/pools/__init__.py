"""Pools of connections to backend servers, and the commands sent on them."""

from ._closing import close_connection, remove_connection
from ._commands import (
    WrongAccount,
    apply_session_values,
    prepare_statement,
    release_kept,
    send,
    settle,
)
from ._growth import (
    close_idle_connections,
    ensure_control_connection,
    find_control_connection,
    find_idle_connection,
    grow_pool,
    has_pool,
)
from ._limits import compute_connection_limit
from ._reachability import (
    OVERLOAD_DELAY,
    handle_server_loss,
    mark_reachable,
    record_open_failure,
)
from ._report import report_pools

__all__ = [
    "OVERLOAD_DELAY",
    "WrongAccount",
    "apply_session_values",
    "close_connection",
    "close_idle_connections",
    "compute_connection_limit",
    "ensure_control_connection",
    "find_control_connection",
    "find_idle_connection",
    "grow_pool",
    "handle_server_loss",
    "has_pool",
    "mark_reachable",
    "prepare_statement",
    "release_kept",
    "record_open_failure",
    "remove_connection",
    "report_pools",
    "send",
    "settle",
]
