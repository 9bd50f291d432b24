"""Metrics and log line of pooled connections."""

from .._connection_life import ConnectionState
from .._effects import Log, Observe
from .._state import DirectState, Effects

COUNT_INTERVAL = 1.0
"""Seconds between two counts of the connections by state."""

LOG_INTERVAL = 5.0
"""Shortest time in seconds between two log lines."""


def report_pools(state: DirectState, out: Effects) -> None:
    """Report the connections by state, and log where they are short; at each tick."""
    pools = state.pools
    if state.now - pools.counted_at < COUNT_INTERVAL:
        return
    pools.counted_at = state.now
    counts = dict.fromkeys(ConnectionState, 0)
    del counts[ConnectionState.CLOSED]
    statements = size = 0
    for connection in state.connections.values():
        counts[connection.state] += 1
        statements += connection.kept.statement_count
        size += connection.kept.size
    for life, number in counts.items():
        if pools.counts.get(life) == number:
            continue
        out.append(
            Observe(metric="backend_connections", value=number, label=life.value)
        )
    pools.counts = counts
    if (pools.statements, pools.kept) != (statements, size):
        out.append(Observe(metric="backend_statements", value=statements))
        out.append(Observe(metric="backend_kept_bytes", value=size))
        pools.statements, pools.kept = statements, size
    if not pools.replaced and not pools.refused:
        return
    if state.now - pools.logged_at < LOG_INTERVAL:
        return
    fields = [("replaced", pools.replaced), ("refused", pools.refused)]
    for life, number in counts.items():
        fields.append((life.value, number))
    out.append(Log(event="connections_short", fields=tuple(fields), essential=True))
    pools.logged_at = state.now
    pools.replaced = 0
    pools.refused = 0
