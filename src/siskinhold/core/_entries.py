"""Answering statements on the entry VM and updating their sessions."""

from ..effects import CloseCaller, Observe, ReplyCaller, SendPeer
from ..messages import Abandon
from ..model import (
    Done,
    Marks,
    NotRun,
    NotRunReason,
    Outcome,
    Position,
    RequestId,
    StatementKind,
    Unknown,
    UnknownReason,
)
from ._session_state import EntryRequest, OpenTransaction, Session
from ._state import Effects, NodeState, record


def raise_position(session: Session, database: str, position: Position) -> None:
    """Raise a session's floor for a database; a lower position has no effect."""
    known = session.positions.get(database)
    if known is None or known < position:
        session.positions[database] = position


def finish(
    node: NodeState,
    entry: EntryRequest,
    outcome: Outcome,
    out: Effects,
    *,
    position: Position | None = None,
) -> None:
    """Answer a statement in progress and update its session.

    A ROLLBACK whose transaction has ended already is done. "Not run" becomes "unknown"
    if an earlier sending, or an earlier request with the same key, may have had an
    effect. With `POSITION_LOST` the session's floor is set to `position`, which may
    lower it.
    """
    node.sessions.requests.pop(entry.request.id, None)
    session = node.sessions.sessions.get(entry.session)
    if session is None:
        return
    reason = outcome.reason if isinstance(outcome, NotRun) else None
    rollback = entry.request.kind is StatementKind.ROLLBACK
    if rollback and reason is NotRunReason.TRANSACTION_LOST:
        outcome = Done()
    if reason is NotRunReason.POSITION_LOST and position is not None:
        session.positions[entry.request.database] = position
    elif isinstance(outcome, NotRun) and entry.may_have_run:
        outcome = Unknown(reason=UnknownReason.OWNER_LOST, detail=outcome.detail)
    elif isinstance(outcome, NotRun) and _has_key(entry.request.marks):
        outcome = Unknown(reason=UnknownReason.KEY_UNSETTLED, detail=outcome.detail)
    if position is not None and isinstance(outcome, Done):
        raise_position(session, entry.request.database, position)
    _update_transaction(session, entry, outcome, out)
    out.append(
        Observe(
            metric="statement_seconds",
            value=node.now - entry.arrived,
            label=entry.request.kind.value,
        )
    )
    reply(session, entry.request.id, outcome, out)


def _update_transaction(
    session: Session, entry: EntryRequest, outcome: Outcome, out: Effects
) -> None:
    """Update a session's transaction with the outcome of a statement in it.

    COMMIT and ROLLBACK end it. If its first statement was not run, the next one opens
    it. If another statement was not run or an outcome is unknown, the transaction is
    lost, and its owner is told to discard it.
    """
    transaction = session.transaction
    if transaction is None or entry.request.transaction != transaction.id:
        return
    if entry.request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        session.transaction = None
        return
    if isinstance(outcome, NotRun) and entry.request.opens_transaction:
        # The transaction never began, so the next statement opens it.
        session.transaction = OpenTransaction(id=transaction.id)
        return
    if isinstance(outcome, (NotRun, Unknown)):
        transaction.lost = True
        message = Abandon(request=entry.request.id, transaction=transaction.id)
        out.append(SendPeer(vm=transaction.owner, message=message))


def _has_key(marks: Marks) -> bool:
    """Return whether a statement has an idempotency key.

    An earlier request with the key may have run through any VM, at any time before. Its
    caller would take "not run" as the outcome of the key and might repeat the write
    under a new one.
    """
    return bool(marks.key)


def refuse_statement(
    session: Session,
    identity: RequestId,
    reason: NotRunReason,
    out: Effects,
    detail: str = "",
    *,
    marks: Marks = Marks(),
) -> None:
    """Refuse a statement on the entry VM, without sending it to a pool owner.

    One with an idempotency key is answered as unknown.
    """
    record(
        out,
        "request_refused",
        cause=reason.value,
        session=session.number,
        request=identity,
    )
    outcome: Outcome = NotRun(reason=reason, detail=detail)
    if _has_key(marks):
        outcome = Unknown(reason=UnknownReason.KEY_UNSETTLED, detail=detail)
    reply(session, identity, outcome, out)


def reply(
    session: Session, identity: RequestId, outcome: Outcome, out: Effects
) -> None:
    """Send the outcome of a session's statement to its caller."""
    session.request = None
    out.append(
        ReplyCaller(
            session=session.number,
            request=identity,
            outcome=outcome,
            positions=session.positions,
        )
    )
    close_if_drained(session, out)


def close_if_drained(session: Session, out: Effects) -> None:
    """Close a draining session's connection if no transaction is open.

    It is called only while the session has no statement in progress.
    """
    if session.draining and not session.open_transaction:
        out.append(CloseCaller(session=session.number, reason="shutdown"))
