"""Choice between servers when some of them are slower than usual.

It answers the loads that a slowed server is too slow for: reads go to another server if
that is expected to answer sooner. The slowed one keeps as many reads as it answers in
about the usual time, and one after each pause, by which its recovery shows. Statements
that only the primary runs stay there, and have its room to themselves.
"""

import math

from .._effects import Observe
from .._server_state import Server
from .._state import DirectState, Effects, Job
from ._speeds import count_own_statements

JUDGED_PERIOD = 10.0
"""Seconds after a recovery in which the averages that still hold its slow answers are
not used against a server."""


def was_judged(state: DirectState, server: Server) -> bool:
    """Return whether a server was recently found to be slowed or recovered."""
    slowdown = server.slowdown
    if not state.speeds.enabled:
        return False
    if slowdown.slowed_at is not None:
        return True
    return state.now - slowdown.recovered_at < JUDGED_PERIOD


def defer_slowed_servers(
    state: DirectState, job: Job, servers: list[Server]
) -> list[Server]:
    """Return the servers for a read with those that are to pause behind the others.

    A server that pauses stays in its place unless another one is expected to answer
    sooner. It is still used if the others have no connection that is free.
    """
    if not state.speeds.enabled:
        return servers
    paused = []
    for server in servers:
        if _pauses(state, server) and _has_faster(state, job, server, servers):
            paused.append(server)
    if not paused:
        return servers
    return [server for server in servers if server not in paused] + paused


def estimate_slowdown(state: DirectState, server: Server) -> float:
    """Return the multiple of the usual time that a server takes, 1 unless slowed."""
    slowdown = server.slowdown
    if not state.speeds.enabled or slowdown.slowed_at is None:
        return 1.0
    return max(1.0, math.exp(slowdown.mean))


def record_placement(state: DirectState, server: Server, out: Effects) -> None:
    """Start a slowed server's pause after it was given a read."""
    slowdown = server.slowdown
    if slowdown.slowed_at is None:
        return
    slowdown.next_read_at = state.now + slowdown.pause
    out.append(Observe(metric="slowed_server_reads_total"))


def _pauses(state: DirectState, server: Server) -> bool:
    """Return whether a slowed server gets no read now if another one is faster."""
    slowdown = server.slowdown
    if slowdown.slowed_at is None:
        return False
    if state.now < slowdown.next_read_at:
        return True
    return count_own_statements(server) >= slowdown.limit


def _has_faster(
    state: DirectState, job: Job, slowed: Server, servers: list[Server]
) -> bool:
    """Return whether a server that doesn't pause is expected to answer sooner."""
    expected = _estimate_time(state, job, slowed)
    for server in servers:
        if server is slowed or _pauses(state, server):
            continue
        if _estimate_time(state, job, server) < expected:
            return True
    return False


def _estimate_time(state: DirectState, job: Job, server: Server) -> float:
    """Return the expected logarithm of the time of a read at a server."""
    key = (server.entry.zone, job.route.database, job.commits)
    usual = state.speeds.usual.get(key)
    if usual is None:
        # Without a usual time the further servers count as slower than none.
        return math.log(server.service_time)
    if server.slowdown.slowed_at is None:
        return usual.mean
    return usual.mean + server.slowdown.mean
