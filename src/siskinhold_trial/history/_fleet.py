"""Checks of drains, shutdowns and tickets: guarantees 7, 8 and 9."""

from collections.abc import Iterable

from siskinhold.model import NotRun, NotRunReason, Unknown, UnknownReason

from ._records import DatabaseRecord, History, Invocation, TicketEvent, VmLife
from ._violations import (
    CutOffByShutdown,
    TicketLate,
    TicketReverted,
    Violation,
    WorkAfterLeaving,
)

DRAIN_TIMEOUT = 3.0
"""Seconds after which a server being drained receives no new statements."""

TICKET_BOUND = 15.0
"""Seconds within which an accepted ticket is in force on a reachable VM."""
MAX_DELIVERY_TIME = 0.02
"""Seconds that a statement may take to reach its VM. A statement still on its way
when the connection closes is not in flight on that VM."""


def check_drains(
    history: History, records: Iterable[DatabaseRecord], *, limit: float = DRAIN_TIMEOUT
) -> list[Violation]:
    """Check guarantee 7: a drained server gets no new work after `limit` seconds.

    Statements of a transaction that began before the limit may still arrive.
    """
    violations: list[Violation] = []
    for record in records:
        for drain in history.drains:
            end = drain.at + limit
            begun = set()
            for execution in record.executions:
                if execution.server != drain.server:
                    continue
                scope = (execution.connection, execution.transaction)
                if execution.arrived_at <= end:
                    begun.add(scope)
                    continue
                if drain.undone_at is not None:
                    if execution.arrived_at >= drain.undone_at:
                        continue
                if execution.transaction and scope in begun:
                    continue
                late = execution.arrived_at - drain.at
                violations.append(
                    WorkAfterLeaving(
                        subject=drain.server,
                        detail=f"{execution.tag} came after {late:.3f} s",
                    )
                )
    return violations


def check_shutdowns(history: History) -> list[Violation]:
    """Check guarantee 8: a graceful shutdown answers all requests in flight.

    A transaction that is open when the shutdown begins counts as in flight until
    it ends. Callers of other VMs must not be told that the owner was lost, unless
    some VM ended without a graceful shutdown.
    """
    violations: list[Violation] = []
    crashed = any(
        life.ended_at is not None and life.shutdown_at is None for life in history.lives
    )
    called = {
        invocation.tag: invocation.called_at for invocation in history.invocations
    }
    for life in history.lives:
        if life.shutdown_at is None:
            continue
        for invocation in history.invocations:
            if invocation.vm == life.vm:
                began = called.get(invocation.transaction, invocation.called_at)
                cut = _is_cut_off(invocation, began, life)
            else:
                cut = not crashed and _reports_owner_loss(invocation, life)
            if cut:
                violations.append(
                    CutOffByShutdown(
                        subject=invocation.tag, detail=f"by the shutdown of {life.vm}"
                    )
                )
    return violations


def _is_cut_off(invocation: Invocation, began: float, life: VmLife) -> bool:
    last = life.shutdown_at
    if life.ended_at is not None:
        last = max(last, life.ended_at - MAX_DELIVERY_TIME)
    if not life.started_at <= began <= last:
        return False
    ended = invocation.answered_at
    if ended is not None and ended < life.shutdown_at:
        return False
    if ended is None:
        return life.ended_at is not None
    if invocation.outcome is None and ended == invocation.called_at:
        # The connection was closed before the statement was sent.
        return False
    if isinstance(invocation.outcome, NotRun):
        if began > life.shutdown_at:
            return False
        return invocation.outcome.reason in (
            NotRunReason.SHUTDOWN,
            NotRunReason.TRANSACTION_LOST,
        )
    return invocation.outcome is None or _reports_owner_loss(invocation, life)


def _reports_owner_loss(invocation: Invocation, life: VmLife) -> bool:
    outcome, ended = invocation.outcome, invocation.answered_at
    if not isinstance(outcome, Unknown) or ended is None:
        return False
    if outcome.reason not in (UnknownReason.OWNER_LOST, UnknownReason.CONNECTION_LOST):
        return False
    over = life.ended_at is not None and invocation.called_at > life.ended_at
    return ended >= life.shutdown_at and not over


def check_tickets(history: History, *, bound: float = TICKET_BOUND) -> list[Violation]:
    """Check guarantee 9: ticket numbers only rise and are in force within `bound`.

    For a VM that starts or becomes reachable again the bound counts from then.
    """
    violations: list[Violation] = []
    accepted: dict[int, TicketEvent] = {}
    highest: dict[tuple[str, int], int] = {}
    for event in sorted(history.tickets, key=lambda event: event.at):
        if not event.vm:
            first = accepted.setdefault(event.number, event)
            if first.identity != event.identity:
                violations.append(_make_reverted("", f"{event.number} accepted twice"))
            continue
        scope = (event.vm, event.incarnation)
        before = highest.get(scope, 0)
        if event.number < before:
            violations.append(_make_reverted(event.vm, f"{before} to {event.number}"))
        highest[scope] = max(before, event.number)
    for ticket in accepted.values():
        for life in history.lives:
            if not _is_in_time(history, ticket, life, bound):
                violations.append(
                    TicketLate(subject=life.vm, detail=f"ticket {ticket.number}")
                )
    return violations


def _make_reverted(vm: str, detail: str) -> Violation:
    return TicketReverted(subject=vm, detail=f"ticket {detail}")


def _is_in_time(
    history: History, ticket: TicketEvent, life: VmLife, bound: float
) -> bool:
    start = max(ticket.at, life.started_at)
    for cut, restored_at in sorted(life.cut_off):
        if cut <= start + bound and restored_at >= start:
            start = restored_at
    end = start + bound
    if life.ended_at is not None and life.ended_at < end:
        return True
    for event in history.tickets:
        if (event.vm, event.incarnation) != (life.vm, life.incarnation):
            continue
        if event.number >= ticket.number and event.at <= end:
            return True
    return False
