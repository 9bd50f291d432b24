"""Connection holders: the VMs that hold connections to backend servers.

If there are too many VMs for a server's connection limit, a few VMs in each
availability zone hold the connections, and the others relay their callers to one of
them. Sharing the connections among all VMs would leave each too few, so that it would
refuse statements for which the servers have capacity.
"""

import hashlib

from ._effects import ListVms, PublishConnections, RegisterVm
from ._state import DirectState, Effects
from ._types import VmEntry
from .accounts import list_known_homes, uses_accounts

MIN_POOL_CONNECTIONS = 3
"""Lower limit of a VM's connections to a server: one for control, two for jobs."""

TARGET_POOL_CONNECTIONS = 4
"""Connections to a server that each holder should have if only some VMs are holders."""

HOLDERS_PER_ZONE = 2
"""Holders in each availability zone, so that one remains if the other is lost."""

SPARE_HOLDERS = 1
"""Holders beyond the chosen ones for which a server's connections must suffice."""

PUBLISH_INTERVAL = 5.0
"""Seconds between two publications of the connection limit: within that time, even
stale reads show the last one."""

RESTORE_PERIOD = 12.0
"""Seconds after the store was restored in which other VMs may not have registered again
yet: those that only relay callers learn of it when they read the list of VMs."""

RESTORED_LIST_INTERVAL = 3.0
"""Seconds between two reads of the list of VMs in that time."""

MAX_REFRESHING_VMS = 500
"""VMs of the largest fleet in which each one does so, from fresh data. The list of a
larger one has several pages, and as many fresh reads exceed the store's rate."""

REGISTRATIONS_PER_SECOND = 500
"""VMs that register again each second after a restore: a part of the store's rate of
reads."""

UNREACHABLE_HOLDER_DELAY = 2.0
"""Seconds for which a holder that does not answer is skipped."""

REFUSING_HOLDER_DELAY = 0.3
"""Seconds for which a holder that refuses is skipped: about the time that its process
takes to start."""

VM_LIST_TIMEOUT = 1.0
"""Seconds after the start to wait for the list of VMs."""

CONNECTION_LIMIT_TIMEOUT = 3.0
"""Seconds after the start for which a VM that is no likely holder waits until the
servers' connection limit is published: the first holder needs the list of VMs and the
configuration to publish it, and the others read it with the next list of VMs."""

MAX_RELAY_TARGETS = 5
"""Number of holders that are tried for a caller."""


def knows_vms(state: DirectState) -> bool:
    """Return whether the list of VMs was read, or the wait for it has timed out."""
    return state.vms_known or state.now - state.started_at >= VM_LIST_TIMEOUT


def needs_servers(state: DirectState) -> bool:
    """Return whether this VM needs the configuration and the backend servers.

    A VM that relays its callers does not need them, unless it has callers that no
    holder accepts. The configuration is large: if all VMs read it when they start
    together, it saturates the link between regions. While the connection limit is
    unknown, as at the first start of a fleet, only likely holders need them. A caller
    that waits for the home of its account needs none of them here.
    """
    if not knows_vms(state):
        return False
    if state.sessions:
        return True
    for caller in state.pending_callers.values():
        # One that a holder sent to others waits for these.
        if not caller.moves:
            return True
    if state.connections_limit or not state.vms_known:
        return state.is_holder
    if state.now - state.started_at >= CONNECTION_LIMIT_TIMEOUT:
        return True
    return _is_likely_holder(state)


def needs_connections(state: DirectState) -> bool:
    """Return whether this VM needs connections to the backend servers.

    With client accounts, one that is no holder serves only callers without a key.
    """
    if not needs_servers(state):
        return False
    return state.is_holder or bool(state.sessions) or not uses_accounts(state)


def _is_likely_holder(state: DirectState) -> bool:
    """Return whether this VM is among the first that are chosen as holders.

    These are the largest VMs of each availability zone.
    """
    members = [vm for vm in state.vms if vm.zone == state.zone]
    members.sort(key=_rank_by_size)
    return any(vm.name == state.vm for vm in members[:HOLDERS_PER_ZONE])


def choose_holders(vms: tuple[VmEntry, ...], connections: int) -> list[VmEntry]:
    """Return the connection holders, which are the same on every VM.

    All VMs are holders if the servers accept enough connections; otherwise the largest
    VMs of each availability zone are. The result depends on the arguments alone.

    Args:
        connections: lowest connection limit of any server.
    """
    if len(vms) * MIN_POOL_CONNECTIONS <= connections:
        return list(vms)
    zones: dict[str, list[VmEntry]] = {}
    for vm in vms:
        zones.setdefault(vm.zone, []).append(vm)
    max_holders = max(1, connections // TARGET_POOL_CONNECTIONS - SPARE_HOLDERS)
    found = []
    for members in zones.values():
        members.sort(key=_rank_by_size)
    for place in range(HOLDERS_PER_ZONE):
        for zone in sorted(zones):
            if place < len(zones[zone]) and len(found) < max_holders:
                found.append(zones[zone][place])
    return found


def update_holders(state: DirectState) -> None:
    """Choose the holders again, and whether this VM is one.

    Does nothing until the VMs and the servers' connection limit are known.
    """
    if not state.vms or not state.connections_limit:
        return
    state.holders = choose_holders(state.vms, state.connections_limit)
    state.is_holder = any(vm.name == state.vm for vm in state.holders)


def was_restored(state: DirectState) -> bool:
    """Return whether the store was restored from a copy a short time ago."""
    return state.now - state.restored_at < RESTORE_PERIOD


def register_again(state: DirectState, out: Effects) -> None:
    """Register this VM again after a restore, in turn with the others of the fleet."""
    if state.registers_at is None or state.now < state.registers_at:
        return
    state.registers_at = None
    out.append(RegisterVm())


def refresh_vms(state: DirectState, out: Effects) -> None:
    """Read the list of VMs at once and repeatedly after the store was restored."""
    if not was_restored(state) or len(state.vms) > MAX_REFRESHING_VMS:
        return
    requested_at = state.vms_requested_at
    if requested_at > state.restored_at:
        if state.now - requested_at < RESTORED_LIST_INTERVAL:
            return
    state.vms_requested_at = state.now
    out.append(ListVms(fresh=True))


def add_lost_vms(state: DirectState, vms: tuple[VmEntry, ...]) -> tuple[VmEntry, ...]:
    """Return a list of VMs with the known ones that a restored store has lost.

    They register again; without them the holders would change for a moment.
    """
    if not was_restored(state):
        return vms
    names = {vm.name for vm in vms}
    return (*vms, *(vm for vm in state.vms if vm.name not in names))


def publish_connection_limit(
    state: DirectState, published_limit: int, out: Effects
) -> None:
    """Publish the servers' connection limit in the store if it has changed.

    Only the first holder does so. VMs that only relay callers don't read the
    configuration, and need just this part of it.

    Args:
        published_limit: the limit that is published at present.
    """
    if state.configuration is None or published_limit == state.connections_limit:
        return
    if not state.holders or state.holders[0].name != state.vm:
        return
    if state.now - state.published_at < PUBLISH_INTERVAL:
        return
    state.published_at = state.now
    out.append(PublishConnections(connections=state.connections_limit))


def choose_relay_targets(
    state: DirectState, session: int, key: str = ""
) -> list[VmEntry]:
    """Return the holders to which a caller may be relayed, nearest first.

    Those that are known to serve the caller come before all others. Holders that
    were unavailable are left out for a while. Holders at the same distance are in a
    different order for each session, which spreads the callers.
    """
    known = []
    for vm in list_known_homes(state, key):
        if state.now >= state.skipped_holders.get(vm.name, 0.0):
            known.append(vm)
    if known:
        return known
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
    """Return the share of a server's connections that each holder may open.

    A reserve is kept: `SPARE_HOLDERS` shares if only some VMs are holders, else `spare`
    shares.

    Args:
        total: the server's connection limit.
        spare: shares reserved for VMs that join while all VMs are holders.
        unknown: number of VMs assumed while they are unknown.
    """
    if not state.holders:
        return total // (unknown + spare)
    if len(state.holders) == len(state.vms):
        return total // (len(state.vms) + spare)
    return total // (len(state.holders) + SPARE_HOLDERS)


def _rank_by_size(vm: VmEntry) -> tuple[int, bytes]:
    """Return the key that sorts VMs by size, largest first."""
    return (-vm.size, _hash(vm.name))


def _hash(text: str) -> bytes:
    """Return a hash that is the same on every VM."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
