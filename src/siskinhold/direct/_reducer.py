"""The reducer of the direct core: events in, effects out."""

from ._claims import take_record
from ._dispatch import hedge_reads, settle_database
from ._effects import AnnounceReadiness, Log
from ._events import (
    BackendAnswered,
    BackendLost,
    BackendOpened,
    CallerClosed,
    CallerOpened,
    CallerStatement,
    ConfigurationRead,
    Event,
    HoldersLost,
    LeaderRecordAnswered,
    PromotionAnswered,
    ServersRead,
    ShutdownRequested,
    SuspicionsAnswered,
    TimeAdvanced,
    VmsRead,
)
from ._failover import take_suspicions, watch_primaries
from ._holders import knows_vms, publish_connections, update_holding
from ._losses import expire_work
from ._promotion import take_order
from ._runs import abandon_transaction
from ._servers import (
    maintain_servers,
    take_answer,
    take_lost,
    take_opened,
    take_servers,
)
from ._sessions import (
    close_caller,
    greet_waiting,
    lose_holders,
    open_caller,
    take_statement,
)
from ._shutdown import advance_shutdown, request_shutdown
from ._state import Database, DirectState, Effects, WorkState

TICK_BUSY = 0.02
"""Seconds between two ticks while statements wait or a promotion is under way."""

TICK_CALM = 0.1
"""Seconds between two ticks otherwise."""

START_TIME = 0.6
"""Seconds from the start until primaries are known, as a rule."""


def reduce(state: DirectState, event: Event) -> Effects:
    """Change `state` for `event` and return the effects, in order.

    It neither blocks nor fails for any order of events.
    """
    out: Effects = []
    state.now = max(state.now, event.at)
    state.started_at = state.started_at or state.now
    _HANDLERS[type(event)](state, event, out)
    _settle(state, out)
    return out


def find_tick(state: DirectState) -> float:
    """Return in how many seconds `TimeAdvanced` is due."""
    for database in state.databases.values():
        if database.queue or database.unconfirmed or database.promotion:
            return TICK_BUSY
        if database.leader is None:
            return TICK_BUSY
    return TICK_CALM


def _settle(state: DirectState, out: Effects) -> None:
    """Look at databases whose waiting statements may have become servable."""
    rounds = 0
    while state.unsettled and rounds < 4:
        rounds += 1
        names = state.unsettled
        state.unsettled = set()
        for name in names:
            database = state.databases.get(name)
            if database is not None:
                settle_database(state, database, out)


def _take_configuration(state: DirectState, event: ConfigurationRead, out) -> None:
    configuration = event.configuration
    old = state.configuration
    if old is not None and configuration.version <= old.version:
        return
    state.configuration = configuration
    for service in configuration.connections:
        if service not in state.databases:
            state.databases[service] = Database(
                name=service,
                leaderless_at=state.now,
                expected_at=state.now + START_TIME,
            )
    if configuration.connections:
        state.connections_limit = min(configuration.connections.values())
    state.unsettled.update(state.databases)
    out.append(
        Log(
            event="configuration_applied",
            fields=(
                ("version", configuration.version),
                ("before", old.version if old is not None else 0),
                ("routes", len(configuration.routes)),
            ),
            essential=True,
        )
    )
    if state.early_servers is not None:
        take_servers(state, state.early_servers, out)
        state.early_servers = None
    update_holding(state)
    greet_waiting(state, out)


def _take_vms(state: DirectState, event: VmsRead, out: Effects) -> None:
    if not any(vm.name == state.vm for vm in event.vms):
        # The list may be seconds old; one without this VM is older than its start.
        return
    state.vms = event.vms
    state.vms_known = True
    if state.configuration is None:
        state.connections_limit = event.connections
    before = state.holds
    update_holding(state)
    publish_connections(state, event.connections, out)
    greet_waiting(state, out)
    if before != state.holds:
        out.append(
            Log(
                event="holding",
                fields=(
                    ("holds", state.holds),
                    ("holders", len(state.holders)),
                    ("vms", len(state.vms)),
                ),
                essential=True,
            )
        )


def _tick(state: DirectState, event: TimeAdvanced, out: Effects) -> None:
    maintain_servers(state, out)
    watch_primaries(state, out)
    _expire(state, out)
    if state.ungreeted:
        greet_waiting(state, out)
    for database in state.databases.values():
        hedge_reads(state, database, out)
        busy = database.queue or database.unconfirmed
        if busy or state.now - database.read_at < 2.0:
            state.unsettled.add(database.name)
    advance_shutdown(state, out)
    _announce(state, out)


def _expire(state: DirectState, out: Effects) -> None:
    if state.configuration is None:
        return
    limit = state.configuration.idle_transaction
    for session in list(state.sessions.values()):
        work = session.work
        if work is not None:
            if work.state is not WorkState.ENDED and state.now >= work.deadline:
                expire_work(state, work, out)
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
            transaction.untold = True


def _announce(state: DirectState, out: Effects) -> None:
    """Report readiness once callers can be served, or relayed."""
    ready = state.leaving_at is None and knows_vms(state)
    if state.holds:
        ready = ready and state.configuration is not None and state.servers_known
    if ready == state.ready:
        return
    state.ready = ready
    out.append(AnnounceReadiness(ready=ready))
    out.append(Log(event="readiness", fields=(("ready", ready),), essential=True))


_HANDLERS = {
    CallerOpened: open_caller,
    CallerStatement: take_statement,
    CallerClosed: close_caller,
    BackendOpened: take_opened,
    BackendAnswered: take_answer,
    BackendLost: take_lost,
    ConfigurationRead: _take_configuration,
    ServersRead: take_servers,
    VmsRead: _take_vms,
    HoldersLost: lose_holders,
    LeaderRecordAnswered: take_record,
    SuspicionsAnswered: take_suspicions,
    PromotionAnswered: take_order,
    TimeAdvanced: _tick,
    ShutdownRequested: lambda state, event, out: request_shutdown(state, out),
}
