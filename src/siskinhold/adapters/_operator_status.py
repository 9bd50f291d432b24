"""The status that a VM reports to operators."""

from collections.abc import Callable

from msgspec import Struct

from ..core import NodeState
from ..model import Database, ServerStatus, VmState

# Returns the last status report of a backend server and the time at which the query
# for it started, in seconds of the runtime's clock; None without a report.
ReadServerStatus = Callable[[str], tuple[ServerStatus, float] | None]
# Returns the pool owner of a database in a region: the VM that keeps the connections to
# the database's servers there and runs requests on them. None if no VM is live.
FindOwner = Callable[[NodeState, str, str], str | None]


class VmReport(Struct, frozen=True, kw_only=True):
    """The state of a VM as known to the answering VM.

    Args:
        ticket: highest change ticket in force on it.
        heard_seconds: time since its last sign of life; 0 for the answering VM.
        suspected: whether it is suspected of having failed.
    """

    name: str
    region: str
    availability_zone: str
    incarnation: int
    state: VmState
    ticket: int
    heard_seconds: float
    suspected: bool = False


class ServerReport(Struct, frozen=True, kw_only=True):
    """The state of a backend server.

    Args:
        state: `active` or `leaving` (being drained), from the change tickets.
        status: the last status report known to the answering VM, if any.
        status_age_seconds: time since the query for that report started.
    """

    name: str
    host: str
    port: int
    region: str
    availability_zone: str
    state: str
    status: ServerStatus | None = None
    status_age_seconds: float | None = None


class DatabaseReport(Struct, frozen=True, kw_only=True):
    """The state of a database.

    Args:
        primary: the primary of the highest completed term; that of the change tickets
            if no promotion has completed.
        term: that term; 0 if no promotion has completed.
        promotion_vm: the VM that has reserved a later term, or empty.
        owners: the pool owner by region; empty if no VM is live in any region.
    """

    name: str
    group: str
    primary: str
    term: int
    promotion_vm: str = ""
    owners: dict[str, str]
    servers: tuple[ServerReport, ...]


class OperatorStatus(Struct, frozen=True, kw_only=True):
    """The answer to `GET /status`.

    Args:
        vm: the answering VM's name.
        ticket: highest change ticket in force on it.
        ticket_seconds: time since that ticket came into force; None before the first.
        watching: whether this VM is the watcher: it watches the store for its region.
        vms: all VMs known to the answering VM, itself first.
        database_count: number of databases that match the query.
        databases: the first matching databases by name, up to the limit.
    """

    vm: str
    incarnation: int
    state: VmState
    ticket: int
    ticket_seconds: float | None
    watching: bool
    vms: tuple[VmReport, ...]
    database_count: int
    databases: tuple[DatabaseReport, ...]


def report_vms(node: NodeState, now: float) -> tuple[VmReport, ...]:
    """Return the VMs known to a node, itself first.

    Args:
        now: seconds of the runtime's clock.
    """
    address = node.identity.address
    own = VmReport(
        name=address.name,
        region=address.region,
        availability_zone=address.availability_zone,
        incarnation=node.identity.incarnation,
        state=node.membership.state,
        ticket=node.config.applied,
        heard_seconds=0.0,
    )
    reports = [own]
    for name in sorted(node.membership.peers):
        peer = node.membership.peers[name]
        view = peer.view
        reports.append(
            VmReport(
                name=name,
                region=view.address.region,
                availability_zone=view.address.availability_zone,
                incarnation=view.incarnation,
                state=view.state,
                ticket=view.ticket,
                heard_seconds=_round_age(now - peer.heard_at),
                suspected=peer.suspected_at is not None,
            )
        )
    return tuple(reports)


def report_database(
    node: NodeState,
    name: str,
    *,
    now: float,
    find_owner: FindOwner,
    read_status: ReadServerStatus,
) -> DatabaseReport | None:
    """Return the state of a database; None if no ticket in force defines it.

    Args:
        now: seconds of the runtime's clock.
        find_owner: returns the pool owner in a region.
        read_status: returns the last status report of a server.
    """
    entry = node.config.databases.get(name)
    if entry is None:
        return None
    group, database = entry
    record = node.config.records.get(name)
    reservation = record.reservation if record else None
    promoting = reservation is not None and reservation.term > record.term
    return DatabaseReport(
        name=name,
        group=group.name,
        primary=(record.primary if record else None) or database.primary,
        term=record.term if record else 0,
        promotion_vm=reservation.vm if promoting else "",
        owners=_report_owners(node, database, find_owner),
        servers=_report_servers(database, now, read_status),
    )


def _report_owners(
    node: NodeState, database: Database, find_owner: FindOwner
) -> dict[str, str]:
    """Return the pool owner of a database in each region with a server of it."""
    regions = sorted({server.region for server in database.servers})
    owners = {}
    for region in regions:
        owners[region] = find_owner(node, database.name, region) or ""
    return owners


def _report_servers(
    database: Database, now: float, read_status: ReadServerStatus
) -> tuple[ServerReport, ...]:
    reports = []
    for server in database.servers:
        report = read_status(server.name)
        reports.append(
            ServerReport(
                name=server.name,
                host=server.host,
                port=server.port,
                region=server.region,
                availability_zone=server.availability_zone,
                state=server.state.value,
                status=report[0] if report else None,
                status_age_seconds=_round_age(now - report[1]) if report else None,
            )
        )
    return tuple(reports)


def _round_age(seconds: float) -> float:
    return round(max(0.0, seconds), 3)
