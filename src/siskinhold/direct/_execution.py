"""Statements on their way through a backend server: sending, answers, repetition."""

from ._connections import (
    adopt_session,
    close_connection,
    find_idle,
    open_more,
    prepare_shape,
    send,
)
from ._effects import Log, Observe
from ._evidence import DropReason, ask_positions, drop_leader, find_confirmed
from ._hedging import earn_hedge, list_overdue
from ._placement import find_need, list_candidates
from ._queue import estimate_leader, list_hopeless, order_queue
from ._replies import end_work
from ._state import (
    Connection,
    Database,
    DirectState,
    Effects,
    Pending,
    Purpose,
    Server,
    Transaction,
    Work,
    WorkState,
)
from ._types import NOT_RUN, Answer, Command, CommandKind, Refusal, StatementKind

FLOOR_REFRESH = 0.6
"""Seconds between two rounds for a new floor while reads with bounded staleness
arrive: under half of the smallest bound in use."""

FLOOR_REFRESH_LAGGING = 0.2
"""The same while replicas lag, so that reads need no newer data than they must."""

LAGGING_PAUSE = 0.15
"""Seconds for which reads prefer other servers to one whose log was too short."""

LAGGING_MEMORY = 3.0
"""Seconds for which a database counts as lagging after such an answer."""

AVERAGE_WEIGHT = 0.1
"""Weight of a new value in the moving average of the service time."""


def start_work(state: DirectState, work: Work, out: Effects) -> None:
    """Run a statement as soon as a connection is free for it."""
    work.session.work = work
    transaction = work.session.transaction
    if transaction is not None and transaction.connection is not None:
        _run(state, work, transaction.connection, out)
        return
    database = state.databases.get(work.route.service)
    if database is None:
        fail_work(state, work, Refusal.OVERLOAD, "no_servers", out)
        return
    if not work.leader_only:
        database.read_at = state.now
    database.queue.append(work)
    state.unsettled.add(database.name)


def settle_database(state: DirectState, database: Database, out: Effects) -> None:
    """Place waiting statements, release proved answers, and seek missing proof."""
    _release(state, database, out)
    if database.queue:
        _dispatch(state, database, out)
    if not database.queue:
        database.queued_since = state.now
    _seek_proof(state, database, out)


def _dispatch(state: DirectState, database: Database, out: Effects) -> None:
    for work, reason in list_hopeless(state, database):
        database.queue.remove(work)
        wait = max(0.0, estimate_leader(state, database) - state.now)
        detail = f"{reason} retry_after_ms={round(wait * 1000)}"
        fail_work(state, work, Refusal.OVERLOAD, reason, out, detail=detail)
    if not database.queue:
        return
    kept = []
    for work in order_queue(database.queue):
        if not _place(state, database, work, out):
            kept.append(work)
    database.queue = kept


def _place(state: DirectState, database: Database, work: Work, out: Effects) -> bool:
    """Send a waiting statement if a connection is free; return whether it was."""
    after = None
    if not work.leader_only:
        after = find_need(database, work)
        if after is None:
            return False
    full = []
    for server in list_candidates(state, database, work):
        connection = find_idle(state, server, work.session)
        if connection is None:
            full.append(server)
            continue
        _begin(state, work, connection, after, out)
        return True
    for server in full:
        if open_more(state, server, out):
            break
    return False


def _begin(state: DirectState, work: Work, connection: Connection, after, out) -> None:
    session = work.session
    adopt_session(state, connection, session, out)
    transaction = session.transaction
    if transaction is None:
        _run(state, work, connection, out, after)
        return
    transaction.connection = connection
    connection.transaction = transaction
    work.state = WorkState.RUNNING
    work.connections = [connection]
    work.server = connection.server.entry.server
    work.attempts += 1
    kind = CommandKind.BEGIN_READ if transaction.read_only else CommandKind.BEGIN
    # The statement follows only once the transaction has begun: if it is refused,
    # a statement sent with it would run on its own.
    send(
        state,
        connection,
        Command(kind=kind, after=after if transaction.read_only else None),
        Purpose.SETUP,
        out,
        work,
    )


def _run(
    state: DirectState,
    work: Work,
    connection: Connection,
    out: Effects,
    after=None,
) -> None:
    session = work.session
    transaction = session.transaction
    statement = work.statement
    if transaction is not None:
        adopt_session(state, connection, session, out)
        if work.writes and not work.commits:
            transaction.wrote = True
    if statement.kind is StatementKind.EXECUTE:
        name = prepare_shape(state, connection, statement.writes, statement.shape, out)
        command = Command(
            kind=CommandKind.EXECUTE,
            request=statement.request,
            name=name,
            value=statement.value,
            after=after,
        )
    else:
        command = Command(
            kind=CommandKind.RUN,
            request=statement.request,
            text=statement.text,
            after=after,
        )
    work.state = WorkState.RUNNING
    work.connections.append(connection)
    work.server = connection.server.entry.server
    work.sent_at = state.now
    if transaction is None:
        work.attempts += 1
    earn_hedge(state.databases[work.route.service])
    send(state, connection, command, Purpose.WORK, out, work)


def hedge_reads(state: DirectState, database: Database, out: Effects) -> None:
    """Send reads whose answer is overdue to another server or on another connection."""
    for work in list_overdue(state, database):
        first = work.connections[0]
        after = None
        if not work.leader_only:
            after = find_need(database, work)
            if after is None:
                continue
        candidates = list_candidates(state, database, work)
        others = [server for server in candidates if server is not first.server]
        if first.server in candidates:
            others.append(first.server)
        for server in others:
            connection = find_idle(state, server, work.session)
            if connection is None:
                continue
            work.hedged = True
            database.hedges -= 1
            adopt_session(state, connection, work.session, out)
            _run(state, work, connection, out, after)
            out.append(
                Log(
                    event="hedged",
                    fields=(
                        ("request", work.statement.request),
                        ("first", first.server.entry.server),
                        ("second", server.entry.server),
                        ("usual_ms", round(first.server.service_time * 1000)),
                    ),
                )
            )
            out.append(Observe(metric="hedges_total"))
            break
        if not work.hedged and others:
            open_more(state, others[0], out)


def take_setup(
    state: DirectState, connection: Connection, pending: Pending, answer: Answer, out
) -> None:
    """Go on after the answer to a command that prepares a connection."""
    work = pending.work
    if work is None:
        if answer.refusal is not None:
            close_connection(state, connection, out, "setup_refused")
            lose_connection(state, connection, out, already_removed=True)
        return
    if work.state is WorkState.ENDED:
        finish_transaction(state, connection, out)
        return
    if answer.refusal is None:
        work.connections = []
        _run(state, work, connection, out)
        return
    connection.transaction = None
    transaction = work.session.transaction
    if transaction is not None:
        transaction.connection = None
    work.connections = []
    _note_refusal(state, connection.server, answer.refusal, out)
    _requeue(state, work, connection.server, answer.refusal.value, out)


def take_result(
    state: DirectState, connection: Connection, pending: Pending, answer: Answer, out
) -> None:
    """Take a server's answer to a caller's statement."""
    work = pending.work
    server = connection.server
    elapsed = state.now - pending.sent_at
    server.service_time += AVERAGE_WEIGHT * (elapsed - server.service_time)
    out.append(Observe(metric="service_seconds", value=elapsed))
    transaction = work.session.transaction
    in_transaction = connection.transaction is not None
    if work.state is not WorkState.RUNNING or connection not in work.connections:
        # Its caller has left or has been answered from another connection.
        if in_transaction:
            finish_transaction(state, connection, out)
        return
    if answer.refusal is not None and len(work.connections) > 1:
        work.connections.remove(connection)
        return
    if answer.refusal in NOT_RUN or answer.refusal is Refusal.NO_STATEMENT:
        _note_refusal(state, server, answer.refusal, out)
        connection.prepared.clear()
        if in_transaction:
            _fail_transaction(state, work, answer.refusal.value, out)
            return
        _drop_other_runs(state, work, connection, out)
        _requeue(state, work, server, answer.refusal.value, out)
        return
    _drop_other_runs(state, work, connection, out)
    if work.commits:
        connection.transaction = None
        if transaction is not None:
            transaction.connection = None
    elif in_transaction and answer.refusal is not None:
        transaction.failed = True
    work.server = server.entry.server
    if answer.refusal is not None:
        if work.commits:
            work.session.transaction = None
        end_work(state, work, answer, "server", out)
        return
    _finish(state, work, answer, out)


def _drop_other_runs(state, work: Work, kept: Connection, out: Effects) -> None:
    """Leave other connections that run the same read to end by themselves."""
    work.connections = [kept]


def _finish(state: DirectState, work: Work, answer: Answer, out: Effects) -> None:
    """Release a result, or hold it until the primary is proved to have led."""
    transaction = work.session.transaction
    if work.commits and transaction is not None and not transaction.wrote:
        _deliver(state, work, answer, out)
        return
    if not work.leader_only:
        _deliver(state, work, answer, out)
        return
    single_write = work.writes and transaction is None
    if single_write or work.commits:
        work.proof_from = state.now
        work.proof_strict = True
    elif transaction is not None and transaction.checked:
        _deliver(state, work, answer, out)
        return
    else:
        work.proof_from = work.since - work.route.staleness
    work.answer = answer
    work.state = WorkState.UNCONFIRMED
    database = state.databases[work.route.service]
    database.unconfirmed.append(work)
    state.unsettled.add(database.name)


def _deliver(state: DirectState, work: Work, answer: Answer, out: Effects) -> None:
    session = work.session
    transaction = session.transaction
    if transaction is not None and not work.commits:
        transaction.checked = True
    if work.commits:
        session.transaction = None
    if work.writes and answer.position is not None:
        if work.commits or transaction is None:
            if session.position is None or session.position < answer.position:
                session.position = answer.position
    end_work(state, work, answer, "server", out)


def _release(state: DirectState, database: Database, out: Effects) -> None:
    """Deliver proved answers and give up those of a primary that was replaced."""
    if not database.unconfirmed:
        return
    leader = database.leader
    if leader is None:
        return
    confirmed = {
        strict: find_confirmed(state, database, strict=strict)
        for strict in (False, True)
    }
    waiting = database.unconfirmed
    database.unconfirmed = []
    for work in waiting:
        if work.state is not WorkState.UNCONFIRMED:
            continue
        answer = work.answer
        same = leader.server == work.server and answer.position.term <= leader.term
        if work.proof_strict:
            same = same and answer.position.term == leader.term
        if not same:
            _reject_unconfirmed(state, work, out)
        elif confirmed[work.proof_strict] >= work.proof_from:
            out.append(
                Observe(
                    metric="confirmation_seconds",
                    value=max(0.0, state.now - work.proof_from),
                )
            )
            _deliver(state, work, answer, out)
        else:
            database.unconfirmed.append(work)


def _reject_unconfirmed(state: DirectState, work: Work, out: Effects) -> None:
    """Answer for a statement whose primary no longer leads."""
    transaction = work.session.transaction
    if work.writes and (work.commits or transaction is None):
        work.session.transaction = None
        end_work(
            state,
            work,
            Answer(refusal=Refusal.IN_DOUBT, detail="primary replaced"),
            "unproved",
            out,
        )
        return
    if transaction is not None:
        _fail_transaction(state, work, "unproved", out)
        return
    work.answer = None
    work.connections = []
    database = state.databases[work.route.service]
    work.state = WorkState.QUEUED
    database.queue.append(work)
    state.unsettled.add(database.name)


def _seek_proof(state: DirectState, database: Database, out: Effects) -> None:
    needed = {False: -1.0, True: -1.0}
    for work in database.unconfirmed:
        strict = work.proof_strict
        needed[strict] = max(needed[strict], work.proof_from)
    if database.leader is not None:
        for strict, since in needed.items():
            if since >= 0:
                ask_positions(state, database, since, out, strict=strict)
    refresh = FLOOR_REFRESH
    if state.now - database.lagging_at < LAGGING_MEMORY:
        refresh = FLOOR_REFRESH_LAGGING
    if state.now - database.read_at > 2 * refresh and database.floors:
        return
    if database.leader is None:
        return
    newest = database.floors[-1].at if database.floors else -1.0
    if state.now - newest < refresh:
        return
    if state.now - database.round_at < refresh / 4:
        return
    database.round_at = state.now
    ask_positions(state, database, state.now - refresh / 2, out, leader_too=True)


def _note_refusal(
    state: DirectState, server: Server, refusal: Refusal, out: Effects
) -> None:
    database = state.databases[server.entry.service]
    if refusal is Refusal.LAGGING:
        server.lagging_until = state.now + LAGGING_PAUSE
        database.lagging_at = state.now
    if refusal is Refusal.READ_ONLY and database.leader is not None:
        if database.leader.server == server.entry.server:
            drop_leader(state, database, DropReason.READ_ONLY, out)


def _requeue(
    state: DirectState, work: Work, server: Server, reason: str, out: Effects
) -> None:
    """Let a statement that had no effect wait for another server."""
    work.tried[server.entry.server] = state.now
    work.state = WorkState.QUEUED
    work.connections = []
    database = state.databases[work.route.service]
    database.queue.append(work)
    state.unsettled.add(database.name)
    out.append(
        Log(
            event="retried",
            fields=(
                ("request", work.statement.request),
                ("server", server.entry.server),
                ("attempts", work.attempts),
                ("reason", reason),
            ),
        )
    )
    out.append(Observe(metric="retries_total", label=reason))


def fail_work(
    state: DirectState,
    work: Work,
    refusal: Refusal,
    reason: str,
    out: Effects,
    *,
    detail: str = "",
) -> None:
    """Refuse a statement that did not run, ending its transaction if it has one.

    Args:
        detail: what the caller is told beside the refusal; the reason by default.
    """
    detail = detail or reason
    if work.session.transaction is not None:
        _fail_transaction(state, work, reason, out, detail=detail)
        return
    end_work(state, work, Answer(refusal=refusal, detail=detail), reason, out)


def _fail_transaction(
    state: DirectState, work: Work, reason: str, out: Effects, *, detail: str = ""
) -> None:
    """Give up a transaction before its commit; nothing of it is kept."""
    transaction = work.session.transaction
    abandon_transaction(state, transaction, out)
    if work.commits:
        work.session.transaction = None
    answer = Answer(refusal=Refusal.ABORTED, detail=detail or reason)
    end_work(state, work, answer, reason, out)


def abandon_transaction(
    state: DirectState, transaction: Transaction, out: Effects
) -> None:
    """Mark a transaction as failed and have its connection rolled back."""
    transaction.failed = True
    connection = transaction.connection
    transaction.connection = None
    if connection is not None and connection.number in state.connections:
        if connection.pending:
            close_connection(state, connection, out, "transaction_abandoned")
        else:
            finish_transaction(state, connection, out)


def finish_transaction(
    state: DirectState, connection: Connection, out: Effects
) -> None:
    """Roll back on a connection; it is free once that is answered."""
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    connection.transaction = None
    send(state, connection, Command(kind=CommandKind.ROLLBACK), Purpose.CLEANUP, out)


def lose_connection(
    state: DirectState,
    connection: Connection,
    out: Effects,
    *,
    already_removed: bool = False,
) -> None:
    """Settle what ran on a connection that has ended."""
    transaction = connection.transaction
    if transaction is not None:
        transaction.connection = None
    works = []
    for pending in connection.pending:
        if pending.work is not None and pending.work not in works:
            works.append(pending.work)
    connection.pending.clear()
    for work in works:
        _lose_run(state, work, connection, out)
    if transaction is not None and not transaction.failed:
        session = transaction.session
        if session.transaction is transaction and session.work is None:
            transaction.failed = True
            transaction.untold = True


def _lose_run(
    state: DirectState, work: Work, connection: Connection, out: Effects
) -> None:
    if work.state is not WorkState.RUNNING:
        return
    if connection in work.connections:
        work.connections.remove(connection)
    if work.connections:
        return
    transaction = work.session.transaction
    began = work.sent_at >= work.arrived_at
    if work.commits and began:
        wrote = transaction is not None and transaction.wrote
        work.session.transaction = None
        refusal = Refusal.IN_DOUBT if wrote else Refusal.ABORTED
        answer = Answer(refusal=refusal, detail="connection lost")
        end_work(state, work, answer, "connection_lost", out)
        return
    if transaction is not None:
        if not began and not transaction.checked:
            _requeue(state, work, connection.server, "connection_lost", out)
            return
        _fail_transaction(state, work, "connection_lost", out)
        return
    if work.writes:
        answer = Answer(refusal=Refusal.IN_DOUBT, detail="connection lost")
        end_work(state, work, answer, "connection_lost", out)
        return
    _requeue(state, work, connection.server, "connection_lost", out)


def expire_work(state: DirectState, work: Work, out: Effects) -> None:
    """Answer a statement whose time is up, by what may have become of it."""
    transaction = work.session.transaction
    if work.state is WorkState.QUEUED:
        database = state.databases.get(work.route.service)
        if database is not None and work in database.queue:
            database.queue.remove(work)
        fail_work(state, work, Refusal.OVERLOAD, "timeout_in_queue", out)
        return
    started = work.sent_at >= work.arrived_at
    in_doubt = work.writes and started and (work.commits or transaction is None)
    if work.commits and transaction is not None and not transaction.wrote:
        in_doubt = False
    for connection in work.connections:
        if work.state is WorkState.RUNNING and connection.number in state.connections:
            connection.pending.clear()
            close_connection(state, connection, out, "statement_timeout")
    if transaction is not None and not work.commits:
        _fail_transaction(state, work, "timeout", out)
        return
    if work.commits:
        work.session.transaction = None
    refusal = Refusal.IN_DOUBT if in_doubt else Refusal.TIMEOUT
    end_work(state, work, Answer(refusal=refusal, detail="timeout"), "timeout", out)
