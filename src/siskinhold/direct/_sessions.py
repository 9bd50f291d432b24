"""Callers' sessions: admission, and handling or submission of their statements."""

import dataclasses

from ._dispatch import submit_job
from ._effects import AcceptCaller, Log, Observe, RefuseCaller, RelayCaller
from ._events import (
    CallerClosed,
    CallerMoved,
    CallerOpened,
    CallerStatement,
    HoldersUnavailable,
)
from ._holders import (
    REFUSING_HOLDER_DELAY,
    UNREACHABLE_HOLDER_DELAY,
    choose_relay_targets,
    knows_vms,
)
from ._replies import DONE, close_session, refuse, reply
from ._runs import abandon_transaction
from ._session_memory import try_hold
from ._state import (
    DirectState,
    Effects,
    Job,
    JobState,
    PendingCaller,
    Session,
    Transaction,
)
from ._stop_phases import SHUTDOWN, StopPhase, find_stop_phase, limit_deadline
from ._types import Consistency, Refusal, Route, Statement, StatementKind
from .accounts import (
    KeyFault,
    find_home,
    find_key_fault,
    list_home_targets,
    name_account,
    note_homes,
    uses_accounts,
)
from .rates import admit_operation, refuse_rate

ADMISSION_TIMEOUT = 1.5
"""Seconds a caller may wait until it is admitted; callers time out after 2 s."""

MOVE_RETRY_DELAY = 0.15
"""Seconds until a caller is relayed again while the home of its account is lost: the
next holder takes over when it has missed the home's reports."""

MAX_QUICK_MOVES = 2
"""Times that a caller is relayed again at once after a holder named others."""


def handle_caller_opened(state: DirectState, event: CallerOpened, out: Effects) -> None:
    """Accept, relay or refuse a caller that has connected.

    While it is unknown which VM serves it, the caller waits for up to
    `ADMISSION_TIMEOUT`. Late in a shutdown it is refused at once.
    """
    if find_stop_phase(state) >= StopPhase.INTAKE_OVER:
        _refuse_for_shutdown(state, event.session, event.database, out)
        return
    caller = PendingCaller(
        database=event.database, at=state.now, relayed=event.relayed, key=event.key
    )
    if not _try_admit(state, event.session, caller, out):
        state.pending_callers[event.session] = caller


def admit_pending_callers(state: DirectState, out: Effects) -> None:
    """Accept or relay pending callers, and refuse them after `ADMISSION_TIMEOUT`."""
    for session, caller in list(state.pending_callers.items()):
        if _try_admit(state, session, caller, out):
            del state.pending_callers[session]
        elif state.now - caller.at >= ADMISSION_TIMEOUT:
            del state.pending_callers[session]
            _refuse_caller(
                state,
                session,
                caller.database,
                Refusal.OVERLOAD,
                "no_configuration",
                out,
            )


def refuse_pending_callers(state: DirectState, out: Effects) -> None:
    """Refuse the callers that are neither accepted nor relayed at a shutdown."""
    for session, caller in state.pending_callers.items():
        _refuse_for_shutdown(state, session, caller.database, out)
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
            state.relayed[session] = caller
            out.append(RelayCaller(session=session, holders=tuple(targets)))
            return True
    if state.configuration is None:
        return False
    route = _find_route(state, caller.database)
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
    """Refuse a caller with an unknown key, or send it to its account's home.

    Returns:
        None if this VM is the home; False if the caller has to wait for one.
    """
    if not account:
        database = caller.database
        _refuse_caller(
            state, session, database, Refusal.DENIED, "unknown_key", out, detail="key"
        )
        return True
    home = find_home(state, account)
    if home is None:
        return False
    if home.name == state.vm:
        return None
    targets = list_home_targets(state, account, home)
    if caller.relayed:
        names = ",".join(vm.name for vm in targets)
        out.append(RefuseCaller(session=session, refusal=Refusal.MOVED, detail=names))
        return True
    state.relayed[session] = caller
    out.append(RelayCaller(session=session, holders=tuple(targets)))
    return True


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
    if state.relayed.pop(event.session, None) is not None:
        out.append(
            RefuseCaller(
                session=event.session, refusal=Refusal.OVERLOAD, detail="no_holder"
            )
        )


def _skip_holder(
    state: DirectState, vm: str, reason: str, seconds: float, out: Effects
) -> None:
    """Relay no caller to a holder for a number of seconds."""
    state.skipped_holders[vm] = state.now + seconds
    fields = (("holder", vm), ("reason", reason))
    out.append(Log(event="holder_lost", fields=fields, essential=True))


def _open_session(
    state: DirectState, session: int, caller: PendingCaller, account: str, out: Effects
) -> None:
    """Accept a caller, or refuse it if its database has no route."""
    database = caller.database
    if _find_route(state, database) is None:
        _refuse_caller(state, session, database, Refusal.NO_DATABASE, "no_route", out)
        return
    if state.shutdown_at is not None:
        state.stop_counts.callers_accepted += 1
    state.sessions[session] = Session(
        number=session,
        database=database,
        account=account,
        key=caller.key,
        active_at=state.now,
        closing=find_stop_phase(state) >= StopPhase.DRAINING,
    )
    out.append(AcceptCaller(session=session))


def _refuse_caller(
    state: DirectState,
    session: int,
    database: str,
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
    version = state.configuration.version if state.configuration else 0
    out.append(
        Log(
            event="caller_refused",
            fields=(
                ("session", session),
                ("database", database),
                ("configuration", version),
                ("reason", reason),
            ),
            essential=essential,
        )
    )
    detail = detail or database
    out.append(RefuseCaller(session=session, refusal=refusal, detail=detail))


def _refuse_for_shutdown(
    state: DirectState, session: int, database: str, out: Effects
) -> None:
    """Refuse a caller that another VM can serve; there may be many of them."""
    _refuse_caller(
        state,
        session,
        database,
        Refusal.OVERLOAD,
        SHUTDOWN,
        out,
        detail=SHUTDOWN,
        essential=False,
    )


def handle_caller_closed(state: DirectState, event: CallerClosed, out: Effects) -> None:
    """Remove a caller's session and its job, and roll back its open transaction.

    A running statement is not cancelled, so that its connection stays usable; its
    transaction is rolled back when the answer arrives.
    """
    state.pending_callers.pop(event.session, None)
    state.relayed.pop(event.session, None)
    session = state.sessions.pop(event.session, None)
    if session is None:
        return
    job = session.work
    transaction = session.transaction
    if job is not None:
        database = state.databases.get(job.route.service)
        if database is not None and job in database.queue:
            database.queue.remove(job)
        if database is not None and job in database.unconfirmed:
            database.unconfirmed.remove(job)
        running = job.state is JobState.RUNNING
        job.state = JobState.ENDED
        session.work = None
        if running:
            return
    if transaction is not None and not transaction.failed:
        abandon_transaction(state, transaction, out)


def handle_statement(state: DirectState, event: CallerStatement, out: Effects) -> None:
    """Answer a statement here, or submit it to a backend server."""
    session = state.sessions.get(event.session)
    if session is None:
        return
    session.active_at = state.now
    statement = event.statement
    out.append(Observe(metric="statements_total", label=statement.kind.value))
    transaction = session.transaction
    if transaction is not None:
        transaction.active_at = state.now
        if transaction.failed:
            _handle_after_failure(state, session, statement, out)
            return
    handler = _HANDLERS.get(statement.kind)
    if handler is None:
        refuse(state, session, statement, Refusal.MALFORMED, "malformed", out)
        return
    if session.account and statement.kind is not StatementKind.ROLLBACK:
        reason = find_key_fault(state, session)
        if reason is not None:
            _refuse_account(state, session, statement, reason, out)
            return
    handler(state, session, statement, out)


def _refuse_account(
    state: DirectState,
    session: Session,
    statement: Statement,
    reason: KeyFault,
    out: Effects,
) -> None:
    """Refuse a statement whose key this VM may not serve; its transaction is aborted.

    The session is closed: its caller may find another VM, or its new account.
    """
    session.closing = True
    refusal = Refusal.OVERLOAD
    if reason is KeyFault.WITHDRAWN:
        refusal = Refusal.DENIED
    transaction = session.transaction
    if transaction is not None:
        abandon_transaction(state, transaction, out)
        refusal = Refusal.ABORTED
        if statement.kind is StatementKind.COMMIT:
            session.transaction = None
    refuse(state, session, statement, refusal, reason.value, out)


def _handle_after_failure(state, session: Session, statement: Statement, out) -> None:
    """Answer a statement in a failed transaction.

    `ROLLBACK` ends it, `COMMIT` ends it as aborted, and any other statement is refused:
    as aborted if the caller has not been told of the failure yet, else as malformed.
    """
    if statement.kind is StatementKind.ROLLBACK:
        session.transaction = None
        reply(state, session, DONE, out)
        return
    if statement.kind is StatementKind.COMMIT:
        session.transaction = None
        refuse(state, session, statement, Refusal.ABORTED, "transaction_failed", out)
        return
    transaction = session.transaction
    if transaction.failure_unreported:
        transaction.failure_unreported = False
        refuse(state, session, statement, Refusal.ABORTED, "transaction_failed", out)
        return
    refuse(state, session, statement, Refusal.MALFORMED, "transaction_failed", out)


def _begin(state, session: Session, statement: Statement, out: Effects) -> None:
    """Open a transaction; its first statement chooses the connection."""
    if session.transaction is not None:
        refuse(state, session, statement, Refusal.MALFORMED, "nested_begin", out)
        return
    route = _find_route(state, session.database)
    if route is None:
        refuse(state, session, statement, Refusal.NO_DATABASE, "no_route", out)
        return
    transaction = Transaction(
        session=session,
        route=route,
        read_only=statement.read_only,
        began_at=state.now,
        active_at=state.now,
    )
    session.transaction = transaction
    stopping = find_stop_phase(state) >= StopPhase.INTAKE_OVER
    wait = None if stopping else admit_operation(state, session, route)
    if stopping or wait is not None:
        # Statements that were sent along with it must not run on their own.
        transaction.failed = True
        transaction.failure_unreported = True
    if wait is not None:
        refuse_rate(state, session, statement, wait, out)
        return
    if stopping:
        refuse(state, session, statement, Refusal.OVERLOAD, SHUTDOWN, out)
        close_session(state, session, out)
        return
    reply(state, session, DONE, out)


def _commit(state, session: Session, statement: Statement, out: Effects) -> None:
    """Submit a commit if a transaction is open."""
    if session.transaction is None:
        refuse(state, session, statement, Refusal.MALFORMED, "no_transaction", out)
        return
    _submit_statement(state, session, statement, out, writes=True, commits=True)


def _rollback(state, session: Session, statement: Statement, out: Effects) -> None:
    """Roll back the transaction, if any, and answer at once."""
    transaction = session.transaction
    if transaction is not None:
        abandon_transaction(state, transaction, out)
        session.transaction = None
    reply(state, session, DONE, out)


def _read(state, session: Session, statement: Statement, out: Effects) -> None:
    """Submit a read."""
    _submit_statement(state, session, statement, out)


def _write(state, session: Session, statement: Statement, out: Effects) -> None:
    """Submit a write."""
    _submit_statement(state, session, statement, out, writes=True)


def _set(state, session: Session, statement: Statement, out: Effects) -> None:
    """Store a session value; connections get it before the next statement."""
    old = session.values.get(statement.name)
    if not try_hold(state, session, statement.name, old, statement.value):
        refuse(state, session, statement, Refusal.OVERLOAD, "session_too_large", out)
        return
    session.values[statement.name] = statement.value
    reply(state, session, DONE, out, ends_session=False)


def _prepare(state, session: Session, statement: Statement, out: Effects) -> None:
    """Store a prepared statement; a connection prepares it when it is executed."""
    _, old = session.prepared.get(statement.name, (False, None))
    if not try_hold(state, session, statement.name, old, statement.shape):
        refuse(state, session, statement, Refusal.OVERLOAD, "session_too_large", out)
        return
    session.prepared[statement.name] = (statement.writes, statement.shape)
    reply(state, session, DONE, out, ends_session=False)


def _deallocate(state, session: Session, statement: Statement, out: Effects) -> None:
    """Remove a prepared statement from the session."""
    prepared = session.prepared.pop(statement.name, None)
    if prepared is None:
        refuse(state, session, statement, Refusal.NO_STATEMENT, "not_prepared", out)
        return
    try_hold(state, session, statement.name, prepared[1], None)
    reply(state, session, DONE, out, ends_session=False)


def _execute(state, session: Session, statement: Statement, out: Effects) -> None:
    """Submit the execution of one of the session's prepared statements."""
    prepared = session.prepared.get(statement.name)
    if prepared is None:
        refuse(state, session, statement, Refusal.NO_STATEMENT, "not_prepared", out)
        return
    writes, shape = prepared
    resolved = Statement(
        request=statement.request,
        kind=statement.kind,
        text=statement.text,
        name=statement.name,
        value=statement.value,
        shape=shape,
        writes=writes,
    )
    _submit_statement(state, session, resolved, out, writes=writes)


_HANDLERS = {
    StatementKind.BEGIN: _begin,
    StatementKind.COMMIT: _commit,
    StatementKind.ROLLBACK: _rollback,
    StatementKind.READ: _read,
    StatementKind.WRITE: _write,
    StatementKind.SET: _set,
    StatementKind.PREPARE: _prepare,
    StatementKind.EXECUTE: _execute,
    StatementKind.DEALLOCATE: _deallocate,
}


def _submit_statement(
    state: DirectState,
    session: Session,
    statement: Statement,
    out: Effects,
    *,
    writes: bool = False,
    commits: bool = False,
) -> None:
    """Submit a statement as a job.

    Only the primary may run it if the route demands that, if it is in a transaction
    that may write, or if it is a single write.
    """
    transaction = session.transaction
    route = transaction.route if transaction else _find_route(state, session.database)
    if route is None:
        refuse(state, session, statement, Refusal.NO_DATABASE, "no_route", out)
        return
    if transaction is None:
        wait = admit_operation(state, session, route)
        if wait is not None:
            refuse_rate(state, session, statement, wait, out)
            return
    leader_only = route.consistency is Consistency.PRIMARY
    if transaction is None:
        leader_only |= writes
    else:
        leader_only |= not transaction.read_only
    job = Job(
        session=session,
        statement=statement,
        route=route,
        arrived_at=state.now,
        since=transaction.began_at if transaction else state.now,
        deadline=limit_deadline(state, state.now + route.timeout),
        writes=writes,
        commits=commits,
        leader_only=leader_only,
    )
    submit_job(state, job, out)


def _find_route(state: DirectState, database: str) -> Route | None:
    """Return the route of a database name in the configuration, None without one."""
    if state.configuration is None:
        return None
    return state.configuration.routes.get(database)
