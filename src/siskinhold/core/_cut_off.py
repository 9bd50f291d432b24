"""Answers to all that is still open when the drain time of a shutdown ends."""

from ..effects import SendPeer
from ..messages import Abandon
from ..model import Done, NotRun, NotRunReason, StatementKind, Unknown, UnknownReason
from ._answers import is_waiting, roll_back, withdraw
from ._entries import close_if_drained, finish
from ._pools import answer, answer_unknown, redirect, refuse
from ._queue import Job
from ._session_state import EntryRequest, Session
from ._state import Effects, NodeState


def cut_off(node: NodeState, out: Effects) -> None:
    """Answer all statements and abandon all transactions of this VM.

    A statement that may have had an effect is answered as unknown, any other as not
    run. The answers of this VM's own pools reach its sessions after the call.
    """
    for job in list(node.pools.jobs.values()):
        _end_job(node, job, out)
    for identity in list(node.pools.transactions):
        roll_back(node, identity, out)
    for entry in list(node.sessions.requests.values()):
        if entry.owner != node.identity.name:
            _end_entry(node, entry, out)
    for session in node.sessions.sessions.values():
        if session.request is None and session.open_transaction:
            _abandon_transaction(session, out)


def _end_job(node: NodeState, job: Job, out: Effects) -> None:
    """Answer a job of this VM's pools; the entry VM sends a read elsewhere."""
    request = job.request
    inside = request.transaction is not None
    if is_waiting(node, job):
        withdraw(node, job)
        opened = inside and not request.opens_transaction
        reason = NotRunReason.TRANSACTION_LOST if opened else NotRunReason.SHUTDOWN
        refuse(node, job, reason, out)
        return
    if inside and request.kind is StatementKind.ROLLBACK:
        answer(node, job, Done(), out)
        return
    if inside and request.kind is not StatementKind.COMMIT:
        roll_back(node, request.transaction, out)
        if job.id in node.pools.jobs:
            refuse(node, job, NotRunReason.TRANSACTION_LOST, out)
        return
    if request.kind is not StatementKind.READ:
        _answer_unknown(node, job, out)
        return
    if job.origin == node.identity.name:
        refuse(node, job, NotRunReason.SHUTDOWN, out)
        return
    redirect(node, job, "shutdown", out)


def _answer_unknown(node: NodeState, job: Job, out: Effects) -> None:
    """Answer a write or COMMIT that runs or whose answer is not confirmed."""
    if job.answered is not None:
        reason = UnknownReason.TERM_NOT_CONFIRMED
    elif job.origin == node.identity.name:
        reason = UnknownReason.SHUTDOWN
    else:
        reason = UnknownReason.OWNER_LOST
    answer_unknown(node, job, reason, out)


def _end_entry(node: NodeState, entry: EntryRequest, out: Effects) -> None:
    """Answer a statement that is at another VM, or at none.

    The other VM discards it, except for a COMMIT or a single write, which may run to
    its end.
    """
    request = entry.request
    if not entry.owner:
        finish(node, entry, NotRun(reason=NotRunReason.SHUTDOWN), out)
        return
    inside = request.transaction is not None
    single_write = not inside and request.kind is not StatementKind.READ
    if single_write or request.kind is StatementKind.COMMIT:
        finish(node, entry, Unknown(reason=UnknownReason.SHUTDOWN), out)
        return
    message = Abandon(request=request.id, transaction=request.transaction)
    out.append(SendPeer(vm=entry.owner, message=message))
    if request.kind is StatementKind.ROLLBACK:
        finish(node, entry, Done(), out)
        return
    reason = NotRunReason.TRANSACTION_LOST if inside else NotRunReason.SHUTDOWN
    finish(node, entry, NotRun(reason=reason), out)


def _abandon_transaction(session: Session, out: Effects) -> None:
    """Mark a session's idle transaction as lost; its owner rolls it back."""
    transaction = session.transaction
    transaction.lost = True
    if transaction.owner:
        message = Abandon(request=transaction.id, transaction=transaction.id)
        out.append(SendPeer(vm=transaction.owner, message=message))
    close_if_drained(session, out)
