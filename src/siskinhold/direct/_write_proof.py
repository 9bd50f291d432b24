"""Proof that no newer term had begun when the primary committed a write.

A new primary may lead without a commit, may have stepped down again, or may be missing
in this VM's list of servers, so neither the positions of the servers nor their refusals
of write transactions show that.

Before a promotion is ordered, a majority of the members is suspended for its term:
these receive nothing more of an older term, and their status reports show the new one.
So a write is proved once a majority, the primary among them, has received it or
attests, after its answer arrived, that it knows of no newer term. A member of both
majorities would otherwise have received the write after it was suspended, or have
reported the term. If too few members answer, the leader record is read from the store:
it is written before the suspensions.
"""

from ..model import Position
from ._evidence import (
    count_needed,
    list_witnesses,
    request_attestation,
    request_store_proof,
)
from ._placement import measure_distance
from ._server_state import Server
from ._state import Database, DirectState, Effects, Leadership


def is_write_proved(
    state: DirectState, database: Database, position: Position | None, since: float
) -> bool:
    """Return whether no newer term had begun when the leader committed a write.

    Args:
        position: the write's position in the leader's log.
        since: when its answer arrived.
    """
    leader = database.leader
    if leader is None:
        return False
    if database.store_confirmed_at >= since:
        return True
    witnesses = list_witnesses(state, database)
    proved = 0
    for member in witnesses:
        if _holds(member, position) or _attests(member, leader, since):
            proved += 1
    return proved >= count_needed(state, witnesses)


def is_attested_by_all(state: DirectState, database: Database, since: float) -> bool:
    """Return whether all witnesses attest that the leader led at a time or later."""
    leader = database.leader
    if leader is None:
        return False
    for member in list_witnesses(state, database):
        if not _attests(member, leader, since):
            return False
    return True


def _holds(member: Server, position: Position | None) -> bool:
    """Return whether a member is known to have received a position of the log.

    A greater position of a newer term does not show that.
    """
    if position is None:
        return False
    ends = [member.received]
    if member.evidence is not None:
        ends.append(member.evidence.position)
    for end in ends:
        if end is not None and end.term == position.term and end >= position:
            return True
    return False


def _attests(member: Server, leader: Leadership, since: float) -> bool:
    """Return whether a member, asked since a time, knew of no newer term."""
    return member.attested_at >= since and member.attested_term <= leader.term


def request_write_proof(
    state: DirectState,
    database: Database,
    position: Position | None,
    since: float,
    out: Effects,
) -> None:
    """Request proof of a write, unless it is requested.

    The nearest witnesses are queried that suffice for a majority. If too few can be
    reached, the store is read.

    Args:
        position: the write's position in the leader's log.
        since: when its answer arrived.
    """
    witnesses = list_witnesses(state, database)
    witnesses.sort(key=lambda member: measure_distance(state, member))
    missing = count_needed(state, witnesses)
    for member in witnesses:
        if missing <= 0:
            return
        if _holds(member, position):
            missing -= 1
        elif request_attestation(state, member, since, out):
            missing -= 1
    if missing > 0:
        request_store_proof(state, database, since, out)
