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

STARTUP_PERIOD = 2.0
"""Seconds after the start in which a VM opens no more than `MIN_CONNECTIONS`. Servers
drop the connections of VMs that lost power after 3 s, of which the start takes 1 s;
until then they have room for few connections from each VM."""


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
