"""Output of the ticket tool, as text or as JSON."""

import enum
import json
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ..adapters import DatabaseReport, OperatorStatus
from ..model import ChangeTicket
from ..observability import quote
from ..tickets import DiffKind, DiffLine, TicketFault
from ._ticket_store import StoreFault, StoreFaultKind


class ExitCode(enum.IntEnum):
    """Exit codes of `siskinhold-ticket`."""

    DONE = 0
    USAGE = 2
    INVALID = 3
    NUMBER_TAKEN = 4
    STORE = 5
    NOT_IN_FORCE = 6
    OPERATOR = 7
    EARLIER_NOT_IN_FORCE = 8


@dataclass(slots=True, kw_only=True)
class Report:
    """The result of a command.

    Args:
        code: exit code.
        result: name of the result, such as `done` or `invalid_ticket`.
        lines: text output.
        body: fields of the JSON output besides `result`.
    """

    code: ExitCode
    result: str
    lines: list[str]
    body: dict = field(default_factory=dict)

    def render(self, *, as_json: bool) -> str:
        """Return the output as text or JSON."""
        if not as_json:
            return "\n".join(self.lines)
        return msgspec.json.encode({"result": self.result} | self.body).decode()


_STORE_CODES = {
    StoreFaultKind.NO_ANSWER: ExitCode.STORE,
    StoreFaultKind.UNREADABLE: ExitCode.STORE,
    StoreFaultKind.RESTORED: ExitCode.STORE,
    StoreFaultKind.NUMBER_TAKEN: ExitCode.NUMBER_TAKEN,
    StoreFaultKind.REJECTED: ExitCode.INVALID,
}
_UNSETTLED = (StoreFaultKind.NO_ANSWER, StoreFaultKind.RESTORED)
_SIGNS = {DiffKind.ADDED: "+", DiffKind.REMOVED: "-", DiffKind.CHANGED: "~"}


def report_faults(faults: list[TicketFault]) -> Report:
    """Report the faults of an invalid ticket."""
    lines = [
        f"fault={fault.kind.value} subject={quote(fault.subject or '-')} "
        f"{_format_text(fault.detail)}"
        for fault in faults
    ]
    return Report(
        code=ExitCode.INVALID,
        result="invalid_ticket",
        lines=[line.rstrip() for line in lines],
        body={"faults": faults},
    )


def report_store_fault(fault: StoreFault, ticket: ChangeTicket | None) -> Report:
    """Report why tickets could not be read or submitted.

    Args:
        fault: the failure.
        ticket: the ticket that was being submitted, if any.
    """
    words = [f"failure={fault.kind.value}"]
    body: dict = {"detail": fault.detail}
    if fault.winner is not None:
        winner = fault.winner
        words.append(f"number={winner.number} winner={winner.author!r}")
        words.append(f"reason={winner.reason!r} identity={quote(winner.identity)}")
        body["winner"] = summarise_ticket(winner)
    if fault.detail:
        words.append(f"detail={fault.detail!r}")
    lines = [" ".join(words)]
    if ticket is not None and fault.kind in _UNSETTLED:
        lines.append(
            "It is not known whether the ticket was accepted. To settle that, set "
            f'"identity": "{ticket.identity}" in the file and apply it again.'
        )
        body["identity"] = ticket.identity
    return Report(
        code=_STORE_CODES[fault.kind], result=fault.kind.value, lines=lines, body=body
    )


def report_diff(
    differences: list[DiffLine], *, number: int, digests: tuple[str, str]
) -> Report:
    """Report what a ticket changes."""
    lines = [f"ticket={number} digest_before={digests[0]} digest_after={digests[1]}"]
    for line in differences:
        values = f"{line.before or ''} -> {line.after or ''}"
        if line.kind is not DiffKind.CHANGED:
            values = line.before or line.after
        text = _format_text(f"{line.path} {values}".rstrip())
        lines.append(f"{_SIGNS[line.kind]} {text}")
    body = {
        "number": number,
        "digest_before": digests[0],
        "digest_after": digests[1],
        "differences": differences,
    }
    return Report(code=ExitCode.DONE, result="done", lines=lines, body=body)


def report_history(tickets: tuple[ChangeTicket, ...]) -> Report:
    """Report the accepted tickets."""
    lines = []
    for ticket in tickets:
        groups = _join_names(group.name for group in ticket.groups)
        lines.append(
            f"ticket={ticket.number} author={ticket.author!r} "
            f"reason={ticket.reason!r} groups={groups} "
            f"identity={quote(ticket.identity)}"
        )
    body = {"tickets": [summarise_ticket(ticket) for ticket in tickets]}
    return Report(code=ExitCode.DONE, result="done", lines=lines, body=body)


def report_status(status: OperatorStatus) -> Report:
    """Report a VM's status."""
    lines = []
    for vm in status.vms:
        suspected = " suspected" if vm.suspected else ""
        lines.append(
            f"vm={quote(vm.name)} region={quote(vm.region)} "
            f"incarnation={vm.incarnation} state={vm.state.value} ticket={vm.ticket} "
            f"heard_seconds={vm.heard_seconds}{suspected}"
        )
    for database in status.databases:
        lines.extend(_describe_database(database))
    hidden = status.database_count - len(status.databases)
    if hidden:
        lines.append(f"further_databases={hidden}")
    body = {"status": status}
    return Report(code=ExitCode.DONE, result="done", lines=lines, body=body)


def report_no_status(detail: str) -> Report:
    """Report that no operator port answers."""
    return Report(
        code=ExitCode.OPERATOR,
        result="operator_no_answer",
        lines=[f"failure=operator_no_answer detail={detail!r}"],
        body={"detail": detail},
    )


def report_waiting(ticket: ChangeTicket, lagging: list[str]) -> Report:
    """Report that a ticket waits until the one before is in force everywhere."""
    names = _join_names(lagging)
    return Report(
        code=ExitCode.EARLIER_NOT_IN_FORCE,
        result="earlier_ticket_not_in_force",
        lines=[
            f"failure=earlier_ticket_not_in_force ticket={ticket.number - 1} "
            f"lagging={names}"
        ],
        body={"number": ticket.number - 1, "lagging": lagging},
    )


def summarise_ticket(ticket: ChangeTicket) -> dict:
    """Return a ticket's metadata and the names of its groups."""
    return {
        "number": ticket.number,
        "author": ticket.author,
        "reason": ticket.reason,
        "identity": ticket.identity,
        "groups": [group.name for group in ticket.groups],
    }


def _describe_database(database: DatabaseReport) -> list[str]:
    """Return the lines of a database and its servers."""
    owners = _join_names(f"{region}:{vm}" for region, vm in database.owners.items())
    lines = [
        f"database={quote(database.name)} group={quote(database.group)} "
        f"primary={quote(database.primary)} term={database.term} owners={owners}"
    ]
    for server in database.servers:
        words = f"  server={quote(server.name)} state={quote(server.state)}"
        status = server.status
        if status is None:
            lines.append(f"{words} status=none")
            continue
        lines.append(
            f"{words} role={status.role.value} term={status.term} "
            f"position={status.position.term}:{status.position.offset} "
            f"age_seconds={server.status_age_seconds}"
        )
    return lines


def _join_names(names: Iterable[str]) -> str:
    """Return names as the value of a pair; a comma in one is not told apart."""
    text = ",".join(names)
    return quote(text) if text else ""


def _format_text(text: str) -> str:
    """Return a text that ends a line, as in JSON if it would not stay on the line."""
    return text if text.isprintable() else json.dumps(text)
