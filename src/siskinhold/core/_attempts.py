"""Promotion attempts: whether one is still needed, its candidate, and its end."""

from ..model import Database, Role, ServerState, TermRecord, TermStart
from ._failover_state import Attempt
from ._health import find_term_record, is_reachable, majority_size
from ._state import Effects, NodeState, record

PRIMARY_LEAVING = "primary_leaving"
"""Cause of a promotion: a change ticket marks the primary as leaving."""
PRIMARY_CUT_OFF = "primary_cut_off_from_replicas"
"""Cause of a promotion: the primary answers but does not reach its replicas."""
PRIMARY_REMOVED = "primary_removed"
"""Cause of a promotion: a change ticket removed the primary."""
PRIMARY_LOST_LOG = "primary_lost_its_log"
"""Cause of a promotion: the primary restarted fenced, without entries of its term."""
UNFINISHED_PROMOTION = "unfinished_promotion"
"""Cause of a promotion: another VM began one and has not finished it."""
PERSISTENT_CAUSES = (
    PRIMARY_LEAVING,
    PRIMARY_CUT_OFF,
    PRIMARY_REMOVED,
    PRIMARY_LOST_LOG,
    UNFINISHED_PROMOTION,
)
"""Causes that remain when the primary answers queries again."""
TERMS_PER_ERA = 1_000_000
"""Number of terms in each era of the store. A restored store has lost reservations, so
a term reserved in one era must not be reserved in another one."""
RETRY_DELAY = 0.5
"""Average seconds between an abandoned attempt and the next one."""


def choose_term(node: NodeState, database: Database) -> int:
    """Return a term above all known ones and all of older eras of the store."""
    highest = find_term_record(node, database.name).highest_reserved
    highest = max(highest, node.config.era * TERMS_PER_ERA)
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is not None and health.status is not None:
            highest = max(highest, health.status.term)
    return highest + 1


def find_attempt(node: NodeState, database: str, run: str) -> Attempt | None:
    """Return the attempt with identity `run`, or None if it has ended."""
    failover = node.failover.databases.get(database)
    if failover is None or failover.attempt is None or failover.attempt.run != run:
        return None
    return failover.attempt


def is_needed(node: NodeState, attempt: Attempt) -> bool:
    """Return whether the cause of the attempt still exists.

    A slow store can delay a reservation for seconds, and the primary may answer
    again by then.
    """
    if attempt.cause in PERSISTENT_CAUSES:
        return True
    term_record = find_term_record(node, attempt.database.name)
    primary = node.health.servers.get(term_record.primary or "")
    return primary is None or not is_reachable(node, primary)


def has_current_servers(node: NodeState, attempt: Attempt) -> bool:
    """Return whether the attempt counts its majority among the servers in force.

    Majorities of the lists before and after two change tickets may share no server.
    """
    found = node.config.databases.get(attempt.database.name)
    if found is None:
        return False
    return _list_instances(attempt.database) == _list_instances(found[1])


def _list_instances(database: Database) -> set[tuple[str, str, int]]:
    """Return the names and addresses of a database's servers."""
    return {(server.name, server.host, server.port) for server in database.servers}


def has_lost_entries(node: NodeState, database: Database) -> bool:
    """Return whether the recorded primary is fenced and lacks entries of its log.

    It had the log with which its term began, and a server with entries of the term
    shows that it has led. Promoted again, it would cut back the logs of the others.
    """
    term_record = find_term_record(node, database.name)
    primary = node.health.servers.get(term_record.primary or "")
    if primary is None or primary.status is None:
        return False
    status = primary.status
    if status.role is not Role.FENCED or status.term != term_record.term:
        return False
    if status.position.offset < term_record.starts[-1].offset:
        return True
    for server in database.servers:
        health = node.health.servers.get(server.name)
        if health is None or health.status is None:
            continue
        position = health.status.position
        if position.term == term_record.term and position > status.position:
            return True
    return False


def build_term_record(node: NodeState, attempt: Attempt) -> TermRecord:
    """Return the reserved term record with the start of the attempt's term."""
    name = choose_candidate(node, attempt)
    start = TermStart(
        term=attempt.term,
        offset=attempt.fenced[name].position.offset,
        primary=name,
    )
    return TermRecord(
        database=attempt.written.database,
        starts=(*attempt.written.starts, start),
        reservation=None,
    )


def choose_candidate(node: NodeState, attempt: Attempt) -> str:
    """Return the name of the fenced server with the highest log position.

    Every write acknowledged under `acknowledge=replica` is on a majority, so the
    most advanced server of a fenced majority holds it. A primary that is leaving
    or cut off from its replicas is excluded if the other fenced servers are a
    majority: it may hold more writes, but no acknowledged ones. Among servers
    with equal positions, active ones and those in the region of the old primary
    are preferred.
    """
    term_record = find_term_record(node, attempt.database.name)
    old = node.health.servers.get(term_record.primary or "")
    home_region = old.server.region if old is not None else ""
    excluded = ""
    if attempt.cause in (PRIMARY_LEAVING, PRIMARY_CUT_OFF):
        others = attempt.fenced.keys() - {term_record.primary}
        if len(others) >= majority_size(attempt.database):
            excluded = term_record.primary
    best = ""
    best_rank: tuple = ()
    for server in attempt.database.servers:
        status = attempt.fenced.get(server.name)
        if status is None or server.name == excluded:
            continue
        rank = (
            status.position,
            server.state is ServerState.ACTIVE,
            server.region == home_region,
            server.name == term_record.primary,
        )
        if not best or rank > best_rank:
            best, best_rank = server.name, rank
    return best


def hold_writes(node: NodeState, database: str, primary_paused: bool) -> None:
    """Suspend or resume the jobs of a database that need its primary.

    Args:
        primary_paused: whether to suspend them.
    """
    for pool in node.pools.pools.values():
        if pool.database == database:
            pool.primary_paused = primary_paused


def abandon_attempt(
    node: NodeState, attempt: Attempt, cause: str, out: Effects
) -> None:
    """End an attempt without a promotion and delay the next evaluation."""
    failover = node.failover.databases[attempt.database.name]
    failover.attempt = None
    delay = RETRY_DELAY * (0.5 + node.random.random())
    failover.not_before = node.now + delay
    hold_writes(node, attempt.database.name, False)
    record(
        out,
        "promotion_abandoned",
        cause=cause,
        database=attempt.database.name,
        term=attempt.term,
    )
