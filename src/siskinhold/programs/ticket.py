"""The operators' ticket tool: `siskinhold-ticket`.

A ticket is a JSON file with the fields of `ChangeTicket`. Exit codes:

    0  done
    2  wrong usage, or the file can't be read
    3  the ticket is invalid
    4  the ticket's number is taken by another ticket
    5  the store can't be reached, its tickets can't be read, or it was restored
    6  the ticket is accepted, but not in force everywhere in time
    7  no operator port can be reached (`status`, or a ticket that changes servers)
    8  not submitted: it changes servers, and the ticket before is not in force yet
"""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import uvloop
from result import Err, Ok, Result

from ..adapters import StoreClient
from ..model import ChangeTicket
from ..observability import quote
from ..tickets import (
    apply_ticket,
    check_ticket,
    diff_states,
    digest_state,
    list_changed_databases,
    parse_ticket,
)
from ._ticket_report import (
    ExitCode,
    Report,
    report_diff,
    report_faults,
    report_history,
    report_no_status,
    report_status,
    report_store_fault,
    report_waiting,
)
from ._ticket_reservations import withdraw_reservations
from ._ticket_status import (
    STATUS_TIMEOUT_SECONDS,
    StatusReader,
    find_operator_urls,
    list_lagging_vms,
    wait_until_in_force,
)
from ._ticket_store import (
    History,
    StoreFault,
    StoreFaultKind,
    compare_accepted,
    load_history,
    submit_ticket,
)

MAX_SHOWN_DATABASES = 1_000

TicketFile = Annotated[Path, cappa.Arg(value_name="FILE")]


@cappa.command(name="check")
@dataclass(slots=True, kw_only=True)
class Check:
    """Check a ticket against the accepted ones.

    Args:
        file: the ticket.
    """

    file: TicketFile


@cappa.command(name="diff")
@dataclass(slots=True, kw_only=True)
class Diff:
    """Show what a ticket changes.

    Args:
        file: the ticket.
    """

    file: TicketFile


@cappa.command(name="apply")
@dataclass(slots=True, kw_only=True)
class Apply:
    """Submit a ticket.

    Args:
        file: the ticket.
        wait: seconds to wait until it is in force on every live VM.
    """

    file: TicketFile
    wait: Annotated[float | None, cappa.Arg(long=True)] = None


@cappa.command(name="status")
@dataclass(slots=True, kw_only=True)
class Status:
    """Show the ticket in force on every VM, and the databases."""


@cappa.command(name="history")
@dataclass(slots=True, kw_only=True)
class HistoryCommand:
    """Show the accepted tickets."""


@cappa.command(name="siskinhold-ticket")
@dataclass(slots=True, kw_only=True)
class Options:
    """Check, apply and follow change tickets.

    Args:
        store: URL of the platform's store.
        operator: URL of a VM's operator port; by default those on the
            platform's list of VMs.
        json: print JSON.
    """

    command: cappa.Subcommands[Check | Diff | Apply | Status | HistoryCommand]
    store: Annotated[str, cappa.Arg(long=True, propagate=True)] = ""
    operator: Annotated[str, cappa.Arg(long=True, propagate=True)] = ""
    json: Annotated[bool, cappa.Arg(long=True, propagate=True)] = False


async def run(options: Options) -> Report:
    """Run the selected command and return its report."""
    command = options.command
    if isinstance(command, Status) and not options.store:
        return await _show_status(options, None)
    if not options.store:
        return _report_usage("--store is needed")
    try:
        client = StoreClient(url=options.store)
    except ValueError as error:
        return _report_usage(str(error))
    await client.start()
    try:
        return await _run_with_store(options, client)
    finally:
        await client.stop()


async def _run_with_store(options: Options, client: StoreClient) -> Report:
    """Run a command that needs the store."""
    command = options.command
    if isinstance(command, Status):
        return await _show_status(options, client)
    if isinstance(command, HistoryCommand):
        return await _with_history(client, None, _show_history)
    read = _read_ticket(command.file)
    if isinstance(read, Err):
        return read.err_value
    ticket = read.ok_value
    if isinstance(command, Check):
        return await _with_history(client, ticket, _check)
    if isinstance(command, Diff):
        return await _with_history(client, ticket, _diff)
    report = await _with_history(client, ticket, _make_submit(options, client))
    if report.code is not ExitCode.DONE or command.wait is None:
        return report
    _print_progress(report.lines[0])
    return await _wait(options, client, ticket, command.wait)


async def _with_history(
    client: StoreClient,
    ticket: ChangeTicket | None,
    run_command: Callable[[History, ChangeTicket | None], Awaitable[Report]],
) -> Report:
    """Read the accepted tickets and run a command on them, or report the failure."""
    loaded = await load_history(client)
    if isinstance(loaded, Err):
        return report_store_fault(loaded.err_value, None)
    return await run_command(loaded.ok_value, ticket)


async def _show_history(history: History, ticket: ChangeTicket | None) -> Report:
    return report_history(history.tickets)


async def _check(history: History, ticket: ChangeTicket) -> Report:
    """Report whether a ticket can be applied to the accepted ones."""
    faults = check_ticket(ticket, history.state)
    if faults:
        return report_faults(faults)
    line = f"event=ticket_valid ticket={ticket.number}"
    return Report(code=ExitCode.DONE, result="done", lines=[line])


async def _diff(history: History, ticket: ChangeTicket) -> Report:
    """Report what a valid ticket changes."""
    faults = check_ticket(ticket, history.state)
    if faults:
        return report_faults(faults)
    after = apply_ticket(history.state, ticket)
    digests = (digest_state(history.state), digest_state(after))
    differences = diff_states(history.state, after)
    return report_diff(differences, number=ticket.number, digests=digests)


def _make_submit(options: Options, client: StoreClient):
    """Return a command for `_with_history` that submits the ticket."""

    async def submit(history: History, ticket: ChangeTicket) -> Report:
        return await _submit(options, client, history, ticket)

    return submit


async def _submit(
    options: Options, client: StoreClient, history: History, ticket: ChangeTicket
) -> Report:
    """Submit a valid ticket and report the result.

    A ticket that has already been accepted with its identity counts as done. A number
    that is in force on a VM is not given out again.
    """
    accepted = history.find(ticket.number)
    if accepted is not None:
        result = compare_accepted(ticket, accepted)
    else:
        faults = check_ticket(ticket, history.state)
        if faults:
            return report_faults(faults)
        refused = await _prepare_server_changes(options, client, history, ticket)
        if refused is not None:
            return refused
        if history.era and await _is_in_force(options, client, ticket.number):
            result = await _compare_in_force(client, ticket)
        else:
            result = await submit_ticket(client, ticket, era=history.era)
    if isinstance(result, Err):
        return report_store_fault(result.err_value, ticket)
    identity = quote(ticket.identity)
    line = f"event=ticket_accepted ticket={ticket.number} identity={identity}"
    return Report(
        code=ExitCode.DONE,
        result="done",
        lines=[line],
        body={"number": ticket.number, "identity": ticket.identity},
    )


async def _prepare_server_changes(
    options: Options, client: StoreClient, history: History, ticket: ChangeTicket
) -> Report | None:
    """Make sure that no VM acts on servers of two tickets ago; else return why not.

    Majorities of sets of servers that differ by two tickets may share no server. So
    the tickets before must be in force on every live VM, and promotions that began
    under earlier ones must begin again.
    """
    changed = list_changed_databases(ticket, history.state)
    if not changed:
        return None
    if options.operator or await find_operator_urls(client):
        reader = await _make_reader(options, client)
        read = await reader.read(max_databases=0)
        if isinstance(read, Err):
            return report_no_status(read.err_value)
        lagging = list_lagging_vms(read.ok_value, history.state.number)
        if lagging:
            return report_waiting(ticket, lagging)
    withdrawn = await withdraw_reservations(client, ticket, changed)
    if isinstance(withdrawn, Err):
        return report_store_fault(withdrawn.err_value, None)
    return None


async def _is_in_force(options: Options, client: StoreClient, number: int) -> bool:
    """Return whether a VM reports a ticket of this number, or a later one, in force.

    False if no operator port answers.
    """
    try:
        async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
            reader = await _make_reader(options, client)
            read = await reader.read(max_databases=0)
    except TimeoutError:
        return False
    if isinstance(read, Err):
        return False
    return any(vm.ticket >= number for vm in read.ok_value.vms)


async def _compare_in_force(
    client: StoreClient, ticket: ChangeTicket
) -> Result[None, StoreFault]:
    """Return an error unless this ticket is the one in force with its number.

    Another operator's ticket may have been accepted since the history was read. If the
    store has none of this number, it has lost it.
    """
    loaded = await load_history(client)
    if isinstance(loaded, Err):
        return loaded
    accepted = loaded.ok_value.find(ticket.number)
    if accepted is not None:
        return compare_accepted(ticket, accepted)
    detail = f"ticket/{ticket.number} is in force, but the store lacks it"
    return Err(StoreFault(kind=StoreFaultKind.RESTORED, detail=detail))


async def _wait(
    options: Options, client: StoreClient, ticket: ChangeTicket, seconds: float
) -> Report:
    """Wait until a ticket is in force on every live VM, and report the result."""
    reader = await _make_reader(options, client)
    waited = await wait_until_in_force(
        reader, ticket.number, seconds=seconds, progress=_print_progress
    )
    body = {"number": ticket.number, "identity": ticket.identity}
    if isinstance(waited, Err):
        line = f"event=ticket_not_in_force ticket={ticket.number} {waited.err_value}"
        return Report(
            code=ExitCode.NOT_IN_FORCE,
            result="not_in_force",
            lines=[line],
            body=body | {"detail": waited.err_value},
        )
    identity = quote(ticket.identity)
    line = f"event=ticket_in_force ticket={ticket.number} identity={identity}"
    return Report(code=ExitCode.DONE, result="done", lines=[line], body=body)


async def _show_status(options: Options, client: StoreClient | None) -> Report:
    """Report a VM's status, or why none could be read."""
    reader = await _make_reader(options, client)
    read = await reader.read(max_databases=MAX_SHOWN_DATABASES)
    if isinstance(read, Ok):
        return report_status(read.ok_value)
    return report_no_status(read.err_value)


async def _make_reader(options: Options, client: StoreClient | None) -> StatusReader:
    """Return a reader of the given operator port and those on the store's VM list."""
    urls = [options.operator] if options.operator else []
    if client is None:
        return StatusReader(urls=urls)
    urls += await find_operator_urls(client)
    return StatusReader(urls=urls, find_urls=lambda: find_operator_urls(client))


def _read_ticket(path: Path) -> Result[ChangeTicket, Report]:
    """Return the ticket in a file, or the report of why it is unusable."""
    try:
        text = path.read_bytes()
    except OSError as error:
        return Err(_report_usage(f"the file can't be read: {error}"))
    parsed = parse_ticket(text)
    if isinstance(parsed, Err):
        return Err(report_faults([parsed.err_value]))
    return parsed


def _report_usage(detail: str) -> Report:
    return Report(
        code=ExitCode.USAGE,
        result="usage",
        lines=[f"failure=usage detail={detail!r}"],
        body={"detail": detail},
    )


def _print_progress(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


def main(arguments: list[str] | None = None) -> None:
    """Run the tool and exit; `arguments` default to the command line.

    Raises:
        SystemExit: with one of the exit codes.
    """
    options = cappa.parse(Options, argv=arguments)
    report = uvloop.run(run(options))
    print(report.render(as_json=options.json), flush=True)
    raise SystemExit(int(report.code))


if __name__ == "__main__":
    main()
