"""MySQL errors that a database instance reports to its clients."""

import re
import sqlite3


class ServerError(Exception):
    """An error that is sent to the client as an error packet.

    Args:
        code: MySQL error code.
        sqlstate: SQLSTATE of five characters.
        message: text for the client.
    """

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


def make_read_only_error() -> ServerError:
    """Return the error of a write on an instance that is not the primary."""
    text = "The MySQL server is running with the --read-only option"
    return ServerError(1290, "HY000", text)


def make_term_error(text: str) -> ServerError:
    """Return the error of a control statement that violates the rules of terms."""
    return ServerError(3100, "HY000", text)


def make_lock_timeout_error() -> ServerError:
    """Return the error of a write whose wait for the lock timed out."""
    text = "Lock wait timeout exceeded; try restarting transaction"
    return ServerError(1205, "HY000", text)


def make_connection_limit_error() -> ServerError:
    """Return the error of a connection above the connection limit."""
    return ServerError(1040, "08004", "Too many connections")


_SQLITE_ERRORS = (
    (re.compile(r"UNIQUE constraint failed"), 1062, "23000"),
    (re.compile(r"NOT NULL constraint failed"), 1048, "23000"),
    (re.compile(r"FOREIGN KEY constraint failed"), 1452, "23000"),
    (re.compile(r"CHECK constraint failed"), 3819, "HY000"),
    (re.compile(r"no such table"), 1146, "42S02"),
    (re.compile(r"no such column|has no column"), 1054, "42S22"),
    (re.compile(r"already exists"), 1050, "42S01"),
    (re.compile(r"no such function"), 1305, "42000"),
    (re.compile(r"values for \d+ columns|columns but \d+ values"), 1136, "21S01"),
    (re.compile(r"syntax error|unrecognized token|incomplete input"), 1064, "42000"),
    (re.compile(r"one statement at a time"), 1064, "42000"),
)


def convert_sqlite_error(error: sqlite3.Error | sqlite3.Warning) -> ServerError:
    """Return the MySQL error that corresponds to a sqlite error."""
    text = str(error)
    for pattern, code, sqlstate in _SQLITE_ERRORS:
        if not pattern.search(text):
            continue
        if code == 1062:
            text = f"Duplicate entry for key ({text})"
        return ServerError(code, sqlstate, text)
    return ServerError(1105, "HY000", text)
