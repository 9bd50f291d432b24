"""Proof that no newer term had begun when the primary committed a write.

A new primary may lead without a commit, may have stepped down again, or may be missing
in this VM's list of servers, so neither the positions of the servers nor their refusals
of write transactions show that.

A promotion ends the suspensions that were made for it, and a replica learns of its term
later: until then the replica attests that it knows of no newer term, and may receive
from the old primary. Only the promoted server knows at once. So a write is proved once
every other server has received it or attests, after its answer arrived, that it knows
of no newer term: one that was promoted before the write does neither. If a server does
not answer, the leader record is read from the store: it is written before a promotion
is ordered.

Without the store, a majority has to attest: before a promotion is ordered, a majority
is suspended for its term, so the two share a server. That one may have yet to learn of
the term. So it is asked `LEARNING_PERIOD` after the answer arrived, and a server that
was seen to be suspended does not count until no newer term is known to have begun.
"""

from ..model import Position
from ._database_state import Leadership
from ._evidence import (
    LIST_VALIDITY,
    count_needed,
    is_store_unavailable,
    is_trusted,
    list_witnesses,
    request_attestation,
    request_store_proof,
)
from ._server_state import Server
from ._state import Database, DirectState, Effects

LEARNING_PERIOD = 0.2
"""Seconds in which a replica learns of a promotion that has taken effect: many times
the latency between regions."""


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
    complete = state.servers_read_at + LIST_VALIDITY >= since
    late = since + LEARNING_PERIOD
    attested = 0
    for member in witnesses:
        if not _attests(member, leader, since) and not _holds(member, position):
            complete = False
        if _attests(member, leader, late) and is_trusted(state, database, member):
            attested += 1
    if complete:
        return True
    if not is_store_unavailable(state, database):
        return False
    return attested >= count_needed(state, witnesses)


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
    oldest: float,
    out: Effects,
) -> None:
    """Request proof of a write, unless it is requested.

    The witnesses are queried. If one can't be reached, the store is read, and if that
    is unavailable, the witnesses are queried once more after `LEARNING_PERIOD`.

    Args:
        position: the write's position in the leader's log.
        since: when its answer arrived.
        oldest: when that of the oldest write without proof arrived.
    """
    complete = state.servers_read_at + LIST_VALIDITY >= since
    for member in list_witnesses(state, database):
        if _holds(member, position):
            continue
        complete &= request_attestation(state, member, since, out)
    if complete:
        return
    request_store_proof(state, database, since, out)
    late = oldest + LEARNING_PERIOD
    if state.now < late or not is_store_unavailable(state, database):
        return
    for member in list_witnesses(state, database):
        request_attestation(state, member, late, out)
