"""Counts of what happens to pooled connections at one VM."""

from dataclasses import dataclass, field

from ._connection_life import ConnectionState


@dataclass(slots=True, kw_only=True)
class PoolState:
    """Counts for the metrics and the log line of pooled connections.

    Args:
        replaced: idle connections that gave way to another account's, since the line.
        refused: connections that servers refused as they had too many, since then.
        logged_at: when the line was last written.
        counted_at: when the connections were last counted.
        counts: their number by state, as last reported.
        statements: prepared statements that servers keep for them, likewise.
        kept: bytes of session values and statements that servers keep, likewise.
    """

    replaced: int = 0
    refused: int = 0
    logged_at: float = -100.0
    counted_at: float = -100.0
    counts: dict[ConnectionState, int] = field(default_factory=dict)
    statements: int = 0
    kept: int = 0
