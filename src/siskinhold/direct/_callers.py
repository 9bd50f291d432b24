"""Callers' connections: which are accepted, relayed to another VM or refused."""

import dataclasses

from ._copies import (
    HOLDERS_UNCONFIRMED_PERIOD,
    Standing,
    describe_copy,
    find_seen_version,
    is_behind,
    judge_copy,
)
from ._effects import AcceptCaller, Log, Observe, RefuseCaller, RelayCaller
from ._events import CallerMoved, CallerOpened, HoldersUnavailable, HolderVersionsSeen
from ._holders import (
    REFUSING_HOLDER_DELAY,
    UNREACHABLE_HOLDER_DELAY,
    choose_relay_targets,
    knows_vms,
)
from ._names import join_names
from ._state import DirectState, Effects, PendingCaller, Session
from ._stop_phases import SHUTDOWN, StopPhase, find_stop_phase
from ._types import Refusal, Route, VmEntry
from .accounts import (
    find_home,
    list_home_targets,
    name_account,
    note_homes,
    uses_accounts,
)

ADMISSION_TIMEOUT = 1.5
"""Seconds a caller may wait until it is admitted; callers time out after 2 s."""

FIRST_HOME_PERIOD = 1.5
"""Seconds after the start in which a caller waits for its account's home."""

MOVE_RETRY_DELAY = 0.15
"""Seconds until a caller is relayed again while the home of its account is lost: the
next holder takes over when it has missed the home's reports."""

NO_HOLDER = "no_holder"
"""Reason of the refusal of a caller that no connection holder accepts."""

MAX_QUICK_MOVES = 2
"""Times that a caller is relayed again at once after a holder named others."""


def handle_caller_opened(state: DirectState, event: CallerOpened, out: Effects) -> None:
    """Accept, relay or refuse a caller that has connected.

    While it is unknown which VM serves it, the caller waits for up to
    `ADMISSION_TIMEOUT`. Late in a shutdown it is refused at once.
    """
    caller = PendingCaller(
        database=event.database,
        at=state.now,
        relayed=event.relayed,
        terms=event.terms,
        key=event.key,
    )
    if find_stop_phase(state) >= StopPhase.INTAKE_OVER:
        _refuse_for_shutdown(state, event.session, caller, out)
        return
    if not _try_admit(state, event.session, caller, out):
        state.pending_callers[event.session] = caller


def admit_pending_callers(state: DirectState, out: Effects) -> None:
    """Accept or relay pending callers, and refuse them after `ADMISSION_TIMEOUT`."""
    for session, caller in list(state.pending_callers.items()):
        if _try_admit(state, session, caller, out):
            del state.pending_callers[session]
        elif state.now - caller.at >= ADMISSION_TIMEOUT:
            del state.pending_callers[session]
            reason = "no_home" if uses_accounts(state) else "no_configuration"
            _refuse_caller(state, session, caller, Refusal.OVERLOAD, reason, out)


def refuse_pending_callers(state: DirectState, out: Effects) -> None:
    """Refuse the callers that are neither accepted nor relayed at a shutdown."""
    for session, caller in state.pending_callers.items():
        _refuse_for_shutdown(state, session, caller, out)
    state.pending_callers.clear()


def _try_admit(
    state: DirectState, session: int, caller: PendingCaller, out: Effects
) -> bool:
    """Accept, relay or refuse a caller; return False if it has to wait."""
    if not knows_vms(state) or state.now < caller.retry_at:
        return False
    if not state.is_holder and not caller.relayed:
        targets = choose_relay_targets(state, session, caller.key)
        if targets:
            _relay_caller(state, session, caller, targets, out)
            return True
    if state.configuration is None:
        return False
    if _try_move_caller(state, session, caller, out):
        return True
    version = caller.terms.version if caller.terms is not None else 0
    standing = judge_copy(state, out, version=version)
    if standing is Standing.UNCHECKED:
        return False
    if standing is Standing.OUTDATED and not _may_serve_outdated(state, caller):
        _refuse_outdated(state, session, caller, out)
        return True
    route = find_route(state, caller.database)
    account = ""
    if route is not None and uses_accounts(state):
        account = name_account(state, caller.key)
        if not route.anonymous:
            placed = _try_place_caller(state, session, caller, account, out)
            if placed is not None:
                return placed
    _open_session(state, session, caller, account, out)
    return True


def _try_place_caller(
    state: DirectState, session: int, caller: PendingCaller, account: str, out: Effects
) -> bool | None:
    """Refuse a caller with an unknown key, or whose account has no home.

    Returns:
        None if this VM is the home; False if the caller has to wait for one.
    """
    if not account:
        out.append(Observe(metric="key_refusals_total", label="unknown_key"))
        _refuse_caller(
            state, session, caller, Refusal.DENIED, "unknown_key", out, detail="key"
        )
        return True
    home = find_home(state, account)
    if home is None:
        if state.now - state.started_at < FIRST_HOME_PERIOD:
            return False
        # While all VMs lack the store, waiting would be in vain.
        _refuse_caller(state, session, caller, Refusal.OVERLOAD, "no_home", out)
        return True
    return None


def _try_move_caller(
    state: DirectState, session: int, caller: PendingCaller, out: Effects
) -> bool:
    """Send a caller to its account's home if that is another VM, which decides."""
    route = find_route(state, caller.database)
    if route is None or route.anonymous or not uses_accounts(state):
        return False
    account = name_account(state, caller.key)
    home = find_home(state, account) if account else None
    if home is None or home.name == state.vm:
        return False
    targets = list_home_targets(state, account, home)
    if caller.relayed:
        out.append(Observe(metric="callers_moved_total"))
        names = join_names(vm.name for vm in targets)
        out.append(RefuseCaller(session=session, refusal=Refusal.MOVED, detail=names))
        return True
    _relay_caller(state, session, caller, targets, out)
    return True


def _relay_caller(
    state: DirectState,
    session: int,
    caller: PendingCaller,
    targets: list[VmEntry],
    out: Effects,
) -> None:
    """Relay a caller to the first of some holders that accepts it."""
    state.relayed[session] = caller
    since_unconfirmed = state.now - state.copy.holders_unconfirmed_at
    version = find_seen_version(state)
    if state.configuration is not None:
        version = max(version, state.configuration.version)
    out.append(
        RelayCaller(
            session=session,
            holders=tuple(targets),
            version=version,
            unconfirmed=since_unconfirmed < HOLDERS_UNCONFIRMED_PERIOD,
        )
    )


def _may_serve_outdated(state: DirectState, caller: PendingCaller) -> bool:
    """Return whether a copy that can't be confirmed may decide about a caller.

    It may serve what it allows, unless another holder may be current. A caller with a
    key is served by one VM alone, which stops doing so by itself.
    """
    version = caller.terms.version if caller.terms is not None else 0
    route = find_route(state, caller.database)
    if route is None or is_behind(state, version):
        return False
    if uses_accounts(state) and not route.anonymous:
        return bool(name_account(state, caller.key))
    return caller.terms is None or caller.terms.last


def _refuse_outdated(
    state: DirectState, session: int, caller: PendingCaller, out: Effects
) -> None:
    """Refuse a caller as not served now, or have its VM ask another holder."""
    version = caller.terms.version if caller.terms is not None else 0
    behind = is_behind(state, version)
    reason = "configuration_behind" if behind else "configuration_unconfirmed"
    refusal = Refusal.OVERLOAD if caller.terms is None else Refusal.BEHIND
    _refuse_caller(state, session, caller, refusal, reason, out, detail=reason)


def handle_versions_seen(
    state: DirectState, event: HolderVersionsSeen, out: Effects
) -> None:
    """Record which versions holders have."""
    copy = state.copy
    if event.version >= find_seen_version(state):
        copy.seen_version = event.version
        copy.seen_at = state.now
    if event.unconfirmed:
        copy.holders_unconfirmed_at = state.now


def handle_caller_moved(state: DirectState, event: CallerMoved, out: Effects) -> None:
    """Relay a caller to the VMs that a holder named, shortly later if one is lost."""
    caller = state.relayed.pop(event.session, None)
    if caller is None:
        return
    note_homes(state, caller.key, event.vms)
    lost = False
    for vm in event.vms:
        lost = lost or state.now < state.skipped_holders.get(vm, 0.0)
    delay = MOVE_RETRY_DELAY if lost or caller.moves >= MAX_QUICK_MOVES else 0.0
    caller = dataclasses.replace(
        caller, moves=caller.moves + 1, retry_at=state.now + delay
    )
    if not _try_admit(state, event.session, caller, out):
        state.pending_callers[event.session] = caller


def handle_holders_unavailable(
    state: DirectState, event: HoldersUnavailable, out: Effects
) -> None:
    """Skip unavailable holders for a while; refuse a caller that none accepted."""
    for vm in event.silent:
        _skip_holder(state, vm, "silent", UNREACHABLE_HOLDER_DELAY, out)
    for vm in event.refused:
        _skip_holder(state, vm, "refused", REFUSING_HOLDER_DELAY, out)
    caller = state.relayed.pop(event.session, None)
    if caller is not None:
        _refuse_caller(
            state,
            event.session,
            caller,
            Refusal.OVERLOAD,
            NO_HOLDER,
            out,
            detail=NO_HOLDER,
            essential=False,
        )


def _skip_holder(
    state: DirectState, vm: str, reason: str, seconds: float, out: Effects
) -> None:
    """Relay no caller to a holder for a number of seconds."""
    for name, until in list(state.skipped_holders.items()):
        if until <= state.now:
            del state.skipped_holders[name]
    state.skipped_holders[vm] = state.now + seconds
    fields = (("holder", vm), ("reason", reason))
    out.append(Log(event="holder_lost", fields=fields, essential=True))


def _open_session(
    state: DirectState, session: int, caller: PendingCaller, account: str, out: Effects
) -> None:
    """Accept a caller, or refuse it if its database has no route."""
    if find_route(state, caller.database) is None:
        _refuse_caller(state, session, caller, Refusal.NO_DATABASE, "no_route", out)
        return
    if state.shutdown_at is not None:
        state.stop_counts.callers_accepted += 1
    state.sessions[session] = Session(
        number=session,
        database=caller.database,
        account=account,
        key=caller.key,
        active_at=state.now,
        closing=find_stop_phase(state) >= StopPhase.DRAINING,
    )
    version = state.configuration.version
    out.append(AcceptCaller(session=session, version=version))


def _refuse_caller(
    state: DirectState,
    session: int,
    caller: PendingCaller,
    refusal: Refusal,
    reason: str,
    out: Effects,
    *,
    detail: str = "",
    essential: bool = True,
) -> None:
    """Refuse a caller's connection, with a log line that names the reason.

    Args:
        detail: text sent to the caller; the database by default.
    """
    if state.shutdown_at is not None:
        state.stop_counts.callers_refused += 1
    out.append(
        Log(
            event="caller_refused",
            fields=(
                ("session", session),
                ("database", caller.database),
                ("relayed", caller.relayed),
                *describe_copy(state),
                ("reason", reason),
            ),
            essential=essential,
        )
    )
    version = state.configuration.version if state.configuration is not None else 0
    out.append(
        RefuseCaller(
            session=session,
            refusal=refusal,
            detail=detail or caller.database,
            version=version,
        )
    )


def _refuse_for_shutdown(
    state: DirectState, session: int, caller: PendingCaller, out: Effects
) -> None:
    """Refuse a caller that another VM can serve; there may be many of them."""
    _refuse_caller(
        state,
        session,
        caller,
        Refusal.OVERLOAD,
        SHUTDOWN,
        out,
        detail=SHUTDOWN,
        essential=False,
    )


def find_route(state: DirectState, database: str) -> Route | None:
    """Return the route of a database name in the configuration, None without one."""
    if state.configuration is None:
        return None
    return state.configuration.routes.get(database)
