"""Server side of a caller's connection: handshake, commands and their packets."""

import asyncio

from mysql_mimic import packets, types
from mysql_mimic.connection import Connection
from mysql_mimic.stream import ConnectionClosed
from mysql_mimic.types import Commands

from ..model import Done, Failed, NotRunReason
from ._caller_packets import (
    BAD_HANDSHAKE,
    MALFORMED_PACKET,
    NOT_RUN,
    RAW_COLUMN,
    SHUTDOWN_ERROR,
    UNKNOWN_COMMAND,
    UNSUPPORTED_PREPARE,
    make_column,
    make_error,
    make_refusal,
)
from ._caller_session import CallerSession
from ._caller_stream import CallerStream, PacketMalformed, PacketTooLarge

# A handshake response holds a few names and a 20-byte password scramble.
MAX_HANDSHAKE_BYTES = 65_536
# Rows that are written before the other sessions of the entry VM get a turn.
_ROWS_PER_TURN = 1_000
# Rows of at least this size are split into several packets.
_MIN_SPLIT_BYTES = 0xFFFFFF - 1
# Stands for a command that was discarded; its kind does not matter.
_TOO_LARGE = bytes((Commands.COM_QUERY,))
_UNANSWERED_COMMANDS = {Commands.COM_STMT_CLOSE, Commands.COM_STMT_SEND_LONG_DATA}


_AUTOCOMMIT = types.ServerStatus.SERVER_STATUS_AUTOCOMMIT
_IN_TRANSACTION = types.ServerStatus.SERVER_STATUS_IN_TRANS
# By (autocommit is on, a transaction is open).
_STATUS_FLAGS = {
    (False, False): types.ServerStatus(0),
    (False, True): _IN_TRANSACTION,
    (True, False): _AUTOCOMMIT,
    (True, True): _AUTOCOMMIT | _IN_TRANSACTION,
}


class AccessDenied(Exception):
    """Authentication failed and the error has been sent; the text is the user name."""


class CallerConnection(Connection):
    """Reads the commands of one session and writes their answers.

    mysql-mimic's `authenticate` returns normally after a failed authentication,
    which would let the caller run statements. This class raises unless a user
    name was set, and `serve` runs no command before that.
    """

    stream: CallerStream
    session: CallerSession
    closing = False
    busy = False
    announced = False
    refused = 0

    async def serve(self, *, handshake_timeout: float, command_limit: int) -> None:
        """Authenticate the caller and run its commands until the connection ends.

        Args:
            handshake_timeout: time limit for authentication, in seconds.
            command_limit: maximum size of a command, in bytes.

        Raises:
            AccessDenied: if authentication failed.
            ConnectionClosed: if the caller disconnected.
            TimeoutError: if the handshake exceeded its time limit.
        """
        # Stock clients read the autocommit state from the initial handshake packet.
        self.status_flags = self._find_status_flags()
        async with asyncio.timeout(handshake_timeout):
            await self._authenticate_caller()
        self.stream.limit = command_limit
        self.session.open()
        while not self.closing:
            data = await self._read_command(command_limit)
            if not data or data[0] == Commands.COM_QUIT:
                return
            if self.closing:
                await self._refuse_for_shutdown(data[0])
                break
            self.busy = True
            await self._run_command(data[0], data[1:])
            self.busy = False
        await self._end(command_limit)

    async def _read_command(self, limit: int) -> bytes:
        """Return the next command; one that is too large is refused and skipped.

        A command that exceeds the limit ends a closing connection like any other.
        """
        while True:
            self.stream.reset_seq()
            try:
                return await self.stream.read()
            except PacketTooLarge:
                if self.closing:
                    return _TOO_LARGE
                await self._refuse_too_large(limit)

    def announce_close(self) -> None:
        """Answer the caller's next command in advance: it did not run.

        The command may already be in transit. The packet has the sequence number
        of an answer, so a stock client accepts it as the answer to that command.
        A command that has arrived, even in part, is answered when it was read.
        """
        if self.stream.reader.has_buffered:
            return
        self.announced = True
        self.stream.write_last_answer(make_error(SHUTDOWN_ERROR))

    async def _refuse_for_shutdown(self, command: int) -> None:
        """Answer a command that was read after the close, unless this was done."""
        if command in _UNANSWERED_COMMANDS:
            return
        self.refused += 1
        if not self.announced:
            await self._write_error(SHUTDOWN_ERROR)

    async def _end(self, limit: int) -> None:
        """Refuse the commands that have arrived, announce the close and await the end.

        Closing with unread data would reset the connection, and the reset could
        overtake the answers.
        """
        last = self.announced
        while not last:
            self.announce_close()
            last = self.announced
            data = await self._read_command(limit)
            if not data or data[0] == Commands.COM_QUIT:
                return
            await self._refuse_for_shutdown(data[0])
        await self.stream.discard_input()

    async def authenticate(self, *args: object, **kwargs: object) -> None:
        """Check the caller's password scramble.

        Raises:
            AccessDenied: if it is wrong or the user is unknown.
        """
        self.stream.awaits_login = False
        self.session.username = None
        await super().authenticate(*args, **kwargs)
        if self.session.username is None:
            raise AccessDenied(str(self.session.variables.get("external_user"))[:80])

    async def _authenticate_caller(self) -> None:
        """Run the handshake; answers a handshake that can't be parsed with an error."""
        try:
            await self.connection_phase()
        except (AccessDenied, ConnectionClosed, ConnectionError, PacketMalformed):
            raise
        except Exception:
            await self._write_error(BAD_HANDSHAKE)
            raise

    async def _run_command(self, command: int, data: bytes) -> None:
        """Run one command and write its answer.

        An unsupported command is refused, or ignored if the protocol has no answer
        to it.
        """
        if command == Commands.COM_QUERY:
            await self._query(data)
        elif command == Commands.COM_PING:
            await self.stream.write(self.ok())
        elif command == Commands.COM_INIT_DB:
            await self._select_database(data)
        elif command == Commands.COM_RESET_CONNECTION:
            await self.session.reset()
            await self._write_done(Done())
        elif command == Commands.COM_STMT_PREPARE:
            # The code is MySQL's own for a statement that can't be prepared.
            detail = "prepared statements: not supported"
            reason = NotRunReason.UNSUPPORTED.value
            await self._write_error(make_refusal(UNSUPPORTED_PREPARE, reason, detail))
        elif command not in _UNANSWERED_COMMANDS:
            detail = f"command {command:#04x}: not supported"
            reason = NotRunReason.UNSUPPORTED.value
            await self._write_error(make_refusal(UNKNOWN_COMMAND, reason, detail))

    async def _query(self, data: bytes) -> None:
        """Run the statement of a COM_QUERY command and write its answer."""
        try:
            query = packets.parse_com_query(
                capabilities=self.capabilities,
                client_charset=self.client_charset,
                data=data,
            )
        except Exception as error:
            # The library's parser raises exceptions of many types on malformed data.
            detail = f"can't read the command: {type(error).__name__}"
            await self._write_error(make_refusal(MALFORMED_PACKET, "malformed", detail))
            return
        result = await self.session.run(query.sql, query.query_attrs)
        if isinstance(result, Done):
            await self._write_done(result)
        else:
            await self._write_error(result)

    async def _select_database(self, data: bytes) -> None:
        """Select the database of a COM_INIT_DB command, whose name must be UTF-8."""
        try:
            database = data.decode("utf-8")
        except UnicodeDecodeError:
            detail = "the database name isn't UTF-8"
            await self._write_error(make_refusal(MALFORMED_PACKET, "malformed", detail))
            return
        await self.session.use(database)
        await self.stream.write(self.ok())

    async def _write_done(self, done: Done) -> None:
        """Write rows or an OK packet, with the session's current status flags."""
        self.status_flags = self._find_status_flags()
        if done.columns:
            await self._write_rows(done)
            return
        packet = self.ok(
            affected_rows=done.affected_rows,
            last_insert_id=done.insert_id,
            warnings=min(done.warnings + done.repeated, 0xFFFF),
        )
        await self.stream.write(packet)

    async def _write_rows(self, done: Done) -> None:
        """Write a result set; yields to other sessions after each block of rows."""
        stream = self.stream
        count = len(done.columns)
        header = [
            packets.make_column_count(
                capabilities=self.capabilities, column_count=count
            )
        ]
        header.extend(make_column(column) for column in done.columns)
        if not self.deprecate_eof():
            header.append(self.eof())
        stream.write_many(header)
        columns = [RAW_COLUMN] * count
        for start in range(0, len(done.rows), _ROWS_PER_TURN):
            rows = done.rows[start : start + _ROWS_PER_TURN]
            if _any_needs_split(rows):
                for row in rows:
                    packet = packets.make_text_resultset_row(row, columns)
                    await stream.write(packet, drain=False)
            else:
                stream.write_text_rows(rows, columns)
            if start + _ROWS_PER_TURN < len(done.rows):
                await stream.drain()
                await asyncio.sleep(0)
        await stream.write(self.ok_or_eof(warnings=min(done.warnings, 0xFFFF)))

    async def _write_error(self, error: Failed) -> None:
        await self.stream.write(make_error(error))

    async def _refuse_too_large(self, limit: int) -> None:
        reason = NotRunReason.STATEMENT_TOO_LARGE.value
        await self._write_error(make_refusal(NOT_RUN, reason, f"limit_bytes={limit}"))

    def _find_status_flags(self) -> types.ServerStatus:
        return _STATUS_FLAGS[self.session.autocommit, self.session.in_transaction]


def _any_needs_split(rows: tuple[tuple[bytes | None, ...], ...]) -> bool:
    """Return whether a row may exceed one packet.

    Assumes the longest length prefix, 9 bytes, for each value.
    """
    for row in rows:
        size = sum(9 + len(value) for value in row if value is not None)
        if size + len(row) >= _MIN_SPLIT_BYTES:
            return True
    return False


__all__ = [
    "AccessDenied",
    "CallerConnection",
    "ConnectionClosed",
    "PacketMalformed",
]
