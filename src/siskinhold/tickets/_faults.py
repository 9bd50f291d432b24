"""Faults of change tickets."""

import enum
from dataclasses import dataclass


class TicketFaultKind(enum.Enum):
    """Why a ticket is refused."""

    MALFORMED_TEXT = "malformed_text"
    NUMBER_NOT_NEXT = "number_not_next"
    AUTHOR_EMPTY = "author_empty"
    IDENTITY_INVALID = "identity_invalid"
    NO_GROUPS = "no_groups"
    UNKNOWN_GROUP_REMOVED = "unknown_group_removed"
    NAME_INVALID = "name_invalid"
    DUPLICATE_GROUP = "duplicate_group"
    DUPLICATE_DATABASE = "duplicate_database"
    DATABASE_IN_TWO_GROUPS = "database_in_two_groups"
    DUPLICATE_SERVER = "duplicate_server"
    DUPLICATE_ADDRESS = "duplicate_address"
    UNKNOWN_PRIMARY = "unknown_primary"
    INSTANCES_CHANGED = "instances_changed"
    INSTANCES_TOO_FEW = "instances_too_few"
    HOST_NOT_IP = "host_not_ip"
    OUT_OF_RANGE = "out_of_range"
    REGION_EMPTY = "region_empty"
    ZONE_EMPTY = "zone_empty"
    TOO_LARGE = "too_large"


@dataclass(slots=True, frozen=True, kw_only=True)
class TicketFault:
    """One fault of a ticket.

    Args:
        kind: the kind of fault.
        subject: the faulty field, or the path of the faulty item, such as
            `group/database/server`; empty for the ticket as a whole.
        detail: the value found or the limit exceeded, for the operator.
    """

    kind: TicketFaultKind
    subject: str = ""
    detail: str = ""
