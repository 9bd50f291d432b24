"""Proof that a primary led, from what the other servers of its database answer.

Every answer of a server carries the end of its applied log, whose term rises before
any commit of a new term is acknowledged. So a primary of term T held every
acknowledged commit at time t if every other member of its database answered a
command sent at t or later with a term of at most T. That suffices for reads. A new
primary may take writes a little before its log shows the new term, so a write also
needs every other member to have refused a transaction for writing.

Where a member can't be asked, the database's leader record is read: it is written
before a promotion is ordered. And where the store can't be asked either, a majority of
the members vouches: before a promotion is ordered, a majority is told of its term.

No clock of another machine and no lease is involved, so a VM that was paused or cut
off proves nothing by mistake.
"""

from ..model import Position
from ._connections import find_control_connection, send
from ._effects import ReadLeaderRecord
from ._events import LeaderRecordAnswered, StoreOutcome
from ._leaders import DropReason, drop_leader, probe_leader
from ._server_state import Evidence, Purpose, Server
from ._state import Database, DirectState, Effects, Floor, Leadership
from ._types import Command, CommandKind, LeaderState

DEPARTED_MEMBER_PERIOD = 5.0
"""Seconds for which a member that leaves or is gone is still asked for proof.

Longer than a promotion under way can take, so that one which began while the
member was listed has ended.
"""

FLOOR_INTERVAL = 0.05
"""Least number of seconds between two floors that are kept."""

MAX_FLOORS = 64
"""Floors kept for a database."""

CONTROL_ANSWER_TIMEOUT = 0.1
"""Seconds for which an answer on a control connection is waited for before the store
is asked as well: several round trips to the other region."""

STORE_UNAVAILABLE_PERIOD = 1.0
"""Seconds for which the store counts as away after a failed read."""

STORE_ANSWER_TIMEOUT = 0.35
"""Seconds without an answer after which the store counts as away: a store that is as
slow as the platform's pages allow for answers sooner."""

STORE_READ_INTERVAL = 0.1
"""Least number of seconds between two confirming reads of a leader record."""

STORE_CALL_TIMEOUT = 2.0
"""Seconds after which a confirming read counts as lost."""


def record_evidence(
    state: DirectState,
    server: Server,
    sent_at: float,
    position: Position | None,
    out: Effects,
) -> None:
    """Take what an answer shows of a server's log."""
    if position is None:
        return
    old = server.evidence
    if old is not None and old.sent_at > sent_at:
        return
    server.evidence = Evidence(sent_at=sent_at, position=position)
    database = state.databases.get(server.entry.service)
    if database is None:
        return
    leader = database.leader
    if leader is not None and position.term > leader.term:
        drop_leader(state, database, DropReason.NEWER_TERM, out)
    _add_floor(state, database)
    if database.unconfirmed or database.queue:
        state.pending_updates.add(database.name)


def list_members(state: DirectState, database: Database) -> list[Server]:
    """Return the servers of a database, without those that left a while ago."""
    found = []
    for member in state.members(database.name):
        left_at = member.gone_at if member.draining_at is None else member.draining_at
        if left_at is not None and state.now - left_at >= DEPARTED_MEMBER_PERIOD:
            continue
        found.append(member)
    return found


def list_witnesses(state: DirectState, database: Database) -> list[Server]:
    """Return the members other than the primary, whose answers count as proof."""
    leader = state.leader_of(database)
    return [m for m in list_members(state, database) if m is not leader]


def find_confirmed_time(
    state: DirectState, database: Database, *, strict: bool = False
) -> float:
    """Return the latest time at which the believed primary is proved to have led.

    -1 stands for no proof.

    Args:
        strict: whether no other server may have taken writes at that time.
    """
    leader = database.leader
    if leader is None:
        return -1.0
    oldest = state.now
    for member in list_witnesses(state, database):
        evidence = member.evidence
        if evidence is None or evidence.position.term > leader.term:
            oldest = -1.0
            break
        oldest = min(oldest, member.write_refused_at if strict else evidence.sent_at)
    attested = _find_attested_time(state, database, leader)
    return max(oldest, attested, database.store_confirmed_at)


def count_majority(members: int) -> int:
    """Return the least number of servers that is more than half of all."""
    return members // 2 + 1


def _find_attested_time(
    state: DirectState, database: Database, leader: Leadership
) -> float:
    """Return the latest time for which a majority vouches for the primary.

    A promotion fences a majority before it is ordered, so one of those that vouch would
    have known of it.
    """
    server = state.leader_of(database)
    if server is None:
        return -1.0
    witnesses = list_witnesses(state, database)
    times = []
    for member in witnesses:
        if member.attested_term <= leader.term:
            times.append(member.attested_at)
    needed = count_majority(len(witnesses) + 1) - 1
    if needed == 0:
        return server.lead_confirmed_at
    if len(times) < needed:
        return -1.0
    times.sort(reverse=True)
    return min(server.lead_confirmed_at, times[needed - 1])


def _is_store_unavailable(state: DirectState, database: Database) -> bool:
    if state.now - database.store_failed_at < STORE_UNAVAILABLE_PERIOD:
        return True
    waited = state.now - database.store_sent_at
    return bool(database.store_call) and waited >= STORE_ANSWER_TIMEOUT


def find_floor(database: Database, since: float) -> Position | None:
    """Return the lowest known position that holds all that was acknowledged by then."""
    for floor in database.floors:
        if floor.at >= since:
            return floor.position
    return None


def request_positions(
    state: DirectState,
    database: Database,
    since: float,
    out: Effects,
    *,
    leader_too: bool = False,
    strict: bool = False,
) -> None:
    """Ask the members for proof unless it is known or on the way.

    Args:
        leader_too: whether the primary's position is needed as well.
        strict: whether the other members must refuse a transaction for writing.
    """
    unreachable = False
    for member in list_witnesses(state, database):
        unreachable |= not _request_evidence(state, member, since, strict, out)
    leader = state.leader_of(database)
    if leader_too and leader is not None:
        _request_evidence(state, leader, since, False, out)
    if not unreachable:
        return
    _request_store_proof(state, database, since, out)
    if _is_store_unavailable(state, database):
        _request_attestations(state, database, since, out)


def can_prove(state: DirectState, database: Database) -> bool:
    """Return whether a primary may be proved to lead, as far as can be told now.

    It can't while too few of the servers are reached and the store is no help, as on
    the smaller side of a partition.
    """
    witnesses = list_witnesses(state, database)
    reached = [w for w in witnesses if w.down_at is None and find_control_connection(w)]
    if len(reached) == len(witnesses):
        return True
    if len(reached) + 1 >= count_majority(len(witnesses) + 1):
        return True
    return not _is_store_unavailable(state, database)


def _request_attestations(
    state: DirectState, database: Database, since: float, out: Effects
) -> None:
    """Ask the members that can be reached whether they know of a newer primary."""
    leader = state.leader_of(database)
    if leader is not None and leader.lead_confirmed_at < since:
        probe_leader(state, leader, out)
    for member in list_witnesses(state, database):
        control = find_control_connection(member)
        if control is None or control.pending or member.attested_at >= since:
            continue
        status = Command(kind=CommandKind.STATUS)
        send(state, control, status, Purpose.ATTEST, out)


def _request_evidence(
    state: DirectState, member: Server, since: float, strict: bool, out: Effects
) -> bool:
    """Ask one member; return whether an answer may be expected."""
    evidence = member.evidence
    if strict:
        known = member.write_refused_at >= since
    else:
        known = evidence is not None and evidence.sent_at >= since
    if known:
        return True
    control = find_control_connection(member)
    if control is None:
        return False
    if control.pending:
        return state.now - control.pending[0].sent_at < CONTROL_ANSWER_TIMEOUT
    if strict:
        probe_leader(state, member, out)
    else:
        command = Command(kind=CommandKind.RESET)
        send(state, control, command, Purpose.POSITION, out)
    return True


def _request_store_proof(
    state: DirectState, database: Database, since: float, out: Effects
) -> None:
    if database.store_confirmed_at >= since:
        return
    if database.store_call and state.now - database.store_sent_at < STORE_CALL_TIMEOUT:
        return
    if state.now < database.store_retry_at:
        return
    call = state.allocate_number()
    database.store_call = call
    database.store_sent_at = state.now
    database.store_retry_at = state.now + STORE_READ_INTERVAL
    state.calls[call] = ("confirm", database.name)
    out.append(ReadLeaderRecord(call=call, service=database.name))


def handle_store_proof(
    state: DirectState, database: Database, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Take a leader record that was read to confirm the primary."""
    if event.call != database.store_call:
        return
    database.store_call = 0
    state.pending_updates.add(database.name)
    leader = database.leader
    if event.outcome is StoreOutcome.UNKNOWN:
        database.store_failed_at = state.now
        database.store_retry_at = state.now + 2 * STORE_READ_INTERVAL
        return
    if leader is None:
        return
    record = event.record
    if event.outcome is StoreOutcome.ABSENT:
        confirmed = True
    else:
        confirmed = (
            record is not None
            and record.state is LeaderState.STABLE
            and record.term <= leader.term
        )
        if record is not None and record.term > leader.term:
            database.min_term = record.term
            drop_leader(state, database, DropReason.RECORD, out)
    if confirmed:
        database.store_confirmed_at = max(
            database.store_confirmed_at, database.store_sent_at
        )
        _add_floor(state, database)


def _add_floor(state: DirectState, database: Database) -> None:
    leader = state.leader_of(database)
    if leader is None or leader.evidence is None:
        return
    if leader.evidence.position.term > database.leader.term:
        return
    at = min(leader.evidence.sent_at, find_confirmed_time(state, database))
    floors = database.floors
    if at < 0 or floors and at < floors[-1].at + FLOOR_INTERVAL:
        return
    floors.append(Floor(at=at, position=leader.evidence.position))
    while len(floors) > MAX_FLOORS:
        floors.popleft()
