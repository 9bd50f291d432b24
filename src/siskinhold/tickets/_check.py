"""Checks a change ticket against the state that it applies to."""

import ipaddress
import re
from collections.abc import Iterator

import msgspec

from ..model import BackendServer, ChangeTicket, Database, DatabaseGroup, RoutingRules
from ..store import MAX_VALUE_BYTES
from ._faults import TicketFault, TicketFaultKind as Kind
from ._state import TicketState

# Names become parts of store keys, metric labels and log lines.
_NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")
_MAX_TEXT_CHARACTERS = 1_000
_MAX_IDENTITY_CHARACTERS = 64
# A majority must survive the loss of one instance.
_MIN_INSTANCES = 3
_MAX_PORT = 65_535
_MAX_SLOTS = 10_000
_MAX_CONNECTIONS = 10_000
_MAX_AGE_MS = 86_400_000
_MAX_DEADLINE_MS = 3_600_000


def check_ticket(ticket: ChangeTicket, state: TicketState) -> list[TicketFault]:
    """Return all faults of a ticket; the list is empty if it may be applied.

    Names and addresses must be unique in the whole resulting state, including
    the groups that the ticket does not name.

    Args:
        ticket: the ticket to check.
        state: the state that the ticket applies to.
    """
    faults = list(_check_ticket_fields(ticket, state))
    for group in ticket.groups:
        faults.extend(_check_group(group))
        faults.extend(_check_instance_changes(group, state))
    faults.extend(_check_unique(ticket, state))
    return faults


def _check_ticket_fields(
    ticket: ChangeTicket, state: TicketState
) -> Iterator[TicketFault]:
    """Yield faults of the ticket as a whole, such as its number and its size."""
    expected = state.number + 1
    if ticket.number != expected:
        detail = f"number {ticket.number} is not the next one, {expected}"
        yield TicketFault(kind=Kind.NUMBER_NOT_NEXT, detail=detail)
    if not ticket.author.strip():
        yield TicketFault(kind=Kind.AUTHOR_EMPTY)
    for field, text in (("author", ticket.author), ("reason", ticket.reason)):
        yield from _check_range(field, "length", len(text), 0, _MAX_TEXT_CHARACTERS)
    if not _is_valid_identity(ticket.identity):
        yield TicketFault(kind=Kind.IDENTITY_INVALID, detail=repr(ticket.identity))
    if not ticket.groups:
        yield TicketFault(kind=Kind.NO_GROUPS)
    size = len(msgspec.json.encode(ticket))
    if size > MAX_VALUE_BYTES:
        detail = f"{size} bytes exceed {MAX_VALUE_BYTES}"
        yield TicketFault(kind=Kind.TOO_LARGE, detail=detail)
    for group in ticket.groups:
        if not group.databases and group.name not in state.groups:
            yield TicketFault(kind=Kind.UNKNOWN_GROUP_REMOVED, subject=group.name)


def _check_group(group: DatabaseGroup) -> Iterator[TicketFault]:
    yield from _check_name(group.name, group.name)
    yield from _check_rules(group.name, group.rules)
    for database in group.databases:
        yield from _check_database(f"{group.name}/{database.name}", database)


def _check_rules(subject: str, rules: RoutingRules) -> Iterator[TicketFault]:
    yield from _check_range(subject, "max_age_ms", rules.max_age_ms, 0, _MAX_AGE_MS)
    yield from _check_range(
        subject, "deadline_ms", rules.deadline_ms, 1, _MAX_DEADLINE_MS
    )


def _check_database(subject: str, database: Database) -> Iterator[TicketFault]:
    yield from _check_name(subject, database.name)
    count = len(database.servers)
    if count < _MIN_INSTANCES:
        detail = f"{count} instances; at least {_MIN_INSTANCES} are needed"
        yield TicketFault(kind=Kind.INSTANCES_TOO_FEW, subject=subject, detail=detail)
    yield from _check_primary(subject, database)
    for server in database.servers:
        yield from _check_server(f"{subject}/{server.name}", server)


def _check_instance_changes(
    group: DatabaseGroup, state: TicketState
) -> Iterator[TicketFault]:
    """Report each database with more than one instance added or removed.

    Acknowledgements and promotions require a majority of the instances in the
    ticket state of the VM that counts them. While a ticket spreads, some VMs
    count the old set and others the new one, so each majority of one set must
    share an instance with each majority of the other. Sets that differ in one
    instance guarantee that; replacing an instance in one ticket doesn't.
    """
    for database, changed in _find_instance_changes(group, state):
        if len(changed) <= 1:
            continue
        names = " ".join(sorted({name for name, _ in changed}))
        yield TicketFault(
            kind=Kind.INSTANCES_CHANGED,
            subject=f"{group.name}/{database}",
            detail=f"{names}; one instance may join or leave in one ticket",
        )


def list_changed_databases(ticket: ChangeTicket, state: TicketState) -> list[str]:
    """Return the names of existing databases whose instances a ticket changes."""
    names = []
    for group in ticket.groups:
        for database, _ in _find_instance_changes(group, state):
            names.append(database)
    return names


def _find_instance_changes(
    group: DatabaseGroup, state: TicketState
) -> Iterator[tuple[str, set[tuple[str, tuple[str, int]]]]]:
    """Yield each existing database with the instances added to it or removed."""
    before = {}
    for current_group in state.groups.values():
        for database in current_group.databases:
            before[database.name] = _list_instances(database)
    for database in group.databases:
        if database.name not in before:
            continue
        changed = before[database.name] ^ _list_instances(database)
        if changed:
            yield database.name, changed


def _list_instances(database: Database) -> set[tuple[str, tuple[str, int]]]:
    """Return the names and normalized addresses of a database's servers."""
    return {(server.name, _normalize_address(server)) for server in database.servers}


def _check_primary(subject: str, database: Database) -> Iterator[TicketFault]:
    names = {server.name for server in database.servers}
    if database.primary not in names:
        yield TicketFault(
            kind=Kind.UNKNOWN_PRIMARY, subject=subject, detail=database.primary
        )


def _check_server(subject: str, server: BackendServer) -> Iterator[TicketFault]:
    yield from _check_name(subject, server.name)
    if not _is_ip(server.host):
        yield TicketFault(kind=Kind.HOST_NOT_IP, subject=subject, detail=server.host)
    yield from _check_range(subject, "port", server.port, 1, _MAX_PORT)
    yield from _check_range(subject, "slots", server.slots, 1, _MAX_SLOTS)
    # A slot is one of the statements that a server runs at once; each one needs a
    # separate connection.
    minimum = max(1, min(server.slots, _MAX_CONNECTIONS))
    yield from _check_range(
        subject, "connections", server.connections, minimum, _MAX_CONNECTIONS
    )
    yield from _check_location_name(subject, server.region, Kind.REGION_EMPTY)
    yield from _check_location_name(subject, server.availability_zone, Kind.ZONE_EMPTY)


def _check_location_name(
    subject: str, name: str, empty_kind: Kind
) -> Iterator[TicketFault]:
    """Yield a fault if a region or an availability zone is empty or invalid."""
    if not name:
        yield TicketFault(kind=empty_kind, subject=subject)
        return
    yield from _check_name(subject, name)


def _check_name(subject: str, name: str) -> Iterator[TicketFault]:
    if not _NAME.fullmatch(name):
        yield TicketFault(kind=Kind.NAME_INVALID, subject=subject, detail=repr(name))


def _check_range(
    subject: str, field: str, value: int, minimum: int, maximum: int
) -> Iterator[TicketFault]:
    if not minimum <= value <= maximum:
        detail = f"{field} {value} is not from {minimum} to {maximum}"
        yield TicketFault(kind=Kind.OUT_OF_RANGE, subject=subject, detail=detail)


def _check_unique(ticket: ChangeTicket, state: TicketState) -> Iterator[TicketFault]:
    """Yield a fault for each name or address used twice in the resulting state."""
    group_names: set[str] = set()
    databases: dict[str, str] = {}
    registered_paths: set[str] = set()
    servers: dict[str, str] = {}
    addresses: dict[tuple[str, int], str] = {}
    named_groups = {group.name for group in ticket.groups}
    for group in _list_other_groups(state, named_groups):
        for database in group.databases:
            databases[database.name] = group.name
            for server in database.servers:
                servers[server.name] = f"{group.name}/{database.name}"
                addresses[_normalize_address(server)] = server.name
    for group in ticket.groups:
        if group.name in group_names:
            yield TicketFault(kind=Kind.DUPLICATE_GROUP, subject=group.name)
        group_names.add(group.name)
        for database in group.databases:
            yield from _register_database(databases, registered_paths, group, database)
            for server in database.servers:
                subject = f"{group.name}/{database.name}"
                yield from _register_server(servers, addresses, subject, server)


def _list_other_groups(
    state: TicketState, named_groups: set[str]
) -> Iterator[DatabaseGroup]:
    """Yield the groups of the state that the ticket leaves unchanged."""
    for name, group in state.groups.items():
        if name not in named_groups:
            yield group


def _register_database(
    databases: dict[str, str],
    registered_paths: set[str],
    group: DatabaseGroup,
    database: Database,
) -> Iterator[TicketFault]:
    """Add a database to the registered ones; yield a fault if its name is taken."""
    other_group = databases.setdefault(database.name, group.name)
    subject = f"{group.name}/{database.name}"
    if other_group != group.name:
        yield TicketFault(
            kind=Kind.DATABASE_IN_TWO_GROUPS, subject=subject, detail=other_group
        )
        return
    if subject in registered_paths:
        yield TicketFault(kind=Kind.DUPLICATE_DATABASE, subject=subject)
    registered_paths.add(subject)


def _register_server(
    servers: dict[str, str],
    addresses: dict[tuple[str, int], str],
    subject: str,
    server: BackendServer,
) -> Iterator[TicketFault]:
    """Add a server; yield a fault for its name and its address if they are taken."""
    path = f"{subject}/{server.name}"
    if server.name in servers:
        yield TicketFault(
            kind=Kind.DUPLICATE_SERVER, subject=path, detail=servers[server.name]
        )
    servers[server.name] = subject
    # A server listed under two names would count twice in a majority.
    address = _normalize_address(server)
    if address in addresses:
        yield TicketFault(
            kind=Kind.DUPLICATE_ADDRESS, subject=path, detail=addresses[address]
        )
    addresses[address] = server.name


def _normalize_address(server: BackendServer) -> tuple[str, int]:
    """Return an address in a form that is equal for all spellings of the IP."""
    if not _is_ip(server.host):
        return server.host, server.port
    address = ipaddress.ip_address(server.host)
    # An IPv4 address can also be written as an IPv4-mapped IPv6 address.
    unmapped = getattr(address, "ipv4_mapped", None) or address
    return str(unmapped), server.port


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_valid_identity(identity: str) -> bool:
    if not 0 < len(identity) <= _MAX_IDENTITY_CHARACTERS:
        return False
    return identity.isprintable()
