"""Removal of VMs that have left for good from the list of VMs.

A VM that loses power for good never takes back its entry. As it stayed in the list, it
would remain a connection holder and reduce the other VMs' shares of the servers'
connections. So every VM probes another one of its region from time to time, and removes
one that stays silent for long. A removed VM that is alive registers again as soon as it
reads a list without itself: it keeps its sessions meanwhile.
"""

from ._effects import Log, ProbeVm, RemoveVm
from ._events import VmProbed
from ._state import DirectState, Effects
from ._types import VmEntry

PROBE_INTERVAL = 5.0
"""Seconds between two probes while no VM is suspected to have left."""

SUSPECT_PROBE_INTERVAL = 1.0
"""Seconds between two probes while one is suspected."""

PROBE_TIMEOUT = 3.0
"""Seconds after which a probe without a result is repeated."""

DEPARTURE_TIMEOUT = 15.0
"""Seconds of silence after which a VM counts as gone: longer than a restart or a freeze
takes, so that its callers and its role need not move."""


def probe_vms(state: DirectState, out: Effects) -> None:
    """Probe another VM of the region if it is time to; called at each tick.

    While a VM is suspected, it is probed in turn with others: their answers show that
    this VM is not the one that is cut off.
    """
    probes = state.vm_probes
    if not state.vms_known or state.shutdown_at is not None:
        return
    interval = PROBE_INTERVAL if probes.suspect is None else SUSPECT_PROBE_INTERVAL
    if probes.under_way is not None:
        interval = PROBE_TIMEOUT
    if state.now - probes.sent_at < interval:
        return
    target = _choose_target(state)
    if target is None:
        return
    probes.under_way = target.name
    probes.sent_at = state.now
    out.append(ProbeVm(vm=target))


def _choose_target(state: DirectState) -> VmEntry | None:
    """Return the suspected VM or a random other one of the region, None without any."""
    probes = state.vm_probes
    others = []
    for vm in state.vms:
        if vm.name == state.vm or not vm.relay_port:
            continue
        if state.regions.get(vm.zone) != state.region:
            continue
        if vm.name == probes.suspect:
            if probes.other_is_next:
                continue
            probes.other_is_next = True
            return vm
        others.append(vm)
    probes.other_is_next = False
    return state.random.choice(others) if others else None


def handle_vm_probed(state: DirectState, event: VmProbed, out: Effects) -> None:
    """Handle the result of a probe; remove a VM that was silent for long."""
    probes = state.vm_probes
    probes.under_way = None
    name = event.vm.name
    if event.reached:
        if name == probes.suspect:
            probes.suspect = None
        else:
            probes.reached_at = state.now
        return
    if probes.suspect is None:
        probes.suspect = name
        probes.suspected_since = state.now
        probes.reached_at = -1.0
        probes.other_is_next = True
        return
    if name != probes.suspect:
        # More than one VM is silent, so this one may be cut off from them all.
        probes.reached_at = -1.0
        return
    if state.now - probes.suspected_since < DEPARTURE_TIMEOUT:
        return
    if probes.reached_at < 0:
        return
    probes.suspect = None
    out.append(RemoveVm(vm=event.vm))
    out.append(
        Log(
            event="vm_removed",
            fields=(
                ("removed", name),
                ("zone", event.vm.zone),
                ("silent_ms", round((state.now - probes.suspected_since) * 1000)),
            ),
            essential=True,
        )
    )
