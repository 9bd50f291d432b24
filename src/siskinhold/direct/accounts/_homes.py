"""Choice of the connection holder that serves an account, on which all VMs agree.

An account has one home in each region: the holders of the region are ranked for it, and
the first one that runs serves the callers of that region's VMs. Holders report their
presence to each other, so that the next one takes over within a second of a loss, and
yields once the first one is back.
"""

import hashlib

from .._account_state import Presence
from .._effects import Log, ReportPresence
from .._events import PresenceHeard
from .._state import DirectState, Effects
from .._types import VmEntry
from ._keys import is_confirmed, uses_accounts

REPORT_INTERVAL = 0.25
"""Seconds between two reports of a holder's presence."""

PRESENCE_TIMEOUT = 0.9
"""Seconds without a report after which a holder counts as lost: more than three reports
in a row would have to be dropped."""

LISTENING_PERIOD = 0.4
"""Seconds after the start in which a VM only listens for the others' reports: longer
than the interval of those reports."""

SERVING_SHARE = 0.8
"""Share of the withdrawal bound within which the configuration must be confirmed for a
VM to be a home. It leaves the next holder time to take over before the bound."""


def rank_homes(state: DirectState, account: str) -> list[VmEntry]:
    """Return the holders in the order in which they are to serve this region's callers.

    Those of the region come first, and among them one of each availability zone: fewer
    homes have larger pools, which more accounts share.
    """
    accounts = state.accounts
    if accounts.ranked is not state.holders:
        if accounts.ranked != state.holders:
            accounts.ranks = {}
        accounts.ranked = state.holders
    ranked = accounts.ranks.get(account)
    if ranked is None:
        ranked = _rank_holders(state, account)
        accounts.ranks[account] = ranked
    return ranked


def _rank_holders(state: DirectState, account: str) -> list[VmEntry]:
    """Return the holders in an order of the account's own, see `rank_homes`."""
    usual = {vm.name for vm in list_likely_homes(state)}
    keyed = []
    for vm in state.holders:
        remote = state.regions.get(vm.zone) != state.region
        standby = vm.name not in usual
        keyed.append((remote, standby, _hash(f"{account}/{vm.name}"), vm))
    keyed.sort(key=lambda entry: entry[:3])
    return [entry[-1] for entry in keyed]


def list_likely_homes(state: DirectState) -> list[VmEntry]:
    """Return the holders that are homes while all run: one in each availability zone.

    If all VMs are holders, all are homes.
    """
    if len(state.holders) == len(state.vms):
        return state.holders
    found: dict[str, VmEntry] = {}
    for vm in state.holders:
        found.setdefault(vm.zone, vm)
    return list(found.values())


def find_home(state: DirectState, account: str) -> VmEntry | None:
    """Return the holder that serves an account in this region now, None without one."""
    for vm in rank_homes(state, account):
        if _is_serving(state, vm.name):
            return vm
    return None


def is_account_home(state: DirectState, account: str) -> bool:
    """Return whether this VM serves an account now."""
    home = find_home(state, account)
    return home is not None and home.name == state.vm


def _is_serving(state: DirectState, vm: str) -> bool:
    """Return whether a holder serves accounts, as far as this VM knows."""
    if vm == state.vm:
        return may_serve(state)
    return _is_heard(state, vm) and state.accounts.presences[vm].serving


def hears_majority(state: DirectState) -> bool:
    """Return whether most of the holders and this VM hear each other.

    A VM that hears the others without being heard is replaced by them.
    """
    mutual = 1
    for vm in state.holders:
        if vm.name == state.vm or not _is_heard(state, vm.name):
            continue
        mutual += state.vm in state.accounts.presences[vm.name].heard
    return 2 * mutual > len(state.holders)


def count_home_regions(state: DirectState) -> int:
    """Return the number of regions that have homes, at least one."""
    return len({state.region, *(state.regions.get(vm.zone) for vm in state.holders)})


def is_home_certain(state: DirectState, account: str) -> bool:
    """Return whether no holder that ranks before this VM is known to run.

    One that this VM does not hear may still be heard by the others.
    """
    for vm in rank_homes(state, account):
        if vm.name == state.vm:
            return True
        if not _is_heard(state, vm.name) and _is_heard_by_others(state, vm.name):
            return False
    return False


def _is_heard_by_others(state: DirectState, vm: str) -> bool:
    """Return whether another holder reported a short time ago that it hears a VM."""
    for name, presence in state.accounts.presences.items():
        if vm in presence.heard and _is_heard(state, name):
            return True
    return False


def _is_heard(state: DirectState, vm: str) -> bool:
    """Return whether a holder reported its presence a short time ago."""
    presence = state.accounts.presences.get(vm)
    return presence is not None and state.now - presence.heard_at < PRESENCE_TIMEOUT


def may_serve(state: DirectState) -> bool:
    """Return whether this VM may be a home.

    It is not while it stops, while it can't know whether keys were withdrawn, and while
    it has just started, as another VM may still serve its accounts.
    """
    if state.shutdown_at is not None or not state.is_holder or not state.servers_known:
        return False
    if not uses_accounts(state) or not is_confirmed(state, SERVING_SHARE):
        return False
    return state.now - state.started_at >= LISTENING_PERIOD


def record_presence(state: DirectState, event: PresenceHeard, out: Effects) -> None:
    """Record a report of another holder."""
    presence = state.accounts.presences.get(event.vm)
    lost = presence is None or state.now - presence.heard_at >= PRESENCE_TIMEOUT
    if lost:
        # It has to learn soon that it is heard here.
        state.accounts.reported_at = -REPORT_INTERVAL
    if lost or presence.serving != event.serving:
        fields = (("holder", event.vm), ("serving", event.serving))
        out.append(Log(event="holder_heard", fields=fields, essential=True))
    state.accounts.presences[event.vm] = Presence(
        heard_at=state.now,
        serving=event.serving,
        demands=event.demands,
        heard=frozenset(event.heard),
    )


def list_heard_demands(state: DirectState, account: str) -> list[float]:
    """Return the operations a second of an account that other holders are asked for."""
    found = []
    for vm, presence in state.accounts.presences.items():
        if account in presence.demands and _is_heard(state, vm):
            found.append(presence.demands[account])
    return found


def report_presence(
    state: DirectState, demands: dict[str, float], out: Effects
) -> bool:
    """Report this VM's presence to the other holders, at once after a change.

    Returns:
        whether it was reported now.

    Args:
        demands: operations a second of the accounts that come near their rate.
    """
    if not state.is_holder or not uses_accounts(state):
        return False
    accounts = state.accounts
    serving = may_serve(state)
    due = state.now - accounts.reported_at >= REPORT_INTERVAL
    if not due and serving == accounts.reported_serving:
        return False
    if serving != accounts.reported_serving:
        fields = (("serving", serving), ("version", state.configuration.version))
        out.append(Log(event="accounts_served", fields=fields, essential=True))
    accounts.reported_at = state.now
    accounts.reported_serving = serving
    others = tuple(vm for vm in state.holders if vm.name != state.vm)
    heard = tuple(vm.name for vm in others if _is_heard(state, vm.name))
    if others:
        out.append(
            ReportPresence(vms=others, serving=serving, demands=demands, heard=heard)
        )
    return True


def _hash(text: str) -> bytes:
    """Return a hash that is the same on every VM."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
