"""Execution of the statements of one client connection."""

import asyncio
import re
from datetime import datetime
from typing import TYPE_CHECKING

from mysql_mimic.session import BaseSession
from mysql_mimic.variables import GlobalVariables, SessionVariables

from ._errors import ServerError, make_lock_timeout_error
from ._storage import Result
from ._translation import NOW_PLACEHOLDER, StatementKind, TranslatedStatement, translate

if TYPE_CHECKING:
    from ._server import InstanceServer

_STATUS = re.compile(r"SHOW\s+GROUP\s+STATUS$", re.I)
_FENCE = re.compile(r"GROUP\s+FENCE\s+(\d+)$", re.I)
_PROMOTE = re.compile(r"GROUP\s+PROMOTE\s+(\d+)$", re.I)
_FOLLOW = re.compile(r"GROUP\s+FOLLOW\s+(\d+)\s+'([^']+)'\s+(\d+)$", re.I)
_ACTIVITY = re.compile(r"SHOW\s+CONNECTION\s+ACTIVITY\s+(\d+)$", re.I)
_AUTOCOMMIT_OFF = re.compile(r"SET\s+.*\bautocommit\s*=\s*(?:0|off|false)\b", re.I)

_STATUS_COLUMNS = (
    "term",
    "role",
    "log_term",
    "log_offset",
    "source_silence_ms",
    "connection_id",
)


class InstanceSession(BaseSession):
    """Executes the statements of one client connection.

    Args:
        server: the instance's server.
        connection_id: the connection's number.
    """

    def __init__(self, *, server: "InstanceServer", connection_id: int) -> None:
        self.variables = SessionVariables(GlobalVariables())
        self.username = None
        self.database = None
        self.in_transaction = False
        self._server = server
        self._instance = server.instance
        self._connection_id = connection_id
        self._statements: list[str] = []
        self._lock: asyncio.Lock | None = None
        self._epoch = 0
        self._handlers = {
            StatementKind.READ: self._read,
            StatementKind.WRITE: self._write,
            StatementKind.BEGIN: self._begin,
            StatementKind.COMMIT: self._commit,
            StatementKind.ROLLBACK: self._roll_back,
            StatementKind.SETTING: self._set,
            StatementKind.CONTROL: self._run_control,
            StatementKind.UNSUPPORTED: self._refuse,
        }

    async def execute(self, sql: str) -> Result:
        """Run a statement.

        Raises:
            ServerError: if the instance refuses it.
        """
        statement = translate(sql)
        return await self._handlers[statement.kind](statement)

    async def handle_query(self, sql: str, attrs: dict[str, str]) -> object:
        """Run a statement for mysql-mimic's prepared statements."""
        result = await self.execute(sql)
        return list(result.rows), list(result.columns)

    async def close(self) -> None:
        """Roll back the open transaction when the connection ends."""
        self._end_transaction()

    async def reset(self) -> None:
        """Roll back the open transaction."""
        self._end_transaction()

    async def use(self, database: str) -> None:
        """Set the default database; an instance has only one."""
        self.database = database

    async def _read(self, statement: TranslatedStatement) -> Result:
        await self._server.serve(statement.sleep)
        if statement.locks and self.in_transaction and self._can_lock():
            await self._acquire_lock(self._instance.epoch)
        sql = _insert_current_time(statement.sql)
        if self._has_write_transaction():
            return self._instance.storage.run(sql)
        return self._instance.storage.read(sql)

    async def _write(self, statement: TranslatedStatement) -> Result:
        epoch = self._epoch if self._lock else self._instance.epoch
        self._instance.require_primary(epoch)
        await self._server.serve(statement.sleep)
        self._instance.require_primary(epoch)
        if self._lock is None:
            await self._acquire_lock(epoch)
        sql = _insert_current_time(statement.sql)
        if self.in_transaction:
            return self._run_write(sql)
        try:
            result = self._run_write(sql)
            self._instance.commit(self._statements)
        finally:
            self._end_transaction()
        return result

    def _run_write(self, sql: str) -> Result:
        result = self._instance.storage.run(sql)
        self._statements.append(sql)
        return result

    async def _begin(self, statement: TranslatedStatement) -> Result:
        if self.in_transaction:
            await self._commit(statement)
        self.in_transaction = True
        return Result()

    async def _commit(self, statement: TranslatedStatement) -> Result:
        try:
            if self._lock is not None:
                self._instance.require_primary(self._epoch)
                await self._server.serve(0.0)
                self._instance.require_primary(self._epoch)
                self._instance.commit(self._statements)
        finally:
            self._end_transaction()
        return Result()

    async def _roll_back(self, statement: TranslatedStatement) -> Result:
        self._end_transaction()
        return Result()

    async def _set(self, statement: TranslatedStatement) -> Result:
        if _AUTOCOMMIT_OFF.match(statement.sql):
            raise ServerError(1235, "42000", "autocommit can't be switched off")
        return Result()

    async def _refuse(self, statement: TranslatedStatement) -> Result:
        if not statement.sql:
            raise ServerError(1065, "42000", "Query was empty")
        keyword = statement.sql.split(None, 1)[0][:40]
        raise ServerError(1064, "42000", f"You have a syntax error near '{keyword}'")

    async def _run_control(self, statement: TranslatedStatement) -> Result:
        sql = statement.sql
        instance = self._instance
        if _STATUS.match(sql):
            return self._build_status()
        if found := _ACTIVITY.match(sql):
            return self._build_activity(int(found[1]))
        if found := _FENCE.match(sql):
            instance.fence(int(found[1]))
            return self._build_status()
        if found := _PROMOTE.match(sql):
            instance.promote(int(found[1]))
            return self._build_status()
        if found := _FOLLOW.match(sql):
            source = self._server.find_instance(found[2], int(found[3]))
            instance.follow(int(found[1]), source)
            return self._build_status()
        return await self._refuse(statement)

    def _build_status(self) -> Result:
        instance = self._instance
        row = (
            instance.term,
            instance.role.value,
            instance.log_term,
            len(instance.log),
            round(instance.source_silence * 1000),
            self._connection_id,
        )
        return Result(columns=_STATUS_COLUMNS, rows=[row])

    def _build_activity(self, connection_id: int) -> Result:
        executing = self._server.is_executing(connection_id)
        row = (int(executing is not None), int(bool(executing)))
        return Result(columns=("known", "executing"), rows=[row])

    def _can_lock(self) -> bool:
        return self._lock is None and self._instance.role.value == "primary"

    def _has_write_transaction(self) -> bool:
        return self._lock is not None and self._epoch == self._instance.epoch

    async def _acquire_lock(self, epoch: int) -> None:
        lock = self._instance.lock
        try:
            async with asyncio.timeout(self._server.limits.lock_timeout):
                await lock.acquire()
        except TimeoutError:
            raise make_lock_timeout_error() from None
        try:
            self._instance.require_primary(epoch)
        except ServerError:
            lock.release()
            raise
        self._lock = lock
        self._epoch = epoch
        self._instance.storage.begin()

    def _end_transaction(self) -> None:
        if self._has_write_transaction():
            self._instance.storage.roll_back()
        if self._lock is not None:
            self._lock.release()
        self._lock = None
        self._statements = []
        self.in_transaction = False


def _insert_current_time(sql: str) -> str:
    if NOW_PLACEHOLDER not in sql:
        return sql
    now = datetime.now().isoformat(sep=" ", timespec="seconds")
    return sql.replace(NOW_PLACEHOLDER, now)
