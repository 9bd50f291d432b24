"""Number of connections that this VM may have to a backend server."""

from .._holders import SPARE_HOLDERS, compute_connection_share
from .._server_state import Server
from .._state import DirectState
from ..accounts import list_likely_homes, uses_accounts

SPARE_SHARES = 2
"""VMs beyond the registered ones for which a server's connections must suffice."""

ASSUMED_VMS = 9
"""Number of VMs assumed until the store lists them: that of the larger deployment."""

MIN_CONNECTIONS = 2
"""Connections to a server that every VM may have: one for control, one for jobs."""

START_CONNECTIONS = 2
"""Statement connections to a server that a home may have when it has just started."""

STARTUP_PERIOD = 2.0
"""Seconds after the start in which a VM opens no more than `MIN_CONNECTIONS`. Servers
drop the connections of VMs that lost power after 3 s, of which the start takes 1 s;
until then they have room for few connections from each VM."""


def compute_connection_limit(state: DirectState, server: Server) -> int:
    """Return the number of connections that this VM may have to a server.

    The VMs share the server's limit evenly, with a reserve for VMs that join. A VM that
    has just started opens fewer. With client accounts only their homes share it.
    """
    configuration = state.configuration
    if configuration is None:
        return MIN_CONNECTIONS
    total = configuration.connections.get(server.entry.service, 0)
    starting = state.now - state.started_at < STARTUP_PERIOD
    if uses_accounts(state):
        return _compute_home_limit(state, total, starting)
    if starting:
        return MIN_CONNECTIONS
    share = compute_connection_share(state, total, SPARE_SHARES, ASSUMED_VMS)
    return max(MIN_CONNECTIONS, share)


def _compute_home_limit(state: DirectState, total: int, starting: bool) -> int:
    """Return the limit of a home.

    A control connection of each holder and the share of one more home are left over: a
    home without a control connection can't find the primary.

    Args:
        total: the server's connection limit.
        starting: whether this VM has just started.
    """
    homes = _count_homes(state)
    if not homes:
        return MIN_CONNECTIONS
    limit = max(
        MIN_CONNECTIONS, (total - len(state.holders)) // (homes + SPARE_HOLDERS)
    )
    if starting:
        return min(limit, 1 + START_CONNECTIONS)
    return limit


def _count_homes(state: DirectState) -> int:
    """Return how many homes share a server's connections, 0 if this VM is none.

    A holder of another region that has callers of accounts stands in for a lost home.
    """
    homes = list_likely_homes(state)
    if any(vm.name == state.vm for vm in homes):
        return len(homes)
    if not any(session.account for session in state.sessions.values()):
        return 0
    return sum(state.regions.get(vm.zone) == state.region for vm in state.holders)
