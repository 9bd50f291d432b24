"""What a backend server and its control connection report."""

import enum

from msgspec import Struct

from ._positions import Position


class Role(enum.Enum):
    """The role a backend server reports for itself."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"


class ServerStatus(Struct, frozen=True, kw_only=True):
    """One status report of a backend server.

    Args:
        term: highest term the server has accepted, by fence or by replication.
        role: its role at that term.
        position: the end of its log: term and offset of the last entry.
        source_silence_ms: for a replica, ms since it last heard from its
            source; 0 for a primary.
    """

    term: int
    role: Role
    position: Position
    source_silence_ms: int = 0


class ControlFailure(enum.Enum):
    """Why a control connection gave no report."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    REJECTED = "rejected"
