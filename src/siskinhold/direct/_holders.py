"""Which VMs hold connections to backend servers.

Answers a fleet with more VMs than a server takes connections from. A few VMs in each
availability zone then hold the connections, and the others relay their callers to one
of them. A VM with few connections would refuse statements that the servers have room
for.
"""

import hashlib

from ._effects import PublishConnections
from ._state import DirectState, Effects
from ._types import VmEntry

MIN_POOL_CONNECTIONS = 3
"""Connections to a server below which a VM can't hold a pool: one for control, two for
statements."""

TARGET_POOL_CONNECTIONS = 4
"""Connections to a server that each of a few holders should have at least."""

HOLDERS_PER_ZONE = 2
"""Holders in each availability zone, so that the loss of one leaves another near."""

SPARE_HOLDERS = 1
"""Holders beyond the chosen ones that a server's connections must suffice for."""

PUBLISH_INTERVAL = 5.0
"""Seconds between two publications of the servers' connections: reads that may be old
show the last one within that time."""

UNREACHABLE_HOLDER_DELAY = 2.0
"""Seconds for which a holder that does not answer is passed over."""

REFUSING_HOLDER_DELAY = 0.3
"""Seconds for which a holder that refuses is passed over: about the time in which its
process starts."""

VM_LIST_TIMEOUT = 1.0
"""Seconds after the start for which the list of VMs is waited for."""

MAX_RELAY_TARGETS = 5
"""Holders that are tried for one caller."""


def knows_vms(state: DirectState) -> bool:
    """Return whether it is known who holds connections, or waited for long enough."""
    return state.vms_known or state.now - state.started_at >= VM_LIST_TIMEOUT


def needs_servers(state: DirectState) -> bool:
    """Return whether this VM needs the configuration and the backend servers.

    A VM that relays its callers does not, unless it has some that no holder takes. The
    configuration is large, and VMs that all start at once and read it fill the link
    between regions.
    """
    if not knows_vms(state):
        return False
    return state.is_holder or bool(state.sessions) or bool(state.pending_callers)


def choose_holders(vms: tuple[VmEntry, ...], connections: int) -> list[VmEntry]:
    """Return the VMs that hold connections; all VMs with the same list agree.

    The largest VMs of each availability zone come first.
    """
    if len(vms) * MIN_POOL_CONNECTIONS <= connections:
        return list(vms)
    zones: dict[str, list[VmEntry]] = {}
    for vm in vms:
        zones.setdefault(vm.zone, []).append(vm)
    max_holders = max(1, connections // TARGET_POOL_CONNECTIONS - SPARE_HOLDERS)
    found = []
    for members in zones.values():
        members.sort(key=lambda vm: (-vm.size, _hash(vm.name)))
    for place in range(HOLDERS_PER_ZONE):
        for zone in sorted(zones):
            if place < len(zones[zone]) and len(found) < max_holders:
                found.append(zones[zone][place])
    return found


def update_holders(state: DirectState) -> None:
    """Decide anew whether this VM holds connections."""
    if not state.vms or not state.connections_limit:
        return
    state.holders = choose_holders(state.vms, state.connections_limit)
    state.is_holder = any(vm.name == state.vm for vm in state.holders)


def publish_connections(state: DirectState, known: int, out: Effects) -> None:
    """Have the first holder publish the servers' connections if others don't know them.

    VMs that only relay need no more of the configuration.

    Args:
        known: the published number.
    """
    if state.configuration is None or known == state.connections_limit:
        return
    if not state.holders or state.holders[0].name != state.vm:
        return
    if state.now - state.published_at < PUBLISH_INTERVAL:
        return
    state.published_at = state.now
    out.append(PublishConnections(connections=state.connections_limit))


def choose_relay_targets(state: DirectState, session: int) -> list[VmEntry]:
    """Return the holders to which a caller is relayed, best first."""
    ranked = []
    for vm in state.holders:
        if state.now < state.skipped_holders.get(vm.name, 0.0):
            continue
        if vm.zone == state.zone:
            distance = 0
        elif state.regions.get(vm.zone) == state.region:
            distance = 1
        else:
            distance = 2
        ranked.append((distance, _hash(f"{state.vm}/{session}/{vm.name}"), vm))
    ranked.sort(key=lambda entry: entry[:2])
    return [vm for _, _, vm in ranked[:MAX_RELAY_TARGETS]]


def compute_connection_share(
    state: DirectState, total: int, spare: int, unknown: int
) -> int:
    """Return this VM's share of a server's connections.

    Args:
        total: connections that the server takes.
        spare: shares kept for VMs that join a fleet in which all hold.
        unknown: number of VMs assumed while it is not known.
    """
    if not state.holders:
        return total // (unknown + spare)
    if len(state.holders) == len(state.vms):
        return total // (len(state.vms) + spare)
    return total // (len(state.holders) + SPARE_HOLDERS)


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
