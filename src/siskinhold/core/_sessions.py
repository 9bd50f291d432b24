"""Callers' sessions on their entry VM: positions, transactions, statements.

The floor of a session is the minimum log position that its reads of a database must
see. A session that presented no token has none before its first read of a database.
Its entry VM then sends a floor request to the database owner, whose answer is the
primary's current log position: it becomes the session's floor.
"""

from dataclasses import dataclass

from ..effects import Observe, SendPeer
from ..events import (
    CallerClosed,
    CallerOpened,
    DatabaseSelected,
    StatementReceived,
    TokenPresented,
)
from ..messages import Abandon, Answer, FloorAnswer, FloorRequest, Redirect
from ..model import (
    Done,
    Marks,
    NotRun,
    NotRunReason,
    Outcome,
    Request,
    RequestId,
    RoutingRules,
    StatementKind,
    Unknown,
    UnknownReason,
)
from . import _routes as routes
from ._entries import finish, raise_position, refuse_statement, reply
from ._session_state import EntryRequest, FloorWait, OpenTransaction, Session
from ._spreading import has_initial_config
from ._state import Effects, NodeState, record
from ._timers import TimerAction

ANSWER_GRACE_PERIOD = 0.15
"""Seconds after the deadline of a sent request in which its owner's answer is still
accepted."""

FLOOR_RETRY_INTERVAL = 0.25
"""Seconds after which an unanswered floor request is sent again."""


@dataclass(slots=True, frozen=True)
class FloorRetry(TimerAction):
    """Due time to repeat a floor request if it is still unanswered."""

    database: str
    sequence: int


@dataclass(slots=True, frozen=True)
class EntryDeadline(TimerAction):
    """Deadline of a request on its entry VM."""

    request: RequestId


def _open_session(node: NodeState, event: CallerOpened, out: Effects) -> None:
    node.sessions.sessions[event.session] = Session(
        number=event.session, user=event.user, database=event.database
    )
    record(out, "caller_connected", session=event.session, database=event.database)


def _select_database(node: NodeState, event: DatabaseSelected, out: Effects) -> None:
    session = node.sessions.sessions.get(event.session)
    if session is not None:
        session.database = event.database


def _apply_token(node: NodeState, event: TokenPresented, out: Effects) -> None:
    """Raise a session's floors to the positions of a presented token."""
    session = node.sessions.sessions.get(event.session)
    if session is None:
        return
    session.has_token = True
    for database, position in event.positions.items():
        raise_position(session, database, position)


def _close_session(node: NodeState, event: CallerClosed, out: Effects) -> None:
    """Remove a session; its owner discards the open statement and transaction."""
    session = node.sessions.sessions.pop(event.session, None)
    if session is None:
        return
    session.closed = True
    record(out, "caller_disconnected", session=event.session)
    transaction = session.transaction
    entry = node.sessions.requests.pop(session.request, None)
    owner = entry.owner if entry is not None else ""
    if transaction is not None and transaction.owner:
        owner = transaction.owner
    if not owner:
        return
    identity = transaction.id if transaction is not None else None
    request = session.request or identity
    if request is not None:
        message = Abandon(request=request, transaction=identity)
        out.append(SendPeer(vm=owner, message=message))


def _handle_statement(node: NodeState, event: StatementReceived, out: Effects) -> None:
    """Send a statement to its pool owner, or answer it here if none is needed."""
    session = node.sessions.sessions.get(event.session)
    if session is None:
        return
    identity = _next_id(node)
    session.request = identity
    out.append(Observe(metric="statements_total", label=event.kind.value))
    if session.draining and not session.open_transaction:
        refuse_statement(
            session, identity, NotRunReason.SHUTDOWN, out, marks=event.marks
        )
        return
    if event.kind is StatementKind.BEGIN:
        _begin_transaction(node, session, identity, out)
        return
    ends = event.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK)
    transaction = session.transaction
    lost = transaction is not None and transaction.lost
    if ends and (transaction is None or lost or not transaction.owner):
        session.transaction = None
        _answer_end_without_owner(node, session, identity, event.kind, lost, out)
        return
    found = node.config.databases.get(session.database)
    if found is None and has_initial_config(node):
        refuse_statement(
            session, identity, NotRunReason.UNKNOWN_DATABASE, out, marks=event.marks
        )
        return
    if lost:
        refuse_statement(
            session, identity, NotRunReason.TRANSACTION_LOST, out, marks=event.marks
        )
        return
    # A VM that has just started does not know all databases yet: the request
    # waits for them until its deadline.
    rules = found[0].rules if found is not None else RoutingRules()
    entry = _make_entry(node, session, identity, event, rules)
    node.sessions.requests[identity] = entry
    node.timers.schedule(entry.deadline, EntryDeadline(identity))
    _send_or_await_floor(node, session, entry, out)


def _next_id(node: NodeState) -> RequestId:
    """Return a request id that this process has not used."""
    sequence = node.sessions.next_sequence
    node.sessions.next_sequence += 1
    return RequestId(node.identity.name, node.identity.incarnation, sequence)


def _begin_transaction(
    node: NodeState, session: Session, identity: RequestId, out: Effects
) -> None:
    """Answer BEGIN; the pool owner begins the transaction with its first statement.

    A BEGIN in a transaction whose first statement was already sent is refused.
    """
    if session.transaction is not None and session.transaction.owner:
        refuse_statement(
            session, identity, NotRunReason.UNSUPPORTED, out, "nested BEGIN"
        )
        return
    session.transaction = OpenTransaction(id=identity)
    reply(session, identity, Done(), out)


def _answer_end_without_owner(
    node: NodeState,
    session: Session,
    identity: RequestId,
    kind: StatementKind,
    lost: bool,
    out: Effects,
) -> None:
    """Answer a COMMIT or ROLLBACK of a transaction that is open at no owner.

    The COMMIT of a lost transaction is refused; otherwise there is nothing to end.
    """
    if lost and kind is StatementKind.COMMIT:
        refuse_statement(session, identity, NotRunReason.TRANSACTION_LOST, out)
        return
    reply(session, identity, Done(), out)


def _make_entry(
    node: NodeState, session: Session, identity: RequestId, event, rules
) -> EntryRequest:
    """Return the entry of a statement; its marks override the database's rules."""
    marks: Marks = event.marks
    transaction = session.transaction
    max_age = marks.max_age_ms if marks.max_age_ms is not None else rules.max_age_ms
    time_ms = marks.deadline_ms or rules.deadline_ms
    request = Request(
        id=identity,
        database=session.database,
        tenant=session.user,
        kind=event.kind,
        sql=event.sql,
        marks=marks,
        max_age_ms=max_age,
        transaction=transaction.id if transaction is not None else None,
        opens_transaction=transaction is not None and not transaction.owner,
        budget_ms=time_ms,
    )
    deadline = node.now + time_ms / 1000
    return EntryRequest(
        request=request, session=session.number, arrived=node.now, deadline=deadline
    )


def _send_or_await_floor(
    node: NodeState, session: Session, entry: EntryRequest, out: Effects
) -> None:
    """Send a statement; a read of a database without a floor waits for one first."""
    request = entry.request
    reads = request.kind is StatementKind.READ
    reads = reads and (request.transaction is None or request.opens_transaction)
    known = session.has_token or request.database in session.positions
    if reads and not known:
        _await_floor(node, entry, out)
        return
    routes.send(node, session, entry, out)


def _await_floor(node: NodeState, entry: EntryRequest, out: Effects) -> None:
    """Let a read wait for a floor, which is requested if no request is unanswered.

    If one is, the read waits for the next answer, because the position in the answer
    may have been read before the read arrived.
    """
    database = entry.request.database
    wait = node.sessions.floors.get(database)
    if wait is not None:
        wait.waiting_for_next.append(entry.request.id)
        return
    wait = FloorWait(sequence=entry.request.id.sequence, waiting=[entry.request.id])
    node.sessions.floors[database] = wait
    request_floor(node, database, wait, out)


def request_floor(
    node: NodeState, database: str, wait: FloorWait, out: Effects
) -> None:
    """Send a floor request to the database owner, and schedule its repetition."""
    wait.sent_at = node.now
    owner = routes.find_database_owner(node, database)
    node.timers.schedule(
        node.now + FLOOR_RETRY_INTERVAL, FloorRetry(database, wait.sequence)
    )
    if owner is None:
        return
    message = FloorRequest(database=database, sequence=wait.sequence)
    out.append(SendPeer(vm=owner, message=message))


def _retry_floor(node: NodeState, action: FloorRetry, out: Effects) -> None:
    """Repeat a floor request unless it is answered or no read waits for it."""
    wait = node.sessions.floors.get(action.database)
    if wait is None or wait.sequence != action.sequence:
        return
    waiting = [*wait.waiting, *wait.waiting_for_next]
    if not any(request in node.sessions.requests for request in waiting):
        del node.sessions.floors[action.database]
        return
    request_floor(node, action.database, wait, out)


def _handle_floor(node: NodeState, event, out: Effects) -> None:
    """Set the floor of the waiting reads and send them.

    Those that arrived after the floor was requested wait for the next floor.
    """
    message: FloorAnswer = event.envelope.message
    wait = node.sessions.floors.get(message.database)
    if wait is None or wait.sequence != message.sequence or message.position is None:
        return
    del node.sessions.floors[message.database]
    for identity in wait.waiting:
        entry = node.sessions.requests.get(identity)
        if entry is None:
            continue
        session = node.sessions.sessions[entry.session]
        raise_position(session, message.database, message.position)
        routes.send(node, session, entry, out)
    for identity in wait.waiting_for_next:
        entry = node.sessions.requests.get(identity)
        if entry is not None:
            _await_next_floor(node, entry, out)


def _await_next_floor(node: NodeState, entry: EntryRequest, out: Effects) -> None:
    """Let a read wait for the floor requested after its arrival."""
    wait = node.sessions.floors.get(entry.request.database)
    if wait is None:
        _await_floor(node, entry, out)
        return
    # The request arrived before this floor was requested, so the answer
    # serves it too.
    wait.waiting.append(entry.request.id)


def _handle_answer(node: NodeState, event, out: Effects) -> None:
    """Answer a statement with the outcome from its pool owner."""
    message: Answer = event.envelope.message
    entry = node.sessions.requests.get(message.request)
    if entry is None:
        return
    finish(node, entry, message.outcome, out, position=message.position)
    if isinstance(message.outcome, Done):
        place = "replica" if message.replica else "primary"
        out.append(Observe(metric="served_total", label=place))


def _handle_redirect(node: NodeState, event, out: Effects) -> None:
    """Send a statement that its pool owner returned elsewhere, or answer it."""
    message: Redirect = event.envelope.message
    entry = node.sessions.requests.get(message.request)
    if entry is None:
        return
    entry.may_have_run = entry.may_have_run or message.may_have_run
    routes.reroute(node, entry, message.reason, out)


def _find_refusal_reason(node: NodeState, entry: EntryRequest) -> NotRunReason:
    """Return why a statement is not at any owner at its deadline.

    It is `NO_OWNER` if the database has no known owner. Otherwise the statement waits
    for a floor, for its next sending after a redirect, or for retry budget, and the
    reason is `NO_PRIMARY`.
    """
    if routes.find_database_owner(node, entry.request.database) is None:
        return NotRunReason.NO_OWNER
    return NotRunReason.NO_PRIMARY


def _expire_request(node: NodeState, action: EntryDeadline, out: Effects) -> None:
    """Answer a request whose deadline has passed.

    If it was sent to an owner, the answer is awaited for `ANSWER_GRACE_PERIOD` more.
    Then the outcome is unknown, and the owner discards the request. A request that is
    at no owner is answered as not run, or as unknown if it may have run before.
    """
    entry = node.sessions.requests.get(action.request)
    if entry is None:
        return
    if entry.owner and node.now < entry.deadline + ANSWER_GRACE_PERIOD:
        grace_end = entry.deadline + ANSWER_GRACE_PERIOD
        node.timers.schedule(grace_end, action)
        return
    if entry.owner:
        outcome: Outcome = Unknown(reason=UnknownReason.DEADLINE)
        message = Abandon(request=entry.request.id)
        out.append(SendPeer(vm=entry.owner, message=message))
    else:
        outcome = NotRun(reason=_find_refusal_reason(node, entry))
    record(
        out,
        "request_deadline_passed",
        cause="no answer from owner" if entry.owner else outcome.reason.value,
        database=entry.request.database,
        request=entry.request.id,
        session=entry.session,
    )
    finish(node, entry, outcome, out)


EVENTS = {
    CallerOpened: _open_session,
    CallerClosed: _close_session,
    DatabaseSelected: _select_database,
    TokenPresented: _apply_token,
    StatementReceived: _handle_statement,
}
MESSAGES = {
    Answer: _handle_answer,
    Redirect: _handle_redirect,
    FloorAnswer: _handle_floor,
}
TIMERS = {EntryDeadline: _expire_request, FloorRetry: _retry_floor}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
