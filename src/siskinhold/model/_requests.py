"""Requests, which carry one statement of a caller through the system."""

import enum

from msgspec import Struct

from ._positions import Position


class StatementKind(enum.Enum):
    """Kind of a statement; determines how the statement is routed."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class RequestId(Struct, frozen=True):
    """Identifier of a request, unique across all VMs and restarts.

    Args:
        vm: the entry VM.
        incarnation: that VM's incarnation.
        sequence: number of the request within that incarnation.
    """

    vm: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.vm}.{self.incarnation}.{self.sequence}"


class Marks(Struct, frozen=True, kw_only=True):
    """Execution hints that a caller attached to a statement.

    Args:
        once: whether the statement must run at most once.
        key: idempotency key of a statement marked `once`; empty without one.
        max_age_ms: maximum age of the data read, in ms; None for the default of
            the routing rules.
        deadline_ms: deadline, in ms; None for the default of the routing rules.
    """

    once: bool = False
    key: str = ""
    max_age_ms: int | None = None
    deadline_ms: int | None = None


class Request(Struct, frozen=True, kw_only=True):
    """A statement with the data that its pool owner needs to run it.

    Args:
        id: identifier of the request.
        database: database name.
        tenant: the caller's user name, for fair queueing.
        kind: kind of the statement.
        sql: the statement's text.
        marks: the caller's execution hints.
        need: the floor: the minimum log position that the server's data must
            include; None for no floor.
        max_age_ms: maximum age of the data read, in ms.
        transaction: id of the BEGIN request of the open transaction, if any.
        opens_transaction: whether it is the transaction's first statement.
        budget_ms: time left until the caller's deadline, in ms.
    """

    id: RequestId
    database: str
    tenant: str
    kind: StatementKind
    sql: str
    marks: Marks = Marks()
    need: Position | None = None
    max_age_ms: int = 0
    transaction: RequestId | None = None
    opens_transaction: bool = False
    budget_ms: int = 5_000
