"""Choice of the connection holder that serves an account, on which all VMs agree.

All holders rank the holders for an account in the same order, and the first one that
runs is its home. Holders report their presence to each other, so that the next one
takes over within a second of a loss, and yields once the first one is back.
"""

import hashlib

from .._account_state import Presence
from .._effects import Log, ReportPresence
from .._state import DirectState, Effects
from .._types import VmEntry
from ._keys import is_confirmed, uses_accounts

REPORT_INTERVAL = 0.25
"""Seconds between two reports of a holder's presence."""

PRESENCE_TIMEOUT = 0.9
"""Seconds without a report after which a holder counts as lost: more than three reports
in a row would have to be dropped."""

LISTENING_PERIOD = 0.9
"""Seconds after the start in which a VM only listens for the others' reports."""

SERVING_SHARE = 0.8
"""Share of the withdrawal bound within which the configuration must be confirmed for a
VM to be a home. It leaves the next holder time to take over before the bound."""


def rank_homes(state: DirectState, account: str) -> list[VmEntry]:
    """Return the holders in the order in which they are to serve an account.

    Those of the region with most servers come first, as most statements go there.
    """
    ranks = state.accounts.ranks
    if account not in ranks:
        ranks[account] = _compute_rank(state, account)
    return ranks[account]


def refresh_ranks(state: DirectState) -> None:
    """Drop the remembered order of holders if it no longer applies; at each tick."""
    ranked = (find_home_region(state), tuple(state.holders))
    if ranked != state.accounts.ranked:
        state.accounts.ranked = ranked
        state.accounts.ranks.clear()


def _compute_rank(state: DirectState, account: str) -> list[VmEntry]:
    """Return the holders in the order in which they are to serve an account."""
    region = state.accounts.ranked[0]
    ranked = []
    for vm in state.holders:
        remote = state.regions.get(vm.zone) != region
        ranked.append((remote, _hash(f"{account}/{vm.name}"), vm))
    ranked.sort(key=lambda entry: entry[:2])
    return [vm for _, _, vm in ranked]


def find_home_region(state: DirectState) -> str:
    """Return the region with most listed servers, the first by name of several."""
    counts: dict[str, int] = {}
    for server in state.servers.values():
        if server.gone_at is None:
            region = state.regions.get(server.entry.zone, "")
            counts[region] = counts.get(region, 0) + 1
    return min(counts, key=lambda region: (-counts[region], region), default="")


def list_likely_homes(state: DirectState) -> list[VmEntry]:
    """Return the holders that are homes while they run: those of the home region."""
    region = find_home_region(state)
    found = []
    for vm in state.holders:
        if state.regions.get(vm.zone) == region:
            found.append(vm)
    return found


def find_home(state: DirectState, account: str) -> VmEntry | None:
    """Return the holder that serves an account now, None if none is known to run."""
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


def record_presence(
    state: DirectState,
    vm: str,
    serving: bool,
    heard: tuple[str, ...],
    out: Effects,
) -> None:
    """Record a report of another holder."""
    presence = state.accounts.presences.get(vm)
    lost = presence is None or state.now - presence.heard_at >= PRESENCE_TIMEOUT
    if lost or presence.serving != serving:
        fields = (("holder", vm), ("serving", serving))
        out.append(Log(event="holder_heard", fields=fields, essential=True))
    state.accounts.presences[vm] = Presence(
        heard_at=state.now, serving=serving, heard=frozenset(heard)
    )


def report_presence(state: DirectState, out: Effects) -> None:
    """Report this VM's presence to the other holders, at once after a change."""
    if not state.is_holder or not uses_accounts(state):
        return
    accounts = state.accounts
    serving = may_serve(state)
    due = state.now - accounts.reported_at >= REPORT_INTERVAL
    if not due and serving == accounts.reported_serving:
        return
    if serving != accounts.reported_serving:
        fields = (("serving", serving), ("version", state.configuration.version))
        out.append(Log(event="accounts_served", fields=fields, essential=True))
    accounts.reported_at = state.now
    accounts.reported_serving = serving
    others = tuple(vm for vm in state.holders if vm.name != state.vm)
    heard = tuple(vm.name for vm in others if _is_heard(state, vm.name))
    if others:
        out.append(ReportPresence(vms=others, serving=serving, heard=heard))


def _hash(text: str) -> bytes:
    """Return a hash that is the same on every VM."""
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
