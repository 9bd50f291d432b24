"""Reducer of the direct core: maps events to effects."""

from ._answers import handle_backend_answer
from ._callers import (
    admit_pending_callers,
    handle_caller_moved,
    handle_caller_opened,
    handle_holders_unavailable,
    handle_versions_seen,
)
from ._claims import handle_leader_record
from ._containment import contain_failure
from ._copies import confirm_copy, end_check, is_check_overdue, judge_copy, observe_copy
from ._copy_state import NEVER
from ._departures import handle_vm_probed, probe_vms
from ._dispatch import hedge_reads, reconcile_database
from ._displacement import close_displaced_sessions
from ._effects import AnnounceReadiness, Log, RegisterVm
from ._events import (
    BackendAnswered,
    BackendLost,
    BackendOpened,
    CallerClosed,
    CallerMoved,
    CallerOpened,
    CallerStatement,
    ConfigurationChecked,
    ConfigurationConfirmed,
    ConfigurationRead,
    Event,
    HoldersUnavailable,
    HolderVersionsSeen,
    LeaderRecordAnswered,
    PresenceHeard,
    PromotionAnswered,
    ServersRead,
    ShutdownRequested,
    StoreEraBegan,
    SuspicionsAnswered,
    TimeAdvanced,
    VmProbed,
    VmsAsked,
    VmsRead,
)
from ._failover import watch_primaries
from ._holders import (
    PUBLISH_INTERVAL,
    REGISTRATIONS_PER_SECOND,
    add_lost_vms,
    knows_vms,
    publish_connection_limit,
    refresh_vms,
    register_again,
    update_holders,
    was_restored,
)
from ._inquiry import handle_vms_asked
from ._losses import expire_job
from ._promotion import handle_promotion_answer
from ._runs import abandon_transaction
from ._servers import (
    apply_servers,
    handle_backend_lost,
    handle_backend_opened,
    maintain_servers,
)
from ._sessions import handle_caller_closed, handle_statement, resume_statements
from ._shutdown import advance_shutdown, request_shutdown, stop_if_idle
from ._state import Database, DirectState, Effects, JobState
from ._stop_phases import StopPhase, find_stop_phase
from ._suspicions import handle_suspicions
from .accounts import observe_accounts, record_presence, report_presence, uses_accounts
from .pools import report_pools
from .rates import list_demands, maintain_rates, note_reported

BUSY_TICK_INTERVAL = 0.02
"""Seconds between two ticks while statements wait, or without a stable primary."""

IDLE_TICK_INTERVAL = 0.1
"""Seconds between two ticks otherwise."""

PAUSE_THRESHOLD = 0.3
"""Seconds between two events from which this VM was paused, or too slow to work: three
times the interval of ticks."""

STANDSTILL_THRESHOLD = 1.0
"""Seconds of a pause from which it is logged."""

RESUME_PERIOD = 0.05
"""Seconds after a pause in which nothing is given up: what arrived meanwhile is handled
first."""

REGISTRATION_PERIOD = 8.0
"""Seconds after the start in which a list without this VM may be too old: stale reads
are seconds behind, and the registration takes a moment."""

LEADER_DISCOVERY_TIME = 0.6
"""Usual number of seconds from the start until the primaries are known."""


def reduce(state: DirectState, event: Event) -> Effects:
    """Apply `event` to `state` and return the effects, in order.

    It neither blocks nor raises, whatever the order of events.
    """
    out: Effects = []
    if state.started_at and event.at - state.now >= PAUSE_THRESHOLD:
        _note_pause(state, event.at, out)
    state.now = max(state.now, event.at)
    state.started_at = state.started_at or state.now
    try:
        _HANDLERS[type(event)](state, event, out)
        _reconcile(state, out)
    except Exception as error:
        contain_failure(state, event, error, out)
    return out


def _note_pause(state: DirectState, at: float, out: Effects) -> None:
    """Record that this VM was paused until `at`, and postpone its periodic work.

    The work is not postponed again before it was done: a VM all of whose events come
    late would never do it.
    """
    state.resumed_at = at
    seconds = at - state.now
    if seconds >= STANDSTILL_THRESHOLD:
        state.copy.unreadable = False
        fields = (("seconds", round(seconds, 3)),)
        out.append(Log(event="standstill_ended", fields=fields, essential=True))
    if not state.tick_skipped:
        state.work_resumes_at = at + RESUME_PERIOD


def compute_tick_delay(state: DirectState) -> float:
    """Return the number of seconds until the next `TimeAdvanced` is due."""
    if find_stop_phase(state) >= StopPhase.STARTS_OVER:
        return BUSY_TICK_INTERVAL
    for database in state.databases.values():
        if database.queue or database.unconfirmed or database.promotion:
            return BUSY_TICK_INTERVAL
        if database.leader is None:
            return BUSY_TICK_INTERVAL
    return IDLE_TICK_INTERVAL


def _reconcile(state: DirectState, out: Effects) -> None:
    """Reconcile the databases that the event affected.

    That may mark databases again, so it is repeated, up to a limit; what is left then
    is done with the next event.
    """
    rounds = 0
    while state.pending_updates and rounds < 4:
        rounds += 1
        names = state.pending_updates
        state.pending_updates = set()
        for name in names:
            database = state.databases.get(name)
            if database is not None:
                reconcile_database(state, database, out)


def _apply_configuration(state: DirectState, event: ConfigurationRead, out) -> None:
    """Apply a newer configuration, then what waited for the first one."""
    configuration = event.configuration
    old = state.configuration
    if old is not None and configuration.version <= old.version:
        return
    if configuration.version < state.newest_version:
        return
    state.configuration = configuration
    state.newest_version = configuration.version
    state.copy.source = event.source
    for service in configuration.connections:
        if service not in state.databases:
            state.databases[service] = Database(
                name=service,
                leaderless_since=state.now,
                leader_expected_at=state.now + LEADER_DISCOVERY_TIME,
            )
    if configuration.connections:
        state.connections_limit = min(configuration.connections.values())
    state.pending_updates.update(state.databases)
    out.append(
        Log(
            event="configuration_applied",
            fields=(
                ("version", configuration.version),
                ("before", old.version if old is not None else 0),
                ("source", event.source.value),
                ("routes", len(configuration.routes)),
                ("accounts", len(configuration.accounts or ())),
                ("keys", len(configuration.keys)),
            ),
            essential=True,
        )
    )
    if state.deferred_servers is not None:
        apply_servers(state, state.deferred_servers, out)
        state.deferred_servers = None
    update_holders(state)
    _resume_decisions(state, out)


def _begin_era(state: DirectState, event: StoreEraBegan, out: Effects) -> None:
    """Record that the store began a new era.

    If that is not the first one, it was restored and may have lost the entry of this VM
    and the connection limit.
    """
    if event.era <= state.store_era:
        return
    if state.store_era:
        state.restored_at = state.now
        state.published_at = -PUBLISH_INTERVAL
        delay = len(state.vms) / REGISTRATIONS_PER_SECOND
        state.registers_at = state.now + state.random.uniform(0.0, delay)
    fields = (("era", event.era), ("before", state.store_era))
    out.append(Log(event="store_era_began", fields=fields, essential=True))
    state.store_era = event.era
    state.store_era_since = state.now


def _apply_vms(state: DirectState, event: VmsRead, out: Effects) -> None:
    """Apply a list of VMs, and update this VM's role as a connection holder.

    A list without this VM is ignored. Shortly after the start it predates that;
    later this VM was removed, as others could not reach it, or the store lost its entry
    in a restore, and it registers again.
    """
    if not any(vm.name == state.vm for vm in event.vms):
        old = state.now - state.started_at >= REGISTRATION_PERIOD
        if old or was_restored(state):
            out.append(RegisterVm())
            fields = (("vms", len(event.vms)),)
            out.append(Log(event="vm_registered_again", fields=fields, essential=True))
        return
    state.vms = add_lost_vms(state, event.vms)
    state.vms_known = True
    if state.configuration is None and event.connections:
        state.connections_limit = event.connections
    before = state.is_holder
    update_holders(state)
    publish_connection_limit(state, event.connections, out)
    admit_pending_callers(state, out)
    if before != state.is_holder:
        out.append(
            Log(
                event="holder_role_changed",
                fields=(
                    ("is_holder", state.is_holder),
                    ("holders", len(state.holders)),
                    ("vms", len(state.vms)),
                ),
                essential=True,
            )
        )


def _confirm_configuration(
    state: DirectState, event: ConfigurationConfirmed, out: Effects
) -> None:
    """Record that no newer configuration had been accepted before a time."""
    confirm_copy(state, event.confirmed_at, out)
    _resume_decisions(state, out)


def _handle_checked(
    state: DirectState, event: ConfigurationChecked, out: Effects
) -> None:
    """Decide what waited for a check of the configuration."""
    end_check(state, event.failed, out)
    _resume_decisions(state, out)


def _resume_decisions(state: DirectState, out: Effects) -> None:
    """Decide about the callers and statements that waited for a check."""
    if state.pending_callers:
        admit_pending_callers(state, out)
    if state.copy.waiting:
        resume_statements(state, out)


def _maintain_copy(state: DirectState, out: Effects) -> None:
    """End an overdue check, and begin one before callers have to wait for it."""
    if is_check_overdue(state):
        end_check(state, True, out)
        _resume_decisions(state, out)
    if state.is_holder and state.configuration is not None:
        if not state.copy.unreadable:
            judge_copy(state, out)
    observe_copy(state, out)


def _request_shutdown(
    state: DirectState, event: ShutdownRequested, out: Effects
) -> None:
    """Begin a graceful shutdown, in which no statement waits for a check."""
    request_shutdown(state, event, out)
    _resume_decisions(state, out)


def _hear_presence(state: DirectState, event: PresenceHeard, out: Effects) -> None:
    """Record another holder's report."""
    record_presence(state, event, out)


def _handle_caller_closed(
    state: DirectState, event: CallerClosed, out: Effects
) -> None:
    """Remove a caller's session; a shutdown may have waited for it."""
    handle_caller_closed(state, event, out)
    stop_if_idle(state, out)


def _handle_tick(state: DirectState, event: TimeAdvanced, out: Effects) -> None:
    """Do the periodic work: maintenance, failover, deadlines, hedging and shutdown.

    After a pause of this VM, the answers that arrived meanwhile are handled first: a
    statement would be given up though its result is there, and servers would count as
    unresponsive.
    """
    state.tick_skipped = state.now < state.work_resumes_at
    if state.tick_skipped:
        return
    try:
        _do_periodic_work(state, out)
    finally:
        _maintain_accounts(state, out)
        report_pools(state, out)
        advance_shutdown(state, out)
        _update_readiness(state, out)


def _maintain_accounts(state: DirectState, out: Effects) -> None:
    """Report this VM's presence, and end what it no longer serves."""
    if not uses_accounts(state):
        return
    demands = list_demands(state)
    if report_presence(state, demands, out):
        note_reported(state, demands)
    close_displaced_sessions(state, out)
    maintain_rates(state, out)
    observe_accounts(state, out)


def _do_periodic_work(state: DirectState, out: Effects) -> None:
    """Do the periodic work but for the shutdown."""
    _maintain_copy(state, out)
    maintain_servers(state, out)
    register_again(state, out)
    refresh_vms(state, out)
    watch_primaries(state, out)
    probe_vms(state, out)
    _expire_overdue(state, out)
    if state.pending_callers:
        admit_pending_callers(state, out)
    for database in state.databases.values():
        hedge_reads(state, database, out)
        busy = database.queue or database.unconfirmed
        if busy or state.now - database.last_read_at < 2.0:
            state.pending_updates.add(database.name)


def _expire_overdue(state: DirectState, out: Effects) -> None:
    """Answer overdue jobs, and abort transactions that have been idle too long."""
    if state.configuration is None:
        return
    limit = state.configuration.idle_transaction
    for session in list(state.sessions.values()):
        job = session.work
        if job is not None:
            if job.state is not JobState.ENDED and state.now >= job.deadline:
                expire_job(state, job, out)
            continue
        transaction = session.transaction
        if transaction is None or transaction.failed or transaction.connection is None:
            continue
        if state.now - transaction.active_at >= limit:
            out.append(
                Log(
                    event="transaction_idle",
                    fields=(("session", session.number),),
                    essential=True,
                )
            )
            abandon_transaction(state, transaction, out)
            transaction.failure_unreported = True


def _update_readiness(state: DirectState, out: Effects) -> None:
    """Report readiness once this VM can serve or relay callers."""
    ready = state.shutdown_at is None and knows_vms(state)
    if state.is_holder:
        ready = ready and state.configuration is not None and state.servers_known
        known = state.copy.confirmed_at > NEVER or state.copy.unreadable
        ready = ready and known
    if ready == state.ready:
        return
    state.ready = ready
    out.append(AnnounceReadiness(ready=ready))
    out.append(Log(event="readiness", fields=(("ready", ready),), essential=True))


_HANDLERS = {
    CallerOpened: handle_caller_opened,
    CallerStatement: handle_statement,
    CallerClosed: _handle_caller_closed,
    BackendOpened: handle_backend_opened,
    BackendAnswered: handle_backend_answer,
    BackendLost: handle_backend_lost,
    ConfigurationRead: _apply_configuration,
    ServersRead: apply_servers,
    VmsRead: _apply_vms,
    HoldersUnavailable: handle_holders_unavailable,
    CallerMoved: handle_caller_moved,
    ConfigurationConfirmed: _confirm_configuration,
    ConfigurationChecked: _handle_checked,
    HolderVersionsSeen: handle_versions_seen,
    PresenceHeard: _hear_presence,
    VmProbed: handle_vm_probed,
    VmsAsked: handle_vms_asked,
    LeaderRecordAnswered: handle_leader_record,
    StoreEraBegan: _begin_era,
    SuspicionsAnswered: handle_suspicions,
    PromotionAnswered: handle_promotion_answer,
    TimeAdvanced: _handle_tick,
    ShutdownRequested: _request_shutdown,
}
