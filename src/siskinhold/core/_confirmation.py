"""Confirmation of writes, reads and floors before they are answered.

A write is acknowledged only after a majority of the database's instances,
queried after the primary answered, report no higher term (docs/design.md,
section 2). A read with a required position is answered only after its server,
queried after the result arrived, still reports the same term. A floor is the
minimum log position that a session's reads must see. A floor request is answered
with the primary's position, read and confirmed after the request arrived.
"""

from dataclasses import dataclass

from ..effects import Observe, SendPeer
from ..events import StatusReported
from ..messages import FloorAnswer, FloorRequest
from ..model import Acknowledge, Database, DatabaseGroup, StatementKind, UnknownReason
from ._confirmation_state import PendingConfirmations, PendingFloor
from ._health import (
    StatusQuery,
    confirm_since,
    find_primary,
    find_term_record,
    request_status,
)
from ._pools import answer, answer_unknown, dispatch_database, requeue
from ._queue import Job
from ._state import Effects, NodeState
from ._timers import TimerAction

RETRY_INTERVAL = 0.01
"""Seconds between rounds of status queries while answers wait for confirmation."""
REMOTE_QUERY_DELAY = 0.05
"""Seconds after which instances in other regions are queried as well."""

FLOOR_TIMEOUT = 2.0
"""Seconds after which a floor request is discarded; its VM repeats it."""


@dataclass(slots=True, frozen=True)
class ConfirmationRetry(TimerAction):
    """The next round of status queries for a database is due."""

    database: str


def await_confirmation(node: NodeState, job: Job, out: Effects) -> None:
    """Hold the answer of a job and query the servers that can confirm it."""
    database = job.request.database
    pending = node.confirmation.databases.setdefault(database, PendingConfirmations())
    pending.jobs.append(job)
    if job.request.kind is StatementKind.READ:
        request_status(node, job.server, out)
        _schedule_retry(node, database, pending)
        return
    _query_instances(node, database, pending, out)


def _query_instances(
    node: NodeState, name: str, pending: PendingConfirmations, out: Effects
) -> None:
    """Query the instances that can confirm the pending answers.

    Replicas of other regions are queried only after `REMOTE_QUERY_DELAY`.
    """
    found = node.config.databases.get(name)
    if found is None:
        return
    since = node.now
    for job in pending.jobs:
        since = min(since, job.answered)
    for floor in pending.floors:
        since = min(since, floor.since)
    include_remote = node.now - since >= REMOTE_QUERY_DELAY
    for server in found[1].servers:
        same_region = server.region == node.identity.address.region
        primary = server.name == find_term_record(node, name).primary
        if same_region or primary or include_remote:
            request_status(node, server.name, out)
    _schedule_retry(node, name, pending)


def _schedule_retry(node: NodeState, name: str, pending: PendingConfirmations) -> None:
    """Schedule the next round of status queries unless it is scheduled."""
    if pending.retry_due:
        return
    pending.retry_due = True
    node.timers.schedule(node.now + RETRY_INTERVAL, ConfirmationRetry(name))


def _retry(node: NodeState, action: ConfirmationRetry, out: Effects) -> None:
    """Answer what is confirmed by now, and query the servers again for the rest."""
    pending = node.confirmation.databases.get(action.database)
    if pending is None:
        return
    pending.retry_due = False
    _evaluate(node, action.database, pending, out)
    if not pending.jobs and not pending.floors:
        return
    for job in pending.jobs:
        if job.request.kind is StatementKind.READ:
            request_status(node, job.server, out)
    _query_instances(node, action.database, pending, out)


def _handle_status_report(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    """Answer what a status report confirms, and dispatch the database's jobs."""
    health = node.health.servers.get(query.server)
    if health is None:
        return
    pending = node.confirmation.databases.get(health.database)
    if pending is not None:
        _evaluate(node, health.database, pending, out)
    dispatch_database(node, health.database, out)


def _evaluate(
    node: NodeState, name: str, pending: PendingConfirmations, out: Effects
) -> None:
    """Answer, retry or fail pending jobs and floors; keep those not yet decided."""
    found = node.config.databases.get(name)
    if found is None:
        return
    _evaluate_floors(node, found[1], pending, out)
    jobs = pending.jobs
    pending.jobs = []
    for job in jobs:
        if node.pools.jobs.get(job.id) is not job:
            continue
        if job.request.kind is StatementKind.READ:
            done = _evaluate_read(node, job, out)
        else:
            done = _evaluate_write(node, found, job, out)
        if not done:
            pending.jobs.append(job)


def _evaluate_read(node: NodeState, job: Job, out: Effects) -> bool:
    """Answer or retry a read; return whether its outcome is decided."""
    health = node.health.servers.get(job.server)
    if health is None or health.status is None:
        return _retry_read(node, job, out)
    if health.started < job.answered:
        if health.failures:
            return _retry_read(node, job, out)
        return False
    if health.status.term != job.term:
        return _retry_read(node, job, out)
    answer(node, job, job.outcome, out)
    return True


def _retry_read(node: NodeState, job: Job, out: Effects) -> bool:
    """Run a read again, or answer it as unknown if it can't be; return True."""
    job.may_have_run = True
    if not requeue(node, job, out, cause="server_term_changed"):
        answer_unknown(node, job, UnknownReason.TERM_NOT_CONFIRMED, out)
    return True


def _evaluate_write(
    node: NodeState, found: tuple[DatabaseGroup, Database], job: Job, out: Effects
) -> bool:
    """Answer, retry or fail a write; return whether its outcome is decided."""
    group, database = found
    position = job.position
    if position is None or position.term != job.term:
        return _fail_unconfirmed(node, job, out)
    if find_term_record(node, database.name).term > job.term:
        return _fail_unconfirmed(node, job, out)
    needs_replica = group.rules.acknowledge is Acknowledge.REPLICA
    confirmed = confirm_since(
        node,
        database,
        job.answered,
        term=job.term,
        position=position if needs_replica else None,
    )
    if not confirmed:
        return False
    out.append(Observe(metric="confirmation_seconds", value=node.now - job.answered))
    answer(node, job, job.outcome, out, position=position)
    return True


def _fail_unconfirmed(node: NodeState, job: Job, out: Effects) -> bool:
    """Retry or fail a write whose term ended before it was confirmed; return True.

    A keyed statement outside a transaction is run again: its key shows whether
    the new primary already holds the write. Any other outcome is unknown.
    """
    job.may_have_run = True
    keyed = job.request.marks.key and job.request.transaction is None
    if keyed and requeue(node, job, out, cause="term_not_confirmed"):
        return True
    answer_unknown(node, job, UnknownReason.TERM_NOT_CONFIRMED, out)
    return True


def _handle_floor_request(node: NodeState, event, out: Effects) -> None:
    """Hold a floor request until the primary's position is confirmed.

    If this VM does not poll the database's servers, it answers without a position.
    """
    message = event.envelope.message
    if message.database not in node.health.databases:
        failure = FloorAnswer(
            database=message.database, sequence=message.sequence, position=None
        )
        out.append(SendPeer(vm=event.envelope.sender, message=failure))
        return
    pending = node.confirmation.databases.setdefault(
        message.database, PendingConfirmations()
    )
    pending.floors.append(
        PendingFloor(
            vm=event.envelope.sender, sequence=message.sequence, since=node.now
        )
    )
    _query_instances(node, message.database, pending, out)


def _evaluate_floors(
    node: NodeState, database: Database, pending: PendingConfirmations, out: Effects
) -> None:
    """Answer confirmed floor requests, and discard those after `FLOOR_TIMEOUT`."""
    primary = find_primary(node, database.name)
    floors = pending.floors
    pending.floors = []
    for floor in floors:
        if primary is None or not confirm_since(
            node, database, floor.since, term=primary.status.term
        ):
            if node.now - floor.since < FLOOR_TIMEOUT:
                pending.floors.append(floor)
            continue
        message = FloorAnswer(
            database=database.name,
            sequence=floor.sequence,
            position=primary.status.position,
        )
        out.append(SendPeer(vm=floor.vm, message=message))


EVENTS: dict = {}
MESSAGES = {FloorRequest: _handle_floor_request}
TIMERS = {ConfirmationRetry: _retry}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {StatusQuery: _handle_status_report}
