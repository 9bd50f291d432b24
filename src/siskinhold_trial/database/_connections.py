"""Client connections of an instance in the MySQL protocol."""

import asyncio
import socket
import struct
from typing import Any

from mysql_mimic import packets
from mysql_mimic.charset import CharacterSet
from mysql_mimic.connection import Connection
from mysql_mimic.results import ResultColumn, ResultSet
from mysql_mimic.types import ColumnType, ServerStatus

from ._errors import ServerError
from ._sessions import InstanceSession
from ._storage import Result

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value with which a close sends a TCP reset."""

_IDLE_FLAGS = ServerStatus.SERVER_STATUS_AUTOCOMMIT
_IN_TRANSACTION_FLAGS = _IDLE_FLAGS | ServerStatus.SERVER_STATUS_IN_TRANS


class ClientConnection:
    """A client connection's state that faults and `SHOW CONNECTION ACTIVITY` use."""

    __slots__ = ("silent", "executing", "task", "transport", "counted")

    def __init__(self, *, transport: asyncio.Transport, silent: bool) -> None:
        self.silent = silent
        self.executing = False
        self.task = asyncio.current_task()
        self.transport = transport
        self.counted: bool | None = None

    def reset(self) -> None:
        """Reset the connection and cancel the statement in progress on it."""
        raw_socket = self.transport.get_extra_info("socket")
        if raw_socket is not None and not self.transport.is_closing():
            raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.transport.abort()
        self.task.cancel()


class SilenceableWriter(asyncio.StreamWriter):
    """Discards all output once its connection is silent."""

    client: ClientConnection

    def write(self, data: bytes) -> None:
        """Write, unless the connection is silent."""
        if not self.client.silent:
            super().write(data)


class InstanceConnection(Connection):
    """Reports affected rows, generated keys and MySQL's own error codes.

    Args:
        client: the state of the connection.
        admit: called with the state and the default database before the
            authentication; raises `ServerError` to refuse the connection.
    """

    def __init__(
        self, *, client: ClientConnection, admit: Any, **arguments: Any
    ) -> None:
        super().__init__(**arguments)
        self.client = client
        self.status_flags = _IDLE_FLAGS
        self._admit = admit

    async def authenticate(self, *args: Any, **kwargs: Any) -> None:
        """Authenticate, unless the connection limit is reached.

        Raises:
            ServerError: if the connection limit is reached.
        """
        self._admit(self.client, self.session.database)
        await super().authenticate(*args, **kwargs)

    async def handle_ping(self, data: bytes) -> None:
        """Answer a ping."""
        await self._discard_if_silent()
        await super().handle_ping(data)

    async def handle_query(self, data: bytes) -> None:
        """Run a statement and write its complete answer."""
        await self._discard_if_silent()
        query = packets.parse_com_query(
            capabilities=self.capabilities,
            client_charset=self.client_charset,
            data=data,
        )
        session: InstanceSession = self.session
        self.client.executing = True
        try:
            result = await session.execute(query.sql)
        except ServerError as error:
            await self.stream.write(self.error(msg=error))
            return
        finally:
            self.client.executing = False
            self.status_flags = (
                _IN_TRANSACTION_FLAGS if session.in_transaction else _IDLE_FLAGS
            )
        await self._write_result(result)

    def error(self, **kwargs: Any) -> bytes:
        """Return an error packet, with the code of a `ServerError`."""
        error = kwargs.get("msg")
        if not isinstance(error, ServerError):
            return super().error(**kwargs)
        header = struct.pack("<BH", 0xFF, error.code)
        return header + b"#" + error.sqlstate.encode() + error.message.encode()

    async def _write_result(self, result: Result) -> None:
        if result.columns:
            await self.write_text_resultset(_build_result_set(result))
            return
        packet = self.ok(
            affected_rows=result.affected_rows, last_insert_id=result.insert_id
        )
        await self.stream.write(packet)

    async def _discard_if_silent(self) -> None:
        if not self.client.silent:
            return
        while await self.stream.reader.read(65536):
            continue
        raise asyncio.CancelledError


def _build_result_set(result: Result) -> ResultSet:
    columns = [
        ResultColumn(name, *_find_column_type(result.rows, index))
        for index, name in enumerate(result.columns)
    ]
    return ResultSet(rows=result.rows, columns=columns)


def _find_column_type(rows: Any, index: int) -> tuple[ColumnType, CharacterSet]:
    for row in rows:
        value = row[index]
        if value is None:
            continue
        if isinstance(value, int):
            return ColumnType.LONGLONG, CharacterSet.utf8mb4
        if isinstance(value, float):
            return ColumnType.DOUBLE, CharacterSet.utf8mb4
        if isinstance(value, bytes):
            return ColumnType.BLOB, CharacterSet.binary
        break
    return ColumnType.VAR_STRING, CharacterSet.utf8mb4
