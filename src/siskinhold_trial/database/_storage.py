"""The rows of one instance, in two in-memory sqlite databases.

The committed database serves reads. The working copy is a second database that
holds the changes of the open write transaction. One database could not serve
both, because sqlite shows a connection its own uncommitted rows.
"""

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass

from ._errors import convert_sqlite_error

SCHEMA = (
    "CREATE TABLE siskinhold_request ("
    "request_key VARCHAR(64) NOT NULL PRIMARY KEY, digest VARCHAR(64),"
    " state VARCHAR(16), created_at DATETIME DEFAULT CURRENT_TIMESTAMP)",
)


@dataclass(slots=True, kw_only=True)
class Result:
    """The result of a statement.

    Args:
        columns: column names; empty for a statement without a result set.
        rows: values as returned by sqlite.
        affected_rows: number of changed rows.
        insert_id: the last generated key, 0 for none.
    """

    columns: tuple[str, ...] = ()
    rows: Sequence[tuple] = ()
    affected_rows: int = 0
    insert_id: int = 0


class Storage:
    """Committed rows and at most one open write transaction."""

    def __init__(self) -> None:
        self._committed = _create()
        self._working: sqlite3.Connection | None = None

    def read(self, sql: str) -> Result:
        """Run a read on committed rows.

        Raises:
            ServerError: if sqlite refuses the statement.
        """
        return _run(self._committed, sql)

    def begin(self) -> None:
        """Begin the write transaction."""
        if self._working is None:
            self._working = _open()
            self._committed.backup(self._working)
        self._working.execute("BEGIN")

    def run(self, sql: str) -> Result:
        """Run a statement in the write transaction.

        Raises:
            ServerError: if sqlite refuses the statement.
        """
        return _run(self._working, sql)

    def commit(self, statements: Sequence[str]) -> None:
        """Commit the write transaction and run its statements on committed rows."""
        self._working.execute("COMMIT")
        self._apply(statements)

    def roll_back(self) -> None:
        """Roll back the write transaction, if one is open."""
        if self._working is not None and self._working.in_transaction:
            self._working.execute("ROLLBACK")

    def apply(self, statements: Sequence[str]) -> None:
        """Apply a log entry of another instance."""
        self.discard_working_copy()
        self._apply(statements)

    def discard_working_copy(self) -> None:
        """Close the working copy with its open write transaction."""
        if self._working is not None:
            self._working.close()
        self._working = None

    def close(self) -> None:
        """Close both databases, which frees their memory."""
        self.discard_working_copy()
        self._committed.close()

    def _apply(self, statements: Sequence[str]) -> None:
        self._committed.execute("BEGIN")
        for sql in statements:
            self._committed.execute(sql)
        self._committed.execute("COMMIT")


def _open() -> sqlite3.Connection:
    return sqlite3.connect(":memory:", isolation_level=None)


def _create() -> sqlite3.Connection:
    connection = _open()
    for sql in SCHEMA:
        connection.execute(sql)
    return connection


def _run(connection: sqlite3.Connection, sql: str) -> Result:
    try:
        cursor = connection.execute(sql)
        rows = cursor.fetchall()
    except (sqlite3.Error, sqlite3.Warning) as error:
        raise convert_sqlite_error(error) from error
    if cursor.description is not None:
        columns = tuple(column[0] for column in cursor.description)
        return Result(columns=columns, rows=rows)
    affected = max(cursor.rowcount, 0)
    insert_id = cursor.lastrowid if affected and _is_insert(sql) else 0
    return Result(affected_rows=affected, insert_id=insert_id or 0)


def _is_insert(sql: str) -> bool:
    return sql[:7].upper() in ("INSERT ", "REPLACE")
