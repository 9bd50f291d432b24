"""Routing of statements: choice of region and pool owner, resending, owner loss."""

from dataclasses import dataclass

import msgspec

from ..effects import SendPeer
from ..messages import Forward
from ..model import (
    Done,
    NotRun,
    NotRunReason,
    RequestId,
    ServerState,
    StatementKind,
    Unknown,
    UnknownReason,
    VmState,
)
from ._entries import finish
from ._membership import find_owner
from ._retries import record_request, spend_retry
from ._session_state import EntryRequest, Session
from ._state import Effects, NodeState, record
from ._timers import TimerAction

RESEND_DELAY = 0.05
"""Mean seconds before a request that was redirected or has no owner is sent again."""
MAX_SEND_COUNT = 40
"""Times one request is sent at most. The limit can be high because a redirect is
cheap and the request's deadline bounds it too."""


@dataclass(slots=True, frozen=True)
class ResendDue(TimerAction):
    """Due time to send a request again."""

    request: RequestId


def find_incarnation(node: NodeState, vm: str) -> int:
    """Return a VM's incarnation, 0 if it is unknown or gone."""
    if vm == node.identity.name:
        return node.identity.incarnation
    peer = node.membership.peers.get(vm)
    if peer is None or peer.view.state is VmState.GONE:
        return 0
    return peer.view.incarnation


def find_primary_region(node: NodeState, database: str) -> str | None:
    """Return the region of a database's primary, None if the database is unknown.

    Without a term record, it is the primary that the configuration names. If that
    server is unknown, the region of the first server is returned.
    """
    found = node.config.databases.get(database)
    if found is None:
        return None
    record_ = node.config.records.get(database)
    name = record_.primary if record_ is not None else None
    name = name or found[1].primary
    for server in found[1].servers:
        if server.name == name:
            return server.region
    return found[1].servers[0].region if found[1].servers else None


def find_database_owner(node: NodeState, database: str) -> str | None:
    """Return the database owner: the owner of its pool in the primary's region."""
    region = find_primary_region(node, database)
    if region is None:
        return None
    return find_owner(node, database, region)


def send(node: NodeState, session: Session, entry: EntryRequest, out: Effects) -> None:
    """Send a statement to its pool owner, or schedule another try if there is none.

    A statement in an open transaction goes to the owner that runs the transaction. The
    first one of a transaction stores its owner in the session.
    """
    if entry.request.transaction is not None and not entry.request.opens_transaction:
        _send_in_transaction(node, session, entry, out)
        return
    region = _choose_region(node, entry)
    owner = find_owner(node, entry.request.database, region) if region else None
    if owner is None:
        _schedule_resend(node, entry)
        return
    if not entry.send_count:
        record_request(node)
    entry.owner = owner
    entry.incarnation = find_incarnation(node, owner)
    entry.region = region
    entry.send_count += 1
    if entry.request.opens_transaction and session.transaction is not None:
        transaction = session.transaction
        transaction.database = entry.request.database
        transaction.owner = owner
        transaction.incarnation = entry.incarnation
        transaction.region = region
    _forward(node, session, entry, out)


def _choose_region(node: NodeState, entry: EntryRequest) -> str | None:
    """Return the region whose pool is to serve a statement, None if it is unknown.

    Reads outside transactions go to this VM's region if it has an active server, unless
    replicas must not be read or that region could not serve the read.
    """
    request = entry.request
    primary = find_primary_region(node, request.database)
    if primary is None or request.transaction is not None:
        return primary
    if request.kind is not StatementKind.READ:
        return primary
    group, database = node.config.databases[request.database]
    here = node.identity.address.region
    if not group.rules.replica_reads or entry.avoid_region == here:
        return primary
    for server in database.servers:
        if server.region == here and server.state is ServerState.ACTIVE:
            return here
    return primary


def _forward(
    node: NodeState, session: Session, entry: EntryRequest, out: Effects
) -> None:
    """Send a statement to its owner with the remaining time and the session's floor.

    The rules of its database may have been unknown when it arrived.
    """
    budget = max(1, round((entry.deadline - node.now) * 1000))
    need = session.positions.get(entry.request.database)
    max_age = entry.request.max_age_ms
    found = node.config.databases.get(entry.request.database)
    if found is not None and entry.request.marks.max_age_ms is None:
        max_age = found[0].rules.max_age_ms
    if entry.request.kind not in (StatementKind.READ, StatementKind.WRITE):
        need = None
    request = msgspec.structs.replace(
        entry.request, need=need, budget_ms=budget, max_age_ms=max_age
    )
    entry.request = request
    message = Forward(request=request, region=entry.region, ticket=node.config.applied)
    out.append(SendPeer(vm=entry.owner, message=message))


def _send_in_transaction(
    node: NodeState, session: Session, entry: EntryRequest, out: Effects
) -> None:
    """Send a statement to its transaction's owner, or handle that VM's loss."""
    transaction = session.transaction
    entry.owner = transaction.owner
    entry.incarnation = transaction.incarnation
    entry.region = transaction.region
    entry.send_count += 1
    if find_incarnation(node, transaction.owner) != transaction.incarnation:
        handle_owner_loss(node, entry, out)
        return
    _forward(node, session, entry, out)


def reroute(node: NodeState, entry: EntryRequest, reason: str, out: Effects) -> None:
    """Choose the next step for a statement that its pool owner returned.

    It is sent again, at once to the primary's region if no server of the first
    region could serve the read, or answered as not run.
    """
    request = entry.request
    if request.transaction is not None and not request.opens_transaction:
        finish(node, entry, NotRun(reason=NotRunReason.TRANSACTION_LOST), out)
        return
    if request.opens_transaction:
        _clear_transaction_owner(node, entry)
    if reason == "no_server_covers_read":
        entry.avoid_region = entry.region
    if entry.send_count >= MAX_SEND_COUNT:
        finish(node, entry, NotRun(reason=NotRunReason.NO_OWNER), out)
        return
    session = node.sessions.sessions.get(entry.session)
    if reason == "no_server_covers_read" and entry.send_count == 1 and session:
        send(node, session, entry, out)
        return
    _schedule_resend(node, entry)


def _clear_transaction_owner(node: NodeState, entry: EntryRequest) -> None:
    """Remove the owner of a transaction whose first statement it returned."""
    session = node.sessions.sessions.get(entry.session)
    if session is not None and session.transaction is not None:
        session.transaction.owner = ""


def _schedule_resend(node: NodeState, entry: EntryRequest) -> None:
    """Mark a statement as not sent, and schedule its next sending."""
    entry.owner = ""
    at = node.now + RESEND_DELAY * (0.5 + node.random.random())
    node.timers.schedule(at, ResendDue(entry.request.id))


def _resend(node: NodeState, action: ResendDue, out: Effects) -> None:
    """Send a statement that waits for it, if the retry budget allows a retry."""
    entry = node.sessions.requests.get(action.request)
    if entry is None or entry.owner:
        return
    session = node.sessions.sessions.get(entry.session)
    if session is None:
        return
    if entry.retry_pending:
        if not spend_retry(node):
            # Without retry budget it waits, until its deadline at most.
            _schedule_resend(node, entry)
            return
        entry.retry_pending = False
    send(node, session, entry, out)


def handle_owner_loss(node: NodeState, entry: EntryRequest, out: Effects) -> None:
    """Retry or answer a statement whose pool owner is gone or has restarted.

    Outside transactions, reads and keyed statements are sent again, since they are safe
    to repeat.
    """
    request = entry.request
    record(
        out,
        "owner_lost",
        cause=entry.owner,
        database=request.database,
        request=request.id,
    )
    if request.transaction is not None:
        _handle_loss_in_transaction(node, entry, out)
        return
    if request.kind is StatementKind.READ or request.marks.key:
        entry.may_have_run = True
        entry.retry_pending = True
        _schedule_resend(node, entry)
        return
    finish(node, entry, Unknown(reason=UnknownReason.OWNER_LOST), out)


def _handle_loss_in_transaction(
    node: NodeState, entry: EntryRequest, out: Effects
) -> None:
    """Answer a statement whose transaction was lost with its owner."""
    if entry.request.kind is StatementKind.COMMIT:
        finish(node, entry, Unknown(reason=UnknownReason.OWNER_LOST), out)
        return
    if entry.request.kind is StatementKind.ROLLBACK:
        finish(node, entry, Done(), out)
        return
    # The loss of the owner closed its connection, so the server rolled back.
    finish(node, entry, NotRun(reason=NotRunReason.TRANSACTION_LOST), out)


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS = {ResendDue: _resend}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
