"""Callers' sessions: handling or submission of their statements."""

from ._callers import find_route
from ._copies import Standing, judge_copy
from ._dispatch import submit_job
from ._effects import Observe
from ._events import CallerClosed, CallerStatement
from ._replies import DONE, close_session, refuse, reply
from ._runs import abandon_transaction
from ._session_memory import try_hold
from ._state import DirectState, Effects, Job, JobState, Session, Transaction
from ._stop_phases import SHUTDOWN, StopPhase, find_stop_phase, limit_deadline
from ._types import Consistency, Refusal, Statement, StatementKind
from .accounts import (
    KeyFault,
    find_key_fault,
    is_key_required,
    name_account,
    uses_accounts,
)
from .rates import admit_operation, refuse_rate

ROUTED_KINDS = (
    StatementKind.BEGIN,
    StatementKind.READ,
    StatementKind.WRITE,
    StatementKind.EXECUTE,
)
"""Statements that are handled by the route of their session, outside a transaction."""


def handle_caller_closed(state: DirectState, event: CallerClosed, out: Effects) -> None:
    """Remove a caller's session and its job, and roll back its open transaction.

    A running statement is not cancelled, so that its connection stays usable; its
    transaction is rolled back when the answer arrives.
    """
    state.pending_callers.pop(event.session, None)
    state.relayed.pop(event.session, None)
    state.copy.waiting.pop(event.session, None)
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
    _handle_statement(state, session, statement, out)


def resume_statements(state: DirectState, out: Effects) -> None:
    """Handle the statements that waited for a check of the configuration."""
    waiting = state.copy.waiting
    state.copy.waiting = {}
    for number, statement in waiting.items():
        session = state.sessions.get(number)
        if session is None:
            continue
        _handle_statement(state, session, statement, out)


def _handle_statement(
    state: DirectState, session: Session, statement: Statement, out: Effects
) -> None:
    """Answer a statement, submit it, or have it wait for a check."""
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
    if transaction is None and statement.kind in ROUTED_KINDS:
        standing = judge_copy(state, out)
        if standing is Standing.UNCHECKED:
            state.copy.waiting[session.number] = statement
            return
        if standing is Standing.OUTDATED and _is_denied(state, session):
            session.closing = True
            reason = "configuration_unconfirmed"
            refuse(state, session, statement, Refusal.OVERLOAD, reason, out)
            return
    fault = find_key_fault(state, session)
    if fault is not None and statement.kind is not StatementKind.ROLLBACK:
        _refuse_account(state, session, statement, fault, out)
        return
    if transaction is None and uses_accounts(state):
        if not is_key_required(state, session):
            session.account = name_account(state, session.key)
    handler(state, session, statement, out)


def _is_denied(state: DirectState, session: Session) -> bool:
    """Return whether the configuration denies a session its route or its key."""
    if find_route(state, session.database) is None:
        return True
    return find_key_fault(state, session) is KeyFault.WITHDRAWN


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
    out.append(Observe(metric="key_refusals_total", label=reason.value))
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
    route = find_route(state, session.database)
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
    route = transaction.route if transaction else find_route(state, session.database)
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
