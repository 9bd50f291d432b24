"""Encoding of outcomes as MySQL packets and error codes.

The packet functions of mysql-mimic accept only the error codes, column types and
character sets of its own enumerations; those of a backend server must reach the
caller unchanged.
"""

import functools

from mysql_mimic.results import ResultColumn
from mysql_mimic.types import ColumnType, str_len, uint_1, uint_2, uint_4, uint_len

from ..model import Column, Failed, NotRun, NotRunReason, Unknown
from ..statements import Fault, StatementError

# Error codes: those from 5001 to 5005 are siskinhold's own, the others MySQL's.
NOT_RUN = 5001
UNKNOWN = 5002
TOKEN_INVALID = 5003
UNSUPPORTED = 5004
MARK_INVALID = 5005
UNSUPPORTED_PREPARE = 1295
EMPTY_QUERY = 1065
MALFORMED_PACKET = 1835
UNKNOWN_COMMAND = 1047
TOO_MANY_SESSIONS = 1040
SHUTDOWN = 1053
UNKNOWN_VARIABLE = 1193

BAD_HANDSHAKE = Failed(code=1043, sqlstate="08S01", message="bad handshake")

_GENERAL_SQLSTATE = "HY000"
_COLUMN_LENGTH = 1_024
_MAX_CACHED_COLUMNS = 4_096
# Row values are already encoded, so they are sent unchanged for every column type.
RAW_COLUMN = ResultColumn("", ColumnType.VAR_STRING)

SHUTDOWN_ERROR = Failed(
    code=SHUTDOWN,
    sqlstate="08S01",
    message="not_run reason=shutdown the connection is closed",
)


def make_refusal(code: int, reason: str, detail: str = "") -> Failed:
    """Return the error for a statement that did not run."""
    text = f"not_run reason={reason}"
    message = f"{text} {detail}" if detail else text
    return Failed(code=code, sqlstate=_GENERAL_SQLSTATE, message=message)


def to_error(outcome: Failed | NotRun | Unknown) -> Failed:
    """Return the error that a caller receives for an unsuccessful outcome."""
    if isinstance(outcome, Failed):
        return outcome
    if isinstance(outcome, NotRun):
        code = _NOT_RUN_CODES.get(outcome.reason, NOT_RUN)
        return make_refusal(code, outcome.reason.value, outcome.detail)
    text = f"unknown reason={outcome.reason.value}"
    message = f"{text} {outcome.detail}" if outcome.detail else text
    return Failed(code=UNKNOWN, sqlstate=_GENERAL_SQLSTATE, message=message)


def to_refusal(error: StatementError) -> Failed:
    """Return the error for a statement that could not be classified."""
    if error.fault is Fault.EMPTY:
        return Failed(code=EMPTY_QUERY, sqlstate="42000", message=error.detail)
    code = MARK_INVALID if error.fault is Fault.MARK_INVALID else UNSUPPORTED
    return make_refusal(code, error.fault.value, error.detail)


def make_error(error: Failed) -> bytes:
    """Return an error packet."""
    state = error.sqlstate.encode("ascii", "replace")[:5].ljust(5, b"0")
    message = error.message.encode("utf-8", "replace")
    return b"\xff" + uint_2(error.code & 0xFFFF) + b"#" + state + message


@functools.lru_cache(maxsize=_MAX_CACHED_COLUMNS)
def make_column(column: Column) -> bytes:
    """Return a column definition packet.

    Name, type and character set are the backend server's; the rest is constant.
    """
    name = str_len(column.name.encode("utf-8", "replace"))
    empty = str_len(b"")
    return b"".join(
        (
            str_len(b"def"),
            empty,
            empty,
            empty,
            name,
            name,
            uint_len(0x0C),
            uint_2(column.charset & 0xFFFF),
            uint_4(_COLUMN_LENGTH),
            uint_1(column.type_code & 0xFF),
            uint_2(0),
            uint_1(0),
            uint_2(0),
        )
    )


_NOT_RUN_CODES = {
    NotRunReason.TOKEN_INVALID: TOKEN_INVALID,
    NotRunReason.UNSUPPORTED: UNSUPPORTED,
}
