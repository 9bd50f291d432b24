"""Outcomes of a request, as reported to its caller."""

import enum

from msgspec import Struct


class NotRunReason(enum.Enum):
    """Why a statement was refused before it ran."""

    DEADLINE = "deadline"
    OVERLOAD = "overload"
    NO_PRIMARY = "no_primary"
    NO_OWNER = "no_owner"
    POSITION_LOST = "position_lost"
    TRANSACTION_LOST = "transaction_lost"
    TOKEN_INVALID = "token_invalid"
    UNKNOWN_DATABASE = "unknown_database"
    STATEMENT_TOO_LARGE = "statement_too_large"
    UNSUPPORTED = "unsupported"
    SHUTDOWN = "shutdown"


class UnknownReason(enum.Enum):
    """Why the proxy can't determine whether a statement ran."""

    CONNECTION_LOST = "connection_lost"
    DEADLINE = "deadline"
    OWNER_LOST = "owner_lost"
    TERM_NOT_CONFIRMED = "term_not_confirmed"
    KEY_UNSETTLED = "key_unsettled"
    SHUTDOWN = "shutdown"


class Column(Struct, frozen=True):
    """A result column: its name and its MySQL type code and character set."""

    name: str
    type_code: int = 253
    charset: int = 45


class Done(Struct, frozen=True, kw_only=True, tag="done"):
    """The statement ran.

    Args:
        columns: the result's columns; empty for a statement that returns no rows.
        rows: rows of values in the text protocol; None stands for NULL.
        affected_rows: number of rows changed.
        insert_id: the last generated key; 0 if none.
        repeated: whether the idempotency key already existed, which shows that
            the statement had run before.
        warnings: number of warnings.
    """

    columns: tuple[Column, ...] = ()
    rows: tuple[tuple[bytes | None, ...], ...] = ()
    affected_rows: int = 0
    insert_id: int = 0
    repeated: bool = False
    warnings: int = 0


class Failed(Struct, frozen=True, kw_only=True, tag="failed"):
    """The backend server answered the statement with an error.

    Args:
        code: MySQL error code.
        sqlstate: SQLSTATE, five characters.
        message: the server's error message.
    """

    code: int
    sqlstate: str
    message: str


class NotRun(Struct, frozen=True, kw_only=True, tag="not_run"):
    """The statement did not run and will not run later."""

    reason: NotRunReason
    detail: str = ""


class Unknown(Struct, frozen=True, kw_only=True, tag="unknown"):
    """The statement may or may not have run."""

    reason: UnknownReason
    detail: str = ""


Outcome = Done | Failed | NotRun | Unknown
