"""Status reports of backend servers and failures of control connections."""

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
        term: highest term that the server has accepted, by fence or by replication.
        role: its role at that term.
        position: position of the last entry of its log.
        source_silence_ms: for a replica, time since it last received data from its
            replication source, in ms; 0 for a primary.
    """

    term: int
    role: Role
    position: Position
    source_silence_ms: int = 0


class ControlFailure(enum.Enum):
    """Why a connection to a backend server failed or gave no answer."""

    REFUSED = "refused"
    TIMEOUT = "timeout"
    CLOSED = "closed"
    REJECTED = "rejected"
