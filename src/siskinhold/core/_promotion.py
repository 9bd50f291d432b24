"""The steps of a promotion: reserve, fence, record, promote.

The term record in the store names the new primary before that server accepts
writes. If the VM stops between two steps, the next owner completes the recorded
promotion (`_failover.command_server`) or begins another one with a higher term.
"""

from dataclasses import dataclass

import msgspec

from ..effects import CallStore, FenceServer, Observe, PromoteServer
from ..events import ControlAnswered, StoreAnswered
from ..model import ControlFailure, Database, Reservation, Role
from ..store import (
    ReadObject,
    StoreFailure,
    StoreResult,
    WriteObject,
    decode_term,
    encode_term,
    term_key,
)
from ._attempts import (
    abandon_attempt,
    build_term_record,
    choose_term,
    find_attempt,
    has_current_servers,
    hold_writes,
    is_needed,
)
from ._failover_state import Attempt, Phase
from ._health import find_term_record, majority_size, request_status
from ._spreading import push_term_records
from ._state import Effects, NodeState, record
from ._tickets import learn_term_record
from ._timers import TimerAction
from ._watching import note_era

FENCE_GRACE_PERIOD = 0.03
"""Seconds to wait for the remaining servers once a majority is fenced."""
READ_BACK_DELAY = 0.1
"""Seconds before a term record is read back after an unanswered store call."""
ATTEMPT_TIMEOUT = 3.0
"""Seconds after which an attempt that is still fencing is abandoned.

An attempt that waits for the store does not time out.
"""


@dataclass(slots=True, frozen=True)
class RecordWrite:
    """Purpose of a store call: the attempt `run` writes its term record."""

    database: str
    run: str


@dataclass(slots=True, frozen=True)
class RecordRead:
    """Purpose of a store call: the attempt `run` reads its term record back."""

    database: str
    run: str


@dataclass(slots=True, frozen=True)
class FenceCall:
    """Purpose of a control call: the attempt `run` fences `server`."""

    database: str
    run: str
    server: str


@dataclass(slots=True, frozen=True)
class PromoteCall:
    """Purpose of a control call: `server` is promoted to primary.

    Args:
        started: when the promotion attempt began.
    """

    database: str
    server: str
    started: float


@dataclass(slots=True, frozen=True)
class ReadBackDue(TimerAction):
    """The attempt's term record is to be read back from the store."""

    database: str
    run: str


@dataclass(slots=True, frozen=True)
class FenceGraceDue(TimerAction):
    """The wait for the remaining fence answers is over."""

    database: str
    run: str


@dataclass(slots=True, frozen=True)
class AttemptTimeoutDue(TimerAction):
    """The attempt has reached `ATTEMPT_TIMEOUT`."""

    database: str
    run: str


def begin_attempt(
    node: NodeState, database: Database, failover, cause: str, out: Effects
) -> None:
    """Begin a promotion by reserving its term."""
    term_record = find_term_record(node, database.name)
    run = f"{node.random.getrandbits(64):016x}"
    attempt = Attempt(
        database=database,
        run=run,
        cause=cause,
        term=choose_term(node, database),
        era=node.config.era,
        started=node.now,
    )
    failover.attempt = attempt
    record(
        out,
        "promotion_began",
        cause=cause,
        database=database.name,
        server=term_record.primary or "",
        term=attempt.term,
    )
    reservation = Reservation(term=attempt.term, vm=node.identity.name, run=run)
    attempt.base = term_record
    attempt.written = msgspec.structs.replace(term_record, reservation=reservation)
    attempt.replaced_version = node.config.record_versions.get(database.name, 0)
    node.timers.schedule(
        node.now + ATTEMPT_TIMEOUT, AttemptTimeoutDue(database.name, run)
    )
    _write_record(node, attempt, out)


def _write_record(node: NodeState, attempt: Attempt, out: Effects) -> None:
    """Write the attempt's term record, if the store has the version it replaces.

    A version that was learnt since may be that of another VM's promotion. An attempt
    whose fenced servers may no longer be a majority is abandoned.
    """
    name = attempt.database.name
    if attempt.phase is Phase.RECORDING and not has_current_servers(node, attempt):
        abandon_attempt(node, attempt, "servers_changed", out)
        return
    call = node.open_store_call(RecordWrite(name, attempt.run))
    operation = WriteObject(
        key=term_key(name),
        value=encode_term(attempt.written).unwrap(),
        expected_version=attempt.replaced_version,
        expected_era=attempt.era,
    )
    out.append(CallStore(call=call, operation=operation))


def _handle_write_answer(
    node: NodeState, purpose: RecordWrite, event: StoreAnswered, out: Effects
) -> None:
    """Continue after a successful write, or schedule a read of the stored record."""
    attempt = find_attempt(node, purpose.database, purpose.run)
    if attempt is None:
        return
    failure = event.result.failure
    if failure is None:
        _continue_after_write(node, attempt, event.result, out)
        return
    due = ReadBackDue(purpose.database, purpose.run)
    delay = 0.0 if failure is StoreFailure.CONFLICT else READ_BACK_DELAY
    node.timers.schedule(node.now + delay, due)


def _read_back(node: NodeState, action: ReadBackDue, out: Effects) -> None:
    """Read the database's term record from the store."""
    attempt = find_attempt(node, action.database, action.run)
    if attempt is None:
        return
    call = node.open_store_call(RecordRead(action.database, action.run))
    out.append(
        CallStore(call=call, operation=ReadObject(key=term_key(action.database)))
    )


def _handle_read_back_answer(
    node: NodeState, purpose: RecordRead, event: StoreAnswered, out: Effects
) -> None:
    """Continue the attempt according to the term record that the store holds.

    A failed write is repeated unless it took effect or another VM changed the record.
    A store restored from a copy may hold an older record or none.
    """
    versions = node.config.record_versions
    attempt = find_attempt(node, purpose.database, purpose.run)
    if attempt is None:
        return
    result = event.result
    if result.failure is StoreFailure.NO_ANSWER:
        due = ReadBackDue(purpose.database, purpose.run)
        node.timers.schedule(node.now + READ_BACK_DELAY, due)
        return
    note_era(node, result.era)
    if result.failure is not None or not result.objects:
        versions.pop(purpose.database, None)
        if result.era > attempt.era:
            _begin_again(node, attempt, out)
            return
        attempt.replaced_version = 0
        _write_record(node, attempt, out)
        return
    stored = result.objects[0]
    decoded = decode_term(stored.key, stored.value)
    if decoded.is_err():
        abandon_attempt(node, attempt, "record_malformed", out)
        return
    found = decoded.unwrap()
    if found == attempt.written:
        _continue_after_write(node, attempt, result, out)
        return
    known = find_term_record(node, purpose.database)
    unchanged = found == attempt.base == known
    if stored.version < versions.get(purpose.database, 0):
        del versions[purpose.database]
    learn_term_record(node, found, stored.version, out, era=result.era)
    if result.era > attempt.era:
        _begin_again(node, attempt, out)
        return
    if unchanged and result.era == attempt.era:
        attempt.replaced_version = stored.version
        # The unanswered write never took effect.
        _write_record(node, attempt, out)
        return
    abandon_attempt(node, attempt, "record_changed_by_other_vm", out)


def _continue_after_write(
    node: NodeState, attempt: Attempt, result: StoreResult, out: Effects
) -> None:
    """Store and push the written term record, then take the attempt's next step."""
    version = result.objects[0].version
    learn_term_record(node, attempt.written, version, out, era=result.era)
    if attempt.phase is Phase.RESERVING and result.era > attempt.era:
        _begin_again(node, attempt, out)
        return
    push_term_records(node, [attempt.written], out)
    if attempt.phase is Phase.RESERVING:
        attempt.replaced_version = version
        _fence_servers(node, attempt, out)
        return
    _promote_candidate(node, attempt, out)


def _begin_again(node: NodeState, attempt: Attempt, out: Effects) -> None:
    """Replace an attempt whose term was chosen for an older era of the store."""
    abandon_attempt(node, attempt, "store_restored", out)
    failover = node.failover.databases[attempt.database.name]
    begin_attempt(node, attempt.database, failover, attempt.cause, out)


def _fence_servers(node: NodeState, attempt: Attempt, out: Effects) -> None:
    """Fence all servers in force, or abandon an attempt without a cause."""
    found = node.config.databases.get(attempt.database.name)
    if found is None:
        abandon_attempt(node, attempt, "database_removed", out)
        return
    attempt.database = found[1]
    if not is_needed(node, attempt):
        abandon_attempt(node, attempt, "primary_answers_again", out)
        return
    attempt.phase = Phase.FENCING
    for server in attempt.database.servers:
        purpose = FenceCall(attempt.database.name, attempt.run, server.name)
        call = node.open_control_call(purpose)
        out.append(FenceServer(server=server, call=call, term=attempt.term))
        attempt.pending_fences += 1


def _handle_fence_answer(
    node: NodeState, fence: FenceCall, event: ControlAnswered, out: Effects
) -> None:
    """Count the answer to a fence command; after the last one, write the term record.

    Once a majority is fenced, the others have `FENCE_GRACE_PERIOD` to answer. The
    attempt is abandoned if a server has a higher term or acts in the attempt's term,
    or if no majority is fenced.
    """
    attempt = find_attempt(node, fence.database, fence.run)
    if attempt is None or attempt.phase is not Phase.FENCING:
        return
    attempt.pending_fences -= 1
    if event.failure is ControlFailure.REJECTED:
        abandon_attempt(node, attempt, "server_has_higher_term", out)
        return
    if event.status is not None and event.status.term == attempt.term:
        if event.status.role is not Role.FENCED:
            abandon_attempt(node, attempt, "term_in_use", out)
            return
        attempt.fenced[fence.server] = event.status
    needed = majority_size(attempt.database)
    if len(attempt.fenced) == needed and attempt.pending_fences:
        due = FenceGraceDue(fence.database, fence.run)
        node.timers.schedule(node.now + FENCE_GRACE_PERIOD, due)
    if attempt.pending_fences:
        return
    if len(attempt.fenced) < needed:
        abandon_attempt(node, attempt, "no_majority_fenced", out)
        return
    _write_term_start(node, attempt, out)


def _end_fence_grace(node: NodeState, action: FenceGraceDue, out: Effects) -> None:
    """Write the term record without the servers that have not answered."""
    attempt = find_attempt(node, action.database, action.run)
    if attempt is not None and attempt.phase is Phase.FENCING:
        _write_term_start(node, attempt, out)


def _write_term_start(node: NodeState, attempt: Attempt, out: Effects) -> None:
    """Choose the new primary and write the term record that names it."""
    attempt.phase = Phase.RECORDING
    attempt.base = attempt.written
    attempt.written = build_term_record(node, attempt)
    _write_record(node, attempt, out)


def _promote_candidate(node: NodeState, attempt: Attempt, out: Effects) -> None:
    """End the attempt, resume writes, and promote the recorded server."""
    start = attempt.written.starts[-1]
    failover = node.failover.databases[attempt.database.name]
    failover.attempt = None
    failover.switchover_since = None
    failover.higher_term_since = None
    failover.cut_off_since = None
    hold_writes(node, attempt.database.name, False)
    for server in attempt.database.servers:
        if server.name != start.primary:
            continue
        purpose = PromoteCall(attempt.database.name, server.name, attempt.started)
        call = node.open_control_call(purpose)
        out.append(PromoteServer(server=server, call=call, term=start.term))
        failover.commanded_at[server.name] = node.now


def _handle_promote_answer(
    node: NodeState, promote: PromoteCall, event: ControlAnswered, out: Effects
) -> None:
    """Record the change of primary once, and query the server's status."""
    request_status(node, promote.server, out)
    if event.status is None or event.status.role is not Role.PRIMARY:
        return
    failover = node.failover.databases.get(promote.database)
    if failover is None or failover.promoted_term >= event.status.term:
        return
    failover.promoted_term = event.status.term
    seconds = node.now - promote.started
    record(
        out,
        "primary_changed",
        cause="promotion",
        database=promote.database,
        server=promote.server,
        term=event.status.term,
        detail=(("took_ms", round(seconds * 1000)),),
    )
    out.append(Observe(metric="promotion_seconds", value=seconds))


def _expire_attempt(node: NodeState, action: AttemptTimeoutDue, out: Effects) -> None:
    """Abandon an attempt that is still fencing."""
    attempt = find_attempt(node, action.database, action.run)
    if attempt is None:
        return
    if attempt.phase is Phase.FENCING:
        abandon_attempt(node, attempt, "fencing_took_too_long", out)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS = {
    ReadBackDue: _read_back,
    FenceGraceDue: _end_fence_grace,
    AttemptTimeoutDue: _expire_attempt,
}
STORE_ANSWERS = {
    RecordWrite: _handle_write_answer,
    RecordRead: _handle_read_back_answer,
}
CONTROL_ANSWERS = {FenceCall: _handle_fence_answer, PromoteCall: _handle_promote_answer}
