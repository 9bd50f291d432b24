"""Connections to backend servers that return results undecoded."""

import asyncio
import ssl
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import aiomysql
from pymysql.constants import CLIENT
from pymysql.protocol import MysqlPacket

from ..model import Column, ControlFailure, Done

_ERROR_HEADER = struct.Struct("<xH")


class ServerError(Exception):
    """The server answered with an error; the connection stays usable.

    Args:
        code: MySQL error code.
        sqlstate: SQL state of five characters.
        message: the server's error message.
    """

    def __init__(self, code: int, sqlstate: str, message: str) -> None:
        super().__init__(f"{code} {sqlstate} {message}")
        self.code = code
        self.sqlstate = sqlstate
        self.message = message


class ConnectionLost(Exception):
    """The connection has failed and can't be used any more.

    Args:
        failure: kind of the failure.
    """

    def __init__(self, failure: ControlFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class AnswerTooLarge(Exception):
    """The answer exceeded the size limit; the connection was closed."""


@dataclass(slots=True, kw_only=True)
class ConnectionSettings:
    """Credentials and limits for connections to backend servers.

    Args:
        user: user name.
        password: password of that user.
        ssl_context: TLS context; None for no TLS.
        connect_timeout: timeout for opening a connection, in seconds.
        answer_limit: maximum size of an answer, in bytes.
    """

    user: str
    password: str = ""
    ssl_context: ssl.SSLContext | None = None
    connect_timeout: float = 2.0
    answer_limit: int = 64 * 1024 * 1024


class _Packet(MysqlPacket):
    """A packet whose error includes the SQL state, which pymysql discards."""

    def raise_for_error(self) -> None:
        """Raise the error that an error packet describes.

        Raises:
            ServerError: always.
        """
        data = self.get_all_data()
        (code,) = _ERROR_HEADER.unpack_from(data)
        text = data[3:].decode("utf-8", "replace")
        if text[:1] == "#":
            raise ServerError(code, text[1:6], text[6:])
        raise ServerError(code, "HY000", text)


class _Protocol(asyncio.Protocol):
    """Passes all calls on to a stream protocol and calls `on_end` at the end."""

    def __init__(self, inner: Any, on_end: Callable[[], None]) -> None:
        self._inner = inner
        self._on_end = on_end
        self.data_received = inner.data_received
        self.pause_writing = inner.pause_writing
        self.resume_writing = inner.resume_writing

    def eof_received(self) -> bool | None:
        """Pass on the end of the input."""
        keep_open = self._inner.eof_received()
        self._on_end()
        return keep_open

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the loss of the connection."""
        self._inner.connection_lost(error)
        self._on_end()


class RawConnection(aiomysql.Connection):
    """A connection that returns text-protocol bytes undecoded.

    Open it with `open_connection`.

    Args:
        settings: credentials and limits.
        host: IP address.
        port: TCP port.
        database: default database; empty for none.
    """

    def __init__(
        self, *, settings: ConnectionSettings, host: str, port: int, database: str
    ) -> None:
        super().__init__(
            host=host,
            port=port,
            user=settings.user,
            password=settings.password,
            db=database or None,
            ssl=settings.ssl_context,
            use_unicode=False,
            conv={},
            autocommit=True,
        )
        # A request holds one statement: a second one in the same text would not be
        # classified.
        self.client_flag &= ~CLIENT.MULTI_STATEMENTS
        self.on_end: Callable[[], None] | None = None
        self._ended = False
        self._answer_limit = settings.answer_limit
        self._answer_size = 0

    @property
    def usable(self) -> bool:
        """Whether the connection is open, as far as is known."""
        if self._ended or self._writer is None:
            return False
        return not self._writer.transport.is_closing()

    @property
    def in_transaction(self) -> bool:
        """Whether the server's last answer reported an open transaction."""
        return self.get_transaction_status()

    def abort(self) -> None:
        """Close the socket at once, discarding buffered data."""
        self._ended = True
        self.on_end = None
        if self._writer is not None:
            self._writer.transport.abort()
        self._writer = None
        self._reader = None

    async def run(self, sql: str) -> Done:
        """Run a statement, read its whole answer and return its first result.

        Raises:
            ServerError: if the server answers with an error.
            AnswerTooLarge: if the answer exceeds the limit; closes the connection.
            ConnectionLost: if the connection fails; closes it.
        """
        self._answer_size = 0
        try:
            await self.query(sql)
            done = _build_done(self._result)
            while self._result.has_next:
                await self.next_result()
        except ServerError:
            raise
        except AnswerTooLarge:
            self.abort()
            raise
        except Exception as error:
            # After any other failure the end of the answer can't be located.
            self.abort()
            raise ConnectionLost(ControlFailure.CLOSED) from error
        except BaseException:
            self.abort()
            raise
        return done

    async def refresh_status_flags(self) -> None:
        """Update the transaction flag with a ping, since error packets lack it.

        Raises:
            ConnectionLost: if the connection fails; closes it.
        """
        try:
            await self.ping(reconnect=False)
        except Exception as error:
            self.abort()
            raise ConnectionLost(ControlFailure.CLOSED) from error
        except BaseException:
            self.abort()
            raise

    async def open(self) -> None:
        """Connect and authenticate.

        Raises:
            ServerError: if the server rejects the connection.
            Exception: of aiomysql, if the connection can't be opened.
        """
        try:
            await self._connect()
        except BaseException:
            self.abort()
            raise
        transport = self._writer.transport
        transport.set_protocol(_Protocol(transport.get_protocol(), self._handle_end))

    async def _request_authentication(self) -> None:
        """Authenticate; fails if TLS is required and the server does not offer it."""
        # aiomysql continues without TLS if the server doesn't offer it.
        if self._ssl_context and not self.server_capabilities & CLIENT.SSL:
            raise ConnectionLost(ControlFailure.REJECTED)
        await super()._request_authentication()

    async def _read_packet(self, packet_type: type = MysqlPacket) -> MysqlPacket:
        """Read a packet; enforces the size limit of an answer."""
        if packet_type is MysqlPacket:
            packet_type = _Packet
        packet = await super()._read_packet(packet_type)
        self._answer_size += len(packet.get_all_data())
        if self._answer_size > self._answer_limit:
            raise AnswerTooLarge
        return packet

    def _handle_end(self) -> None:
        """Mark the connection as unusable and call `on_end`."""
        self._ended = True
        if self.on_end is not None:
            self.on_end()


async def open_connection(
    *, settings: ConnectionSettings, host: str, port: int, database: str = ""
) -> RawConnection:
    """Open a connection within its timeout.

    Raises:
        ConnectionLost: if it can't be opened, or if a NUL in a name would end its field
            of the login and make fields of the rest.
    """
    if "\0" in settings.user or "\0" in database:
        raise ConnectionLost(ControlFailure.REJECTED)
    connection = RawConnection(
        settings=settings, host=host, port=port, database=database
    )
    try:
        async with asyncio.timeout(settings.connect_timeout):
            await connection.open()
    except ServerError as error:
        raise ConnectionLost(ControlFailure.REJECTED) from error
    except TimeoutError as error:
        raise ConnectionLost(ControlFailure.TIMEOUT) from error
    except ConnectionLost:
        raise
    except Exception as error:
        raise ConnectionLost(_classify_failure(error)) from error
    return connection


def _classify_failure(error: Exception) -> ControlFailure:
    """Return the kind of an error that prevented a connection from opening."""
    cause = error.__cause__ or error
    if isinstance(cause, TimeoutError):
        return ControlFailure.TIMEOUT
    if isinstance(cause, ConnectionResetError | asyncio.IncompleteReadError):
        return ControlFailure.CLOSED
    if isinstance(cause, OSError):
        return ControlFailure.REFUSED
    return ControlFailure.CLOSED


def _build_done(result: Any) -> Done:
    if not result.field_count:
        return Done(
            affected_rows=result.affected_rows,
            insert_id=result.insert_id or 0,
            warnings=result.warning_count,
        )
    columns = tuple(
        Column(field.name, field.type_code, field.charsetnr) for field in result.fields
    )
    return Done(columns=columns, rows=result.rows, warnings=result.warning_count)
