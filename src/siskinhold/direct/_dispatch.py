"""Waiting statements: placing them, proving their answers, running them again."""

from ._connections import adopt_session, find_idle, open_more
from ._effects import Log, Observe
from ._evidence import STORE_FAILED_TIME, ask_positions, can_prove, find_confirmed
from ._hedging import list_overdue
from ._placement import find_need, list_candidates, note_trial
from ._queue import NO_PROOF, estimate_leader, list_hopeless, order_queue
from ._replies import end_work
from ._results import deliver_result
from ._runs import begin_work, fail_transaction, fail_work, run_statement
from ._state import Database, DirectState, Effects, Work, WorkState
from ._types import Answer, Refusal

FLOOR_REFRESH = 0.6
"""Seconds between two rounds for a new floor while reads with bounded staleness
arrive: under half of the smallest bound in use."""

FLOOR_REFRESH_LAGGING = 0.2
"""The same while replicas lag, so that reads need no newer data than they must."""

LAGGING_MEMORY = 3.0
"""Seconds for which a database counts as lagging after such an answer."""


def start_work(state: DirectState, work: Work, out: Effects) -> None:
    """Run a statement as soon as a connection is free for it."""
    work.session.work = work
    transaction = work.session.transaction
    database = state.databases.get(work.route.service)
    if transaction is not None and transaction.connection is not None:
        if work.commits and transaction.wrote and not can_prove(state, database):
            # Its outcome would stay in doubt; nothing is kept of it so far.
            fail_transaction(state, work, NO_PROOF, out)
            return
        run_statement(state, work, transaction.connection, out)
        return
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
        if reason == NO_PROOF:
            wait = STORE_FAILED_TIME
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
    for server in list_candidates(state, database, work, after):
        connection = find_idle(state, server, work.session)
        if connection is None:
            full.append(server)
            continue
        note_trial(state, server, after)
        begin_work(state, work, connection, after, out)
        return True
    for server in full:
        if open_more(state, server, out):
            break
    return False


def hedge_reads(state: DirectState, database: Database, out: Effects) -> None:
    """Send reads whose answer is overdue to another server or on another connection."""
    for work in list_overdue(state, database):
        first = work.connections[0]
        after = None
        if not work.leader_only:
            after = find_need(database, work)
            if after is None:
                continue
        candidates = list_candidates(state, database, work, after)
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
            run_statement(state, work, connection, out, after)
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
            deliver_result(state, work, answer, out)
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
        fail_transaction(state, work, "unproved", out)
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
