"""Promotion attempts: whether one is needed, whom it promotes, how it is dropped."""

from ..model import ServerState
from ._failover_state import Attempt
from ._health import find_record, is_reachable, majority
from ._state import Effects, NodeState, record

PRIMARY_LEAVING = "primary_leaving"
"""Cause of a promotion: a change ticket lets the primary leave."""
PRIMARY_CUT_OFF = "primary_cut_off_from_replicas"
"""Cause of a promotion: the primary answers but its replicas miss it."""
PRIMARY_REMOVED = "primary_removed"
"""Cause of a promotion: a change ticket took the primary out."""
UNFINISHED = "unfinished_promotion"
"""Cause of a promotion: another VM began one and did not finish it."""
NO_LOSS = (PRIMARY_LEAVING, PRIMARY_CUT_OFF, PRIMARY_REMOVED, UNFINISHED)
"""Causes that do not heal when the primary answers again."""
RETRY_DELAY = 0.5
"""Seconds between an attempt that failed and the next one."""


def find_attempt(node: NodeState, database: str, run: str) -> Attempt | None:
    """Return the attempt `run` if it is still under way."""
    watch = node.failover.databases.get(database)
    if watch is None or watch.attempt is None or watch.attempt.run != run:
        return None
    return watch.attempt


def is_needed(node: NodeState, attempt: Attempt) -> bool:
    """Return whether the loss that the attempt answers to has not healed.

    A slow store can hold a reservation back for seconds.
    """
    if attempt.cause in NO_LOSS:
        return True
    known = find_record(node, attempt.database.name)
    primary = node.health.servers.get(known.primary or "")
    return primary is None or not is_reachable(node, primary)


def choose_candidate(node: NodeState, attempt: Attempt) -> str:
    """Return the most advanced of the fenced servers.

    Any majority holds every acknowledged write of `acknowledge=replica`, so
    the most advanced of a fenced majority does too. A primary that leaves or
    has lost its replicas is passed over if the others are a majority without
    it; it may hold more, but nothing that was acknowledged. Among equals an
    active server in the region of the old primary is preferred.
    """
    known = find_record(node, attempt.database.name)
    old = node.health.servers.get(known.primary or "")
    home = old.server.region if old is not None else ""
    passed_over = ""
    if attempt.cause in (PRIMARY_LEAVING, PRIMARY_CUT_OFF):
        others = attempt.fenced.keys() - {known.primary}
        if len(others) >= majority(attempt.database):
            passed_over = known.primary
    best = ""
    best_rank: tuple = ()
    for server in attempt.database.servers:
        status = attempt.fenced.get(server.name)
        if status is None or server.name == passed_over:
            continue
        rank = (
            status.position,
            server.state is ServerState.ACTIVE,
            server.region == home,
            server.name == known.primary,
        )
        if not best or rank > best_rank:
            best, best_rank = server.name, rank
    return best


def hold_writes(node: NodeState, database: str, primary_paused: bool) -> None:
    """Hold back, or release, the works of a database that need its primary."""
    for pool in node.pools.pools.values():
        if pool.database == database:
            pool.primary_paused = primary_paused


def abandon_attempt(
    node: NodeState, attempt: Attempt, cause: str, out: Effects
) -> None:
    """Give up an attempt; the evidence is weighed anew after a delay."""
    watch = node.failover.databases[attempt.database.name]
    watch.attempt = None
    delay = RETRY_DELAY * (0.5 + node.random.random())
    watch.not_before = node.now + delay
    hold_writes(node, attempt.database.name, False)
    record(
        out,
        "promotion_abandoned",
        cause=cause,
        database=attempt.database.name,
        term=attempt.term,
    )
