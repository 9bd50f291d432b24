"""Callers' sessions: which statements siskinhold answers and which a server runs."""

from ._dispatch import start_work
from ._effects import CloseCaller, GreetCaller, Log, Observe, RefuseCaller, RelayCaller
from ._events import CallerClosed, CallerOpened, CallerStatement, HoldersLost
from ._holders import DOWN_TIME, REFUSED_TIME, choose_targets, knows_vms
from ._replies import DONE, refuse, reply
from ._runs import abandon_transaction
from ._state import Arrival, DirectState, Effects, Session, Transaction, Work, WorkState
from ._types import Consistency, Refusal, Route, Statement, StatementKind

GREETING_TIME = 1.5
"""Seconds for which a caller may wait for its greeting; callers give up after 2 s."""


def open_caller(state: DirectState, event: CallerOpened, out: Effects) -> None:
    """Accept or relay a caller.

    While it is not known who serves it, the caller waits for `GREETING_TIME` at most.
    """
    arrival = Arrival(database=event.database, at=state.now, relayed=event.relayed)
    if not _greet(state, event.session, arrival, out):
        state.ungreeted[event.session] = arrival


def greet_waiting(state: DirectState, out: Effects) -> None:
    """Accept or relay callers that wait, or refuse them in time."""
    for session, arrival in list(state.ungreeted.items()):
        if _greet(state, session, arrival, out):
            del state.ungreeted[session]
        elif state.now - arrival.at >= GREETING_TIME:
            del state.ungreeted[session]
            _refuse_caller(
                state,
                session,
                arrival.database,
                Refusal.OVERLOAD,
                "no_configuration",
                out,
            )


def _greet(state: DirectState, session: int, arrival: Arrival, out: Effects) -> bool:
    """Accept or relay a caller; return whether it is known who serves it."""
    if not knows_vms(state):
        return False
    if not state.holds and not arrival.relayed:
        targets = choose_targets(state, session)
        if targets:
            state.relayed.add(session)
            out.append(RelayCaller(session=session, holders=tuple(targets)))
            return True
    if state.configuration is None:
        return False
    _serve(state, session, arrival.database, out)
    return True


def lose_holders(state: DirectState, event: HoldersLost, out: Effects) -> None:
    """Pass over holders that took no caller, and refuse a caller that none took."""
    for vm in event.silent:
        _pass_over(state, vm, "silent", DOWN_TIME, out)
    for vm in event.refused:
        _pass_over(state, vm, "refused", REFUSED_TIME, out)
    if event.session in state.relayed:
        state.relayed.discard(event.session)
        out.append(
            RefuseCaller(
                session=event.session, refusal=Refusal.OVERLOAD, detail="no_holder"
            )
        )


def _pass_over(
    state: DirectState, vm: str, reason: str, seconds: float, out: Effects
) -> None:
    state.down_holders[vm] = state.now + seconds
    fields = (("holder", vm), ("reason", reason))
    out.append(Log(event="holder_lost", fields=fields, essential=True))


def _serve(state: DirectState, session: int, database: str, out: Effects) -> None:
    if _find_route(state, database) is None:
        _refuse_caller(state, session, database, Refusal.NO_DATABASE, "no_route", out)
        return
    state.sessions[session] = Session(
        number=session, database=database, active_at=state.now
    )
    out.append(GreetCaller(session=session))


def _refuse_caller(
    state: DirectState,
    session: int,
    database: str,
    refusal: Refusal,
    reason: str,
    out: Effects,
) -> None:
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
            essential=True,
        )
    )
    out.append(RefuseCaller(session=session, refusal=refusal, detail=database))


def close_caller(state: DirectState, event: CallerClosed, out: Effects) -> None:
    """Forget a session; what it left open is rolled back."""
    state.ungreeted.pop(event.session, None)
    state.relayed.discard(event.session)
    session = state.sessions.pop(event.session, None)
    if session is None:
        return
    work = session.work
    transaction = session.transaction
    if work is not None:
        # A statement under way ends by itself, so that its connection stays usable.
        database = state.databases.get(work.route.service)
        if database is not None and work in database.queue:
            database.queue.remove(work)
        if database is not None and work in database.unconfirmed:
            database.unconfirmed.remove(work)
        running = work.state is WorkState.RUNNING
        work.state = WorkState.ENDED
        session.work = None
        if running:
            return
    if transaction is not None and not transaction.failed:
        abandon_transaction(state, transaction, out)


def take_statement(state: DirectState, event: CallerStatement, out: Effects) -> None:
    """Answer a statement, or have a server run it."""
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
            _take_after_failure(state, session, statement, out)
            return
    handler = _HANDLERS.get(statement.kind)
    if handler is None:
        refuse(state, session, statement, Refusal.MALFORMED, "malformed", out)
        return
    handler(state, session, statement, out)


def _take_after_failure(state, session: Session, statement: Statement, out) -> None:
    """Let a failed transaction be ended, and refuse anything else."""
    if statement.kind is StatementKind.ROLLBACK:
        session.transaction = None
        reply(state, session, DONE, out)
        return
    if statement.kind is StatementKind.COMMIT:
        session.transaction = None
        refuse(state, session, statement, Refusal.ABORTED, "transaction_failed", out)
        return
    transaction = session.transaction
    if transaction.untold:
        transaction.untold = False
        refuse(state, session, statement, Refusal.ABORTED, "transaction_failed", out)
        return
    refuse(state, session, statement, Refusal.MALFORMED, "transaction_failed", out)


def _begin(state, session: Session, statement: Statement, out: Effects) -> None:
    if session.transaction is not None:
        refuse(state, session, statement, Refusal.MALFORMED, "nested_begin", out)
        return
    route = _find_route(state, session.database)
    if route is None:
        refuse(state, session, statement, Refusal.NO_DATABASE, "no_route", out)
        return
    session.transaction = Transaction(
        session=session,
        route=route,
        read_only=statement.read_only,
        began_at=state.now,
        active_at=state.now,
    )
    reply(state, session, DONE, out)


def _commit(state, session: Session, statement: Statement, out: Effects) -> None:
    if session.transaction is None:
        refuse(state, session, statement, Refusal.MALFORMED, "no_transaction", out)
        return
    _start(state, session, statement, out, writes=True, commits=True)


def _rollback(state, session: Session, statement: Statement, out: Effects) -> None:
    transaction = session.transaction
    if transaction is not None:
        abandon_transaction(state, transaction, out)
        session.transaction = None
    reply(state, session, DONE, out)


def _read(state, session: Session, statement: Statement, out: Effects) -> None:
    _start(state, session, statement, out)


def _write(state, session: Session, statement: Statement, out: Effects) -> None:
    _start(state, session, statement, out, writes=True)


def _set(state, session: Session, statement: Statement, out: Effects) -> None:
    session.values[statement.name] = statement.value
    reply(state, session, DONE, out)


def _prepare(state, session: Session, statement: Statement, out: Effects) -> None:
    session.prepared[statement.name] = (statement.writes, statement.shape)
    reply(state, session, DONE, out)


def _deallocate(state, session: Session, statement: Statement, out: Effects) -> None:
    if session.prepared.pop(statement.name, None) is None:
        refuse(state, session, statement, Refusal.NO_STATEMENT, "not_prepared", out)
        return
    reply(state, session, DONE, out)


def _execute(state, session: Session, statement: Statement, out: Effects) -> None:
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
    _start(state, session, resolved, out, writes=writes)


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


def _start(
    state: DirectState,
    session: Session,
    statement: Statement,
    out: Effects,
    *,
    writes: bool = False,
    commits: bool = False,
) -> None:
    transaction = session.transaction
    route = transaction.route if transaction else _find_route(state, session.database)
    if route is None:
        refuse(state, session, statement, Refusal.NO_DATABASE, "no_route", out)
        return
    leader_only = route.consistency is Consistency.PRIMARY
    if transaction is None:
        leader_only |= writes
    else:
        leader_only |= not transaction.read_only
    work = Work(
        session=session,
        statement=statement,
        route=route,
        arrived_at=state.now,
        since=transaction.began_at if transaction else state.now,
        deadline=state.now + route.timeout,
        writes=writes,
        commits=commits,
        leader_only=leader_only,
    )
    start_work(state, work, out)


def _find_route(state: DirectState, database: str) -> Route | None:
    if state.configuration is None:
        return None
    return state.configuration.routes.get(database)


def close_idle(state: DirectState, session: Session, out: Effects) -> None:
    """Close a session that has nothing open; the caller takes that as no failure."""
    state.sessions.pop(session.number, None)
    out.append(CloseCaller(session=session.number))
