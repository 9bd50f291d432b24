"""Placement or refusal of waiting jobs, hedging, and release of proved answers."""

from ._effects import Log, Observe
from ._evidence import can_prove, find_confirmed_time, request_proof
from ._hedging import list_overdue_reads
from ._placement import find_required_position, list_candidates, postpone_next_trial
from ._queue import NO_PROOF, QUEUE_FULL, find_latest_end, list_unservable, order_queue
from ._replies import end_job
from ._results import deliver_result
from ._runs import begin_job, fail_job, fail_transaction, run_statement
from ._server_state import Server
from ._state import Database, DirectState, Effects, Job, JobState
from ._stop_phases import SHUTDOWN, StopPhase, find_stop_phase
from ._switchover import record_overload
from ._types import Answer, Refusal
from ._write_proof import is_write_proved, request_write_proof
from .pools import find_idle_connection, grow_pool, has_pool
from .room import record_placement, was_judged

FLOOR_REFRESH_INTERVAL = 0.6
"""Age of the newest floor, in seconds, at which a new one is requested while reads
arrive that a replica may serve: under half of the smallest staleness bound in use."""

LAGGING_FLOOR_REFRESH_INTERVAL = 0.2
"""The same while replicas lag: with more floors, each read requires a position that is
hardly newer than its bound demands."""

LAGGING_PERIOD = 3.0
"""Seconds for which a database counts as lagging after a replica's refusal."""


def submit_job(state: DirectState, job: Job, out: Effects) -> None:
    """Run a job on its transaction's connection, or queue it for a free one.

    It fails at once if its database is unknown, if it commits writes whose outcome
    could not be proved, or if a shutdown leaves it no time.
    """
    job.session.work = job
    if find_stop_phase(state) >= StopPhase.STARTS_OVER:
        fail_job(state, job, Refusal.OVERLOAD, SHUTDOWN, out)
        return
    transaction = job.session.transaction
    database = state.databases.get(job.route.service)
    if transaction is not None and transaction.connection is not None:
        if job.commits and transaction.wrote and not can_prove(state, database):
            # Aborting is safe now; a commit without proof would end in doubt.
            fail_transaction(state, job, NO_PROOF, out)
            return
        run_statement(state, job, transaction.connection, out)
        return
    if database is None:
        fail_job(state, job, Refusal.OVERLOAD, "no_servers", out)
        return
    if not job.leader_only:
        database.last_read_at = state.now
    job.latest_end = find_latest_end(state, database, job)
    database.queue.append(job)
    state.pending_updates.add(database.name)


def reconcile_database(state: DirectState, database: Database, out: Effects) -> None:
    """Release proved answers, place or refuse waiting jobs, and request proof.

    Called after every event that may have changed the state of the database's servers
    or jobs.
    """
    _resolve_unconfirmed(state, database, out)
    if database.queue:
        _refuse_or_place_jobs(state, database, out)
    if not database.queue:
        database.queued_since = state.now
    _request_proof_and_floors(state, database, out)


def _refuse_or_place_jobs(state: DirectState, database: Database, out: Effects) -> None:
    """Refuse jobs that can't be served in time, then send those that can run now.

    Shortly before the end of a shutdown all are refused.
    """
    if find_stop_phase(state) >= StopPhase.STARTS_OVER:
        queue, database.queue = database.queue, []
        for job in queue:
            fail_job(state, job, Refusal.OVERLOAD, SHUTDOWN, out)
        return
    for job, reason, wait in list_unservable(state, database):
        database.queue.remove(job)
        if reason == QUEUE_FULL:
            record_overload(state, database)
        detail = f"{reason} retry_after_ms={round(wait * 1000)}"
        fail_job(state, job, Refusal.OVERLOAD, reason, out, detail=detail)
    if not database.queue:
        return
    kept = []
    for job in order_queue(database.queue):
        job.admitted = True
        if not _try_place_job(state, database, job, out):
            kept.append(job)
    database.queue = kept


def _try_place_job(
    state: DirectState, database: Database, job: Job, out: Effects
) -> bool:
    """Send a waiting job if a connection is free; return whether it was sent.

    If all candidates lack an idle connection, one more is opened for a later attempt.
    """
    after = None
    if not job.leader_only:
        after = find_required_position(database, job)
        if after is None:
            return False
    full = []
    for server in list_candidates(state, database, job, after):
        connection = find_idle_connection(state, server, job.session)
        if connection is None:
            full.append(server)
            continue
        if full and _needs_connections(state, full[0], job):
            # Without new connections it would stay unused.
            grow_pool(state, full[0], out, job.session.account, replace=False)
        postpone_next_trial(state, server, after)
        record_placement(state, server, out)
        database.starts.record(job.route.priority, state.now)
        begin_job(state, job, connection, after, out)
        return True
    for server in full:
        if grow_pool(state, server, out, job.session.account):
            break
    return False


def _needs_connections(state: DirectState, server: Server, job: Job) -> bool:
    """Return whether a server lost its connections, or those of a slow period."""
    if was_judged(state, server):
        return True
    return not has_pool(server, job.session.account)


def hedge_reads(state: DirectState, database: Database, out: Effects) -> None:
    """Send overdue reads a second time, preferably to another server.

    If no connection is free for a read, one more is opened.
    """
    if find_stop_phase(state) >= StopPhase.STARTS_OVER:
        return
    for job in list_overdue_reads(state, database):
        first = job.connections[0]
        after = None
        if not job.leader_only:
            after = find_required_position(database, job)
            if after is None:
                continue
        candidates = list_candidates(state, database, job, after)
        others = [server for server in candidates if server is not first.server]
        if first.server in candidates:
            others.append(first.server)
        for server in others:
            connection = find_idle_connection(state, server, job.session)
            if connection is None:
                continue
            job.hedged = True
            database.hedge_budget -= 1
            run_statement(state, job, connection, out, after)
            out.append(
                Log(
                    event="hedged",
                    fields=(
                        ("request", job.statement.request),
                        ("first", first.server.entry.server),
                        ("second", server.entry.server),
                        ("usual_ms", round(first.server.service_time * 1000)),
                    ),
                )
            )
            out.append(Observe(metric="hedges_total"))
            break
        if not job.hedged and others:
            grow_pool(state, others[0], out, job.session.account, replace=False)


def _resolve_unconfirmed(state: DirectState, database: Database, out: Effects) -> None:
    """Deliver proved answers, and discard those of a primary that was replaced."""
    if not database.unconfirmed:
        return
    leader = database.leader
    if leader is None:
        return
    confirmed_at = find_confirmed_time(state, database)
    waiting = database.unconfirmed
    database.unconfirmed = []
    for job in waiting:
        if job.state is not JobState.UNCONFIRMED:
            continue
        answer = job.answer
        same = leader.server == job.server and answer.position.term <= leader.term
        if job.proof_strict:
            same = same and answer.position.term == leader.term
        if not same:
            _reject_unconfirmed(state, job, out)
        elif _is_proved(state, database, job, confirmed_at):
            out.append(
                Observe(
                    metric="confirmation_seconds",
                    value=max(0.0, state.now - job.proof_since),
                )
            )
            deliver_result(state, job, answer, out)
        else:
            database.unconfirmed.append(job)


def _is_proved(
    state: DirectState, database: Database, job: Job, confirmed_at: float
) -> bool:
    """Return whether the primary is proved to have led for a job."""
    if job.proof_strict:
        return is_write_proved(state, database, job.answer.position, job.proof_since)
    return confirmed_at >= job.proof_since


def _reject_unconfirmed(state: DirectState, job: Job, out: Effects) -> None:
    """Discard the answer of a replaced primary.

    A commit or a single write is answered as in doubt, any other statement of a
    transaction aborts it, and a single read is queued again.
    """
    transaction = job.session.transaction
    if job.writes and (job.commits or transaction is None):
        job.session.transaction = None
        end_job(
            state,
            job,
            Answer(refusal=Refusal.IN_DOUBT, detail="primary replaced"),
            "unproved",
            out,
        )
        return
    if transaction is not None:
        fail_transaction(state, job, "unproved", out)
        return
    job.answer = None
    job.connections = []
    database = state.databases[job.route.service]
    job.state = JobState.QUEUED
    database.queue.append(job)
    state.pending_updates.add(database.name)


def _request_proof_and_floors(
    state: DirectState, database: Database, out: Effects
) -> None:
    """Request proof for the unconfirmed answers, and a new floor for recent reads."""
    reads_since = -1.0
    last_write = None
    oldest_write = state.now
    for job in database.unconfirmed:
        if not job.proof_strict:
            reads_since = max(reads_since, job.proof_since)
            continue
        oldest_write = min(oldest_write, job.proof_since)
        if last_write is None or job.proof_since >= last_write.proof_since:
            last_write = job
    if database.leader is not None and reads_since >= 0:
        request_proof(state, database, reads_since, out)
    if database.leader is not None and last_write is not None:
        position, since = last_write.answer.position, last_write.proof_since
        request_write_proof(state, database, position, since, oldest_write, out)
    refresh = FLOOR_REFRESH_INTERVAL
    if state.now - database.lagging_seen_at < LAGGING_PERIOD:
        refresh = LAGGING_FLOOR_REFRESH_INTERVAL
    # Without recent reads the floors are not refreshed; the first one is always needed.
    if state.now - database.last_read_at > 2 * refresh and database.floors:
        return
    if database.leader is None:
        return
    newest = database.floors[-1].at if database.floors else -1.0
    if state.now - newest < refresh:
        return
    # Answers to the last round of requests may still be under way.
    if state.now - database.positions_requested_at < refresh / 4:
        return
    database.positions_requested_at = state.now
    # Servers that showed their position recently are not queried again.
    request_proof(state, database, state.now - refresh / 2, out, leader_too=True)
