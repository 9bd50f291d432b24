"""Detection of backend servers that accept connections but fail the statements.

It answers a load that a server seems to take: connections to it open, and it answers
the proxy's own commands, but it breaks off, hangs or fails what callers send. Writes
that are sent to such a primary end in doubt, which their callers can't repeat. So it
gets no new statements for a while, and is replaced if enough VMs find the same.
"""

from ._effects import Log
from ._server_state import Server
from ._state import DirectState, Effects

FAILURE_WEIGHT = 0.25
"""Weight of a statement in the moving average of failures."""

FAILING_RATIO = 0.75
"""Share of failed statements from which a server counts as failing: five in a row after
a success, far more than the answers that are lost on a bad link."""

MIN_FAILURE_SPAN = 0.15
"""Seconds over which the failures must be spread. All connections that are reset at one
moment say little about the server."""

FAILING_PERIOD = 1.5
"""Seconds without new statements after a server was found to be failing: long enough
for the VMs to agree on it. Doubled each time, until statements succeed."""

MAX_FAILING_PERIOD = 6.0
"""Upper limit of that period."""


def record_success(server: Server) -> None:
    """Record a statement that a server ran."""
    server.failure_ratio *= 1.0 - FAILURE_WEIGHT
    server.failed_since = None
    server.failing_period = 0.0


def record_failure(state: DirectState, server: Server, out: Effects) -> None:
    """Record a statement that a server broke off, lost or failed.

    Once most statements fail, the server counts as failing for a while.
    """
    if state.now < server.failing_until:
        return
    server.failure_ratio += FAILURE_WEIGHT * (1.0 - server.failure_ratio)
    if server.failed_since is None:
        server.failed_since = state.now
    if server.failure_ratio < FAILING_RATIO:
        return
    if state.now - server.failed_since < MIN_FAILURE_SPAN:
        return
    period = min(MAX_FAILING_PERIOD, max(FAILING_PERIOD, 2 * server.failing_period))
    server.failing_period = period
    server.failing_until = state.now + period
    server.failing_since = state.now
    state.pending_updates.add(server.entry.service)
    out.append(
        Log(
            event="server_failing",
            fields=(
                ("server", server.entry.server),
                ("failed", round(server.failure_ratio, 2)),
                ("over_ms", round((state.now - server.failed_since) * 1000)),
                ("avoided_ms", round(period * 1000)),
            ),
            essential=True,
        )
    )
