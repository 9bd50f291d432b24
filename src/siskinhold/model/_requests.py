"""Requests: one statement of one caller on its way through the system."""

import enum

from msgspec import Struct

from ._positions import Position


class StatementKind(enum.Enum):
    """What a statement needs from the system."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class RequestId(Struct, frozen=True):
    """Identity of a request, unique over all VMs and restarts.

    Args:
        vm: the entry VM.
        incarnation: that VM's incarnation.
        sequence: count of requests of that incarnation.
    """

    vm: str
    incarnation: int
    sequence: int

    def __str__(self) -> str:
        return f"{self.vm}.{self.incarnation}.{self.sequence}"


class Marks(Struct, frozen=True, kw_only=True):
    """What the caller said about a statement.

    Args:
        once: the statement must run at most once.
        key: idempotency key of a statement marked `once`; empty without one.
        max_age_ms: accepted age of the data read, in ms; None for the rule.
        deadline_ms: time the statement may take, in ms; None for the rule.
    """

    once: bool = False
    key: str = ""
    max_age_ms: int | None = None
    deadline_ms: int | None = None


class Request(Struct, frozen=True, kw_only=True):
    """One statement with all that its owner needs to run it.

    Args:
        id: identity.
        database: database name.
        tenant: the caller's user name, for fair queueing.
        kind: what the statement needs.
        sql: the statement's text.
        marks: what the caller said about it.
        need: position that a server must cover; None for none.
        max_age_ms: accepted age of data read, in ms.
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
