"""Results of classifying a statement."""

import enum
from dataclasses import dataclass

from ..model import Marks, StatementKind


class Fault(enum.Enum):
    """Why a statement is refused by the entry VM, which the caller is connected to."""

    EMPTY = "empty"
    MARK_INVALID = "mark_invalid"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, kw_only=True, frozen=True)
class StatementError:
    """A refused statement.

    Args:
        fault: the kind of fault.
        detail: description for the caller.
    """

    fault: Fault
    detail: str


@dataclass(slots=True, kw_only=True, frozen=True)
class Forwarded:
    """A statement for a backend server.

    Args:
        kind: whether it reads, writes, or begins or ends a transaction.
        marks: the execution hints given by the caller.
        commits: whether it implicitly commits an open transaction before it runs.
    """

    kind: StatementKind
    marks: Marks
    commits: bool = False


@dataclass(slots=True, kw_only=True, frozen=True)
class AcceptSetting:
    """A SET of a value that every backend connection already has."""


@dataclass(slots=True, kw_only=True, frozen=True)
class SetAutocommit:
    """`SET autocommit = ...`."""

    enabled: bool


@dataclass(slots=True, kw_only=True, frozen=True)
class SetCharset:
    """`SET NAMES ...`; the name is in lower case."""

    name: str


@dataclass(slots=True, kw_only=True, frozen=True)
class UseDatabase:
    """`USE name`."""

    database: str


@dataclass(slots=True, kw_only=True, frozen=True)
class PresentToken:
    """`SET @siskinhold_token = '...'`."""

    token: str


@dataclass(slots=True, kw_only=True, frozen=True)
class ReadValues:
    """A SELECT of values that the entry VM knows.

    Args:
        columns: label and expression of each column. An expression is in
            lower case: `@@name`, `@siskinhold_token` or `function()`.
    """

    columns: tuple[tuple[str, str], ...]


@dataclass(slots=True, kw_only=True, frozen=True)
class ShowWarnings:
    """`SHOW WARNINGS` or `SHOW ERRORS`."""


Classified = (
    Forwarded
    | AcceptSetting
    | SetAutocommit
    | SetCharset
    | UseDatabase
    | PresentToken
    | ReadValues
    | ShowWarnings
)
