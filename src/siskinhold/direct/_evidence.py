"""Proof that a primary led, from the answers of the other servers of its database.

Every answer of a server carries the end of its applied log, whose term increases before
any commit of a new term is acknowledged. So a primary of term T held every acknowledged
commit at time t if every other member of its database answered a command sent at t or
later with a term of at most T. That suffices for reads.

A write needs more; see `_write_proof`.

If a member can't be reached, the database's leader record is read from the store: it is
written before a promotion is ordered. If the store can't be reached either, a majority
of the members attests that it knows of no newer term: before a promotion is ordered, a
majority is suspended for its term.

Terms: the evidence of a server is the log position in its newest answer. A leader is
confirmed for a time, or proved to have led, once one of these ways shows it. The
witnesses are the members whose answers count, which are all but the leader. An
attestation is a status report in which a replica shows no newer term.

The proof depends neither on clocks of other machines nor on leases, so a VM that was
paused or partitioned can't wrongly prove anything.
"""

from ..model import Position
from ._database_state import Floor, Leadership
from ._effects import ReadLeaderRecord
from ._events import LeaderRecordAnswered, StoreOutcome
from ._leaders import DropReason, drop_leader, probe_leader
from ._server_state import Evidence, Purpose, Server
from ._state import Database, DirectState, Effects
from ._types import Command, CommandKind, LeaderState
from .pools import find_control_connection, send

DEPARTED_MEMBER_PERIOD = 5.0
"""Seconds for which a draining or removed member is still needed for proof.

Longer than a promotion can take, so that one which began while the member was listed
has ended.
"""

LIST_VALIDITY = 2.5
"""Seconds after the request of a list of servers for which it contains every server
that may lead; longer than the gap between two up-to-date lists."""

NEW_SERVER_PERIOD = LIST_VALIDITY + 0.3
"""Seconds for which a server must have been listed before it is promoted."""

FLOOR_INTERVAL = 0.05
"""Lower limit of the seconds between two floors that are kept."""

MAX_FLOORS = 64
"""Number of floors kept for a database."""

CONTROL_ANSWER_TIMEOUT = 0.1
"""Seconds without an answer on a control connection after which the store is queried as
well: several round trips to the other region."""

STORE_UNAVAILABLE_PERIOD = 1.0
"""Seconds for which the store counts as unavailable after a failed read."""

STORE_ANSWER_TIMEOUT = 0.35
"""Seconds without an answer after which the store counts as unavailable: the slowest
store that the platform's documentation allows answers sooner."""

STORE_READ_INTERVAL = 0.1
"""Lower limit of the seconds between two confirming reads of a leader record."""

STORE_CALL_TIMEOUT = 2.0
"""Seconds after which a confirming read counts as lost."""


def record_evidence(
    state: DirectState,
    server: Server,
    sent_at: float,
    position: Position | None,
    out: Effects,
) -> None:
    """Record the log position that a server's answer shows.

    If its term is newer than the leader's, the leader is dropped; otherwise the
    position may yield a new floor.
    """
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
    """Return the servers that are counted for proofs and majorities.

    Draining and removed ones are included for `DEPARTED_MEMBER_PERIOD`.
    """
    found = []
    for member in state.members(database.name):
        left_at = member.gone_at if member.draining_at is None else member.draining_at
        if left_at is not None and state.now - left_at >= DEPARTED_MEMBER_PERIOD:
            continue
        found.append(member)
    return found


def list_witnesses(state: DirectState, database: Database) -> list[Server]:
    """Return the members other than the leader; their answers prove that it leads."""
    leader = state.leader_of(database)
    return [m for m in list_members(state, database) if m is not leader]


def find_confirmed_time(state: DirectState, database: Database) -> float:
    """Return the latest time at which the leader is proved to have led, -1 for none.

    It held all commits that were acknowledged by then, which proves reads, not writes.
    """
    leader = database.leader
    if leader is None:
        return -1.0
    witnessed = _find_witnessed_time(state, database, leader)
    attested = _find_attested_time(state, database, leader)
    return max(witnessed, attested, database.store_confirmed_at)


def _find_witnessed_time(
    state: DirectState, database: Database, leader: Leadership
) -> float:
    """Return the latest time for which all witnesses' logs prove it, -1 for none.

    A server that this VM's list lacks is promoted only after the list's validity.
    """
    oldest = min(state.now, state.servers_read_at + LIST_VALIDITY)
    for member in list_witnesses(state, database):
        evidence = member.evidence
        if evidence is None or evidence.position.term > leader.term:
            return -1.0
        oldest = min(oldest, evidence.sent_at)
    return oldest


def count_needed(state: DirectState, witnesses: list[Server]) -> int:
    """Return how many witnesses have to attest.

    They form a majority with the leader. If the list of servers may lack some, all that
    can be reached are needed, and at least one.
    """
    majority = count_majority(len(witnesses) + 1) - 1
    if state.now - state.servers_read_at < LIST_VALIDITY:
        return majority
    reached = [w for w in witnesses if w.down_at is None and find_control_connection(w)]
    return max(majority, len(reached), 1)


def count_majority(members: int) -> int:
    """Return the smallest number that is more than half of the members."""
    return members // 2 + 1


def _find_attested_time(
    state: DirectState, database: Database, leader: Leadership
) -> float:
    """Return the latest time for which a majority attests the primary, -1 for none.

    A promotion fences a majority before it is ordered, so at least one member of an
    attesting majority would know of it.
    """
    server = state.leader_of(database)
    if server is None:
        return -1.0
    witnesses = list_witnesses(state, database)
    times = []
    for member in witnesses:
        if member.attested_term <= leader.term and is_trusted(state, database, member):
            times.append(member.attested_at)
    needed = count_needed(state, witnesses)
    if needed == 0:
        return server.lead_confirmed_at
    if len(times) < needed:
        return -1.0
    times.sort(reverse=True)
    return min(server.lead_confirmed_at, times[needed - 1])


def is_store_unavailable(state: DirectState, database: Database) -> bool:
    """Return whether the last confirming read had no usable answer, or is overdue."""
    if state.now - database.store_failed_at < STORE_UNAVAILABLE_PERIOD:
        return True
    waited = state.now - database.store_sent_at
    return bool(database.store_call) and waited >= STORE_ANSWER_TIMEOUT


def find_floor(database: Database, since: float) -> Position | None:
    """Return the lowest known floor that covers all commits acknowledged by `since`."""
    for floor in database.floors:
        if floor.at >= since:
            return floor.position
    return None


def request_proof(
    state: DirectState,
    database: Database,
    since: float,
    out: Effects,
    *,
    leader_too: bool = False,
) -> None:
    """Request proof that the leader led at `since`, unless it is known or requested.

    The reachable witnesses are queried first. If one can't be reached, or the list of
    servers may lack one, the store is read, and if that is unavailable, the reachable
    witnesses are queried for attestations.

    Args:
        leader_too: whether to request the primary's position as well.
    """
    unreachable = state.servers_read_at + LIST_VALIDITY < since
    for member in list_witnesses(state, database):
        unreachable |= not _request_evidence(state, member, since, out)
    leader = state.leader_of(database)
    if leader_too and leader is not None:
        _request_evidence(state, leader, since, out)
    if not unreachable:
        return
    request_store_proof(state, database, since, out)
    if is_store_unavailable(state, database):
        if leader is not None and leader.lead_confirmed_at < since:
            probe_leader(state, leader, out)
        for member in list_witnesses(state, database):
            request_attestation(state, member, since, out)


def request_attestation(
    state: DirectState, member: Server, since: float, out: Effects
) -> bool:
    """Query a member's status unless it was queried since a time.

    Returns:
        whether it attests that it knows of no newer term, or may do so soon.
    """
    database = state.databases[member.entry.service]
    if member.attested_at >= since:
        return member.attested_term <= database.leader.term
    control = find_control_connection(member)
    if control is None or state.now < member.attestation_retry_at:
        return False
    if control.pending:
        return state.now - control.pending[0].sent_at < CONTROL_ANSWER_TIMEOUT
    send(state, control, Command(kind=CommandKind.STATUS), Purpose.ATTEST, out)
    return True


def is_trusted(state: DirectState, database: Database, member: Server) -> bool:
    """Return whether a member has not been suspended since no newer term had begun.

    The end of its suspension may be a promotion whose term it has yet to learn of.
    """
    return member.released_at <= _find_unreplaced_time(state, database)


def _find_unreplaced_time(state: DirectState, database: Database) -> float:
    """Return the latest time at which no newer term is known to have begun, or -1."""
    leader = database.leader
    if leader is None:
        return -1.0
    attested_at = min(state.now, state.servers_read_at + LIST_VALIDITY)
    for member in list_witnesses(state, database):
        if member.attested_term > leader.term:
            return database.store_confirmed_at
        attested_at = min(attested_at, member.attested_at)
    return max(attested_at, database.store_confirmed_at)


def can_prove(state: DirectState, database: Database) -> bool:
    """Return whether it seems possible to prove that the primary leads.

    It is impossible while too few servers are reachable and the store is unavailable,
    as on the minority side of a partition.
    """
    witnesses = list_witnesses(state, database)
    reached = [w for w in witnesses if w.down_at is None and find_control_connection(w)]
    if len(reached) == len(witnesses):
        return True
    if not is_store_unavailable(state, database):
        return True
    trusted = [w for w in reached if is_trusted(state, database, w)]
    return len(trusted) + 1 >= count_majority(len(witnesses) + 1)


def _request_evidence(
    state: DirectState, member: Server, since: float, out: Effects
) -> bool:
    """Request evidence from a member unless it is known.

    Returns:
        whether it is known or an answer may be expected.
    """
    evidence = member.evidence
    if evidence is not None and evidence.sent_at >= since:
        return True
    control = find_control_connection(member)
    if control is None:
        return False
    if control.pending:
        return state.now - control.pending[0].sent_at < CONTROL_ANSWER_TIMEOUT
    send(state, control, Command(kind=CommandKind.RESET), Purpose.POSITION, out)
    return True


def request_store_proof(
    state: DirectState, database: Database, since: float, out: Effects
) -> None:
    """Read the leader record to confirm the leader, unless a read is under way."""
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
    out.append(ReadLeaderRecord(call=call, service=database.name, era=state.store_era))


def handle_store_proof(
    state: DirectState, database: Database, event: LeaderRecordAnswered, out: Effects
) -> None:
    """Handle the answer to a confirming read of the leader record.

    The record of a completed promotion to a term up to the leader's confirms the
    leader; a newer term drops it. No record confirms it as well if the store reports no
    eras; else the record may be lost, so the store proves nothing.
    """
    if event.call != database.store_call:
        return
    database.store_call = 0
    state.pending_updates.add(database.name)
    leader = database.leader
    lost = event.outcome is StoreOutcome.ABSENT and event.revision.era > 0
    if lost or event.outcome is StoreOutcome.UNKNOWN:
        database.store_failed_at = state.now
        database.store_retry_at = state.now + 2 * STORE_READ_INTERVAL
        return
    if leader is None:
        return
    record = event.record
    if event.outcome is StoreOutcome.ABSENT:
        confirmed = True
    else:
        stable = record is not None and record.state is LeaderState.STABLE
        confirmed = stable and record.term <= leader.term
        if record is not None and not stable and record.term < leader.term:
            # Its promotion is over, but its VM may not complete the record.
            database.store_failed_at = state.now
        if record is not None and record.term > leader.term:
            database.min_term = record.term
            drop_leader(state, database, DropReason.RECORD, out)
    if confirmed:
        database.store_confirmed_at = max(
            database.store_confirmed_at, database.store_sent_at
        )
        _add_floor(state, database)


def _add_floor(state: DirectState, database: Database) -> None:
    """Add the leader's position as a floor, for the time for which it is confirmed."""
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
