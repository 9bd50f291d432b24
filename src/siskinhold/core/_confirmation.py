"""When an answer may leave: confirmation of writes, reads and floors.

A write is acknowledged only after a majority of the database's instances,
asked after the primary answered, report no higher term (docs/design.md,
section 2). A read with a required position is released only after its server,
asked after the answer, still reports the term it had before. A floor is the
primary's position, read and confirmed after the request for it.
"""

from dataclasses import dataclass

from ..effects import Observe, SendPeer
from ..events import StatusReported
from ..messages import FloorAnswer, FloorRequest
from ..model import Acknowledge, Database, DatabaseGroup, StatementKind, UnknownReason
from ._confirmation_state import Floor, Waiting
from ._health import (
    StatusQuery,
    confirm_since,
    find_primary,
    find_record,
    request_status,
)
from ._pools import answer, answer_unknown, dispatch_database, requeue
from ._queue import Job
from ._state import Effects, NodeState
from ._timers import TimerAction

RETRY_INTERVAL = 0.01
"""Seconds between status queries while a write waits for a replica."""
WIDEN_AFTER = 0.05
"""Seconds after which instances beyond the region link are asked as well."""

FLOOR_LIFETIME = 2.0
"""Seconds for which a floor is sought; its VM asks again after that."""


@dataclass(slots=True, frozen=True)
class ConfirmationRetry(TimerAction):
    """Answers of a database still wait for confirmation."""

    database: str


def await_confirmation(node: NodeState, job: Job, out: Effects) -> None:
    """Hold an answered work until its answer may leave."""
    database = job.request.database
    waiting = node.confirmation.databases.setdefault(database, Waiting())
    waiting.jobs.append(job)
    if job.request.kind is StatementKind.READ:
        request_status(node, job.server, out)
        _schedule_retry(node, database, waiting)
        return
    _ask(node, database, waiting, out)


def _ask(node: NodeState, name: str, waiting: Waiting, out: Effects) -> None:
    """Query the instances whose answers are still needed."""
    found = node.config.databases.get(name)
    if found is None:
        return
    since = node.now
    for job in waiting.jobs:
        since = min(since, job.answered)
    for floor in waiting.floors:
        since = min(since, floor.since)
    widen = node.now - since >= WIDEN_AFTER
    for server in found[1].servers:
        near = server.region == node.identity.address.region
        primary = server.name == find_record(node, name).primary
        if near or primary or widen:
            request_status(node, server.name, out)
    _schedule_retry(node, name, waiting)


def _schedule_retry(node: NodeState, name: str, waiting: Waiting) -> None:
    if waiting.retry_due:
        return
    waiting.retry_due = True
    node.timers.schedule(node.now + RETRY_INTERVAL, ConfirmationRetry(name))


def _retry(node: NodeState, action: ConfirmationRetry, out: Effects) -> None:
    waiting = node.confirmation.databases.get(action.database)
    if waiting is None:
        return
    waiting.retry_due = False
    _evaluate(node, action.database, waiting, out)
    if not waiting.jobs and not waiting.floors:
        return
    for job in waiting.jobs:
        if job.request.kind is StatementKind.READ:
            request_status(node, job.server, out)
    _ask(node, action.database, waiting, out)


def _take_report(
    node: NodeState, query: StatusQuery, event: StatusReported, out: Effects
) -> None:
    health = node.health.servers.get(query.server)
    if health is None:
        return
    waiting = node.confirmation.databases.get(health.database)
    if waiting is not None:
        _evaluate(node, health.database, waiting, out)
    dispatch_database(node, health.database, out)


def _evaluate(node: NodeState, name: str, waiting: Waiting, out: Effects) -> None:
    found = node.config.databases.get(name)
    if found is None:
        return
    _evaluate_floors(node, found[1], waiting, out)
    jobs = waiting.jobs
    waiting.jobs = []
    for job in jobs:
        if node.pools.jobs.get(job.id) is not job:
            continue
        if job.request.kind is StatementKind.READ:
            done = _evaluate_read(node, job, out)
        else:
            done = _evaluate_write(node, found, job, out)
        if not done:
            waiting.jobs.append(job)


def _evaluate_read(node: NodeState, job: Job, out: Effects) -> bool:
    health = node.health.servers.get(job.server)
    if health is None or health.status is None:
        return _read_elsewhere(node, job, out)
    if health.started < job.answered:
        if health.failures:
            return _read_elsewhere(node, job, out)
        return False
    if health.status.term != job.term:
        return _read_elsewhere(node, job, out)
    answer(node, job, job.outcome, out)
    return True


def _read_elsewhere(node: NodeState, job: Job, out: Effects) -> bool:
    job.may_have_run = True
    if not requeue(node, job, out, cause="server_term_changed"):
        answer_unknown(node, job, UnknownReason.TERM_NOT_CONFIRMED, out)
    return True


def _evaluate_write(
    node: NodeState, found: tuple[DatabaseGroup, Database], job: Job, out: Effects
) -> bool:
    group, database = found
    position = job.position
    if position is None or position.term != job.term:
        return _leave_unconfirmed(node, job, out)
    if find_record(node, database.name).term > job.term:
        return _leave_unconfirmed(node, job, out)
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


def _leave_unconfirmed(node: NodeState, job: Job, out: Effects) -> bool:
    """End a write whose term passed before it was confirmed.

    A keyed statement outside a transaction is run again: its key tells whether
    the new primary has it.
    """
    job.may_have_run = True
    keyed = job.request.marks.key and job.request.transaction is None
    if keyed and requeue(node, job, out, cause="term_not_confirmed"):
        return True
    answer_unknown(node, job, UnknownReason.TERM_NOT_CONFIRMED, out)
    return True


def _take_floor_request(node: NodeState, event, out: Effects) -> None:
    message = event.envelope.message
    if message.database not in node.health.databases:
        failure = FloorAnswer(
            database=message.database, sequence=message.sequence, position=None
        )
        out.append(SendPeer(vm=event.envelope.sender, message=failure))
        return
    waiting = node.confirmation.databases.setdefault(message.database, Waiting())
    waiting.floors.append(
        Floor(vm=event.envelope.sender, sequence=message.sequence, since=node.now)
    )
    _ask(node, message.database, waiting, out)


def _evaluate_floors(
    node: NodeState, database: Database, waiting: Waiting, out: Effects
) -> None:
    primary = find_primary(node, database.name)
    floors = waiting.floors
    waiting.floors = []
    for floor in floors:
        if primary is None or not confirm_since(
            node, database, floor.since, term=primary.status.term
        ):
            if node.now - floor.since < FLOOR_LIFETIME:
                waiting.floors.append(floor)
            continue
        message = FloorAnswer(
            database=database.name,
            sequence=floor.sequence,
            position=primary.status.position,
        )
        out.append(SendPeer(vm=floor.vm, message=message))


EVENTS: dict = {}
MESSAGES = {FloorRequest: _take_floor_request}
TIMERS = {ConfirmationRetry: _retry}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS = {StatusQuery: _take_report}
