"""The state that results from the accepted tickets."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from ..model import ChangeTicket, Database, DatabaseGroup

DIGEST_BYTES = 16


@dataclass(slots=True, frozen=True, kw_only=True)
class TicketState:
    """The result of applying tickets 1 to `number`; number 0 is the empty state.

    Args:
        number: number of the last ticket applied.
        groups: the groups by name; never changed in place.
    """

    number: int = 0
    groups: Mapping[str, DatabaseGroup] = field(default_factory=dict)


def apply_ticket(state: TicketState, ticket: ChangeTicket) -> TicketState:
    """Return the state after the next ticket.

    Each group that the ticket names is replaced as a whole; a group without
    databases is removed. A ticket whose number is not the next one leaves the
    state unchanged, so repeated and early deliveries have no effect.

    >>> ticket = ChangeTicket(number=1, author="a", identity="i", groups=())
    >>> state = apply_ticket(TicketState(), ticket)
    >>> state.number, apply_ticket(state, ticket) is state
    (1, True)
    """
    if ticket.number != state.number + 1:
        return state
    groups = dict(state.groups)
    for group in ticket.groups:
        groups.pop(group.name, None)
        if group.databases:
            groups[group.name] = group
    return TicketState(number=ticket.number, groups=groups)


def digest_state(state: TicketState) -> str:
    """Return a BLAKE2b digest of the state in hexadecimal digits.

    The order of groups, databases and servers in the tickets does not affect it.
    """
    groups = sorted(
        (_sort_databases(group) for group in state.groups.values()),
        key=lambda group: group.name,
    )
    encoded = msgspec.json.encode((state.number, groups))
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def _sort_databases(group: DatabaseGroup) -> DatabaseGroup:
    databases = sorted(
        (_sort_servers(database) for database in group.databases),
        key=lambda database: database.name,
    )
    return msgspec.structs.replace(group, databases=tuple(databases))


def _sort_servers(database: Database) -> Database:
    servers = sorted(database.servers, key=lambda server: server.name)
    return msgspec.structs.replace(database, servers=tuple(servers))
