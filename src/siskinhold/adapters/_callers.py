"""Connections of callers over the MySQL protocol, on mysql-mimic's server.

Answers by outcome:

| outcome | code | sqlstate | message |
|---|---|---|---|
| done | OK or rows | | a repeated keyed statement carries one warning (note 5000) |
| failed | the backend server's | the server's | the server's |
| not run | 5001 | HY000 | `not_run reason=<reason> <detail>` |
| unknown | 5002 | HY000 | `unknown reason=<reason> <detail>` |
| not run, token refused | 5003 | HY000 | `not_run reason=token_invalid fault=...` |
| not run, unsupported | 5004 | HY000 | `not_run reason=unsupported <detail>` |
| not run, invalid hint | 5005 | HY000 | `not_run reason=mark_invalid <detail>` |
| too large | 5001 | HY000 | `not_run reason=statement_too_large limit_bytes=...` |
| prepared statement | 1295 | HY000 | `not_run reason=unsupported <detail>` |
| other command | 1047 | HY000 | `not_run reason=unsupported <detail>` |
| unreadable command | 1835 | HY000 | `not_run reason=malformed <detail>` |
| empty statement | 1065 | 42000 | plain text |
| closed at a shutdown | 1053 | 08S01 | `not_run reason=shutdown <detail>` |
| too many sessions | 1040 | 08004 | `not_run reason=overload max_sessions=...` |
| unreadable handshake | 1043 | 08S01 | plain text |
| access denied | 1045 | 28000 | plain text |

All prepared statements are refused: mysql-mimic inserts parameters into the text
without escaping them, which would let a value change the statement.
"""

import asyncio
import logging
import socket
from collections.abc import Mapping
from dataclasses import dataclass
from ssl import SSLContext

from mysql_mimic import IdentityProvider, MysqlServer, User
from mysql_mimic.auth import AuthPlugin, NativePasswordAuthPlugin
from mysql_mimic.control import LocalControl
from mysql_mimic.utils import nonce

from .. import effects
from ..model import Failed
from ..tokens import TokenCodec
from ._caller_connection import (
    MAX_HANDSHAKE_BYTES,
    AccessDenied,
    CallerConnection,
    ConnectionClosed,
)
from ._caller_packets import TOO_MANY_SESSIONS, make_error
from ._caller_session import CallerSession
from ._caller_stream import CallerProtocol, CallerStream, EofReader, PacketMalformed
from ._closing_counts import ClosingCounts
from ._interfaces import Callers, Emit

_log = logging.getLogger(__name__)
# Time for a closing connection to receive the data already written to it.
_CLOSE_GRACE_SECONDS = 1.0


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Resource limits of callers.

    Args:
        max_sessions: maximum number of open connections.
        max_statement_bytes: maximum size of a statement.
        handshake_timeout: time limit for authentication, in seconds.
    """

    max_sessions: int = 20_000
    max_statement_bytes: int = 1_048_576
    handshake_timeout: float = 10.0


class Credentials(IdentityProvider):
    """Authenticates callers with mysql_native_password.

    Args:
        users: SHA1(SHA1(password)) as 40 hex digits, by user name.
    """

    def __init__(self, *, users: Mapping[str, str]) -> None:
        self._users = dict(users)
        self._plugin = NativePasswordAuthPlugin()

    def get_plugins(self) -> list[AuthPlugin]:
        """Return the only accepted authentication method."""
        return [self._plugin]

    async def get_user(self, username: str) -> User:
        """Return a user; for an unknown name one with a random password hash.

        An unknown name is answered like a wrong password, so that callers can't
        probe for names. The library accepts an empty scramble only for a user
        without a password, and every user returned here has one.
        """
        password_hash = self._users.get(username) or nonce(20).hex()
        plugin = NativePasswordAuthPlugin.name
        return User(name=username, auth_string=password_hash, auth_plugin=plugin)


class MysqlCallers(Callers):
    """Listens for callers that speak the MySQL protocol.

    Args:
        host: IP address to listen on.
        port: TCP port; 0 for a free one.
        users: SHA1(SHA1(password)) as 40 hex digits, by user name.
        tokens: encodes and verifies session tokens.
        limits: resource limits of callers.
        ssl: TLS context for callers that request TLS; None to offer no TLS.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        users: Mapping[str, str],
        tokens: TokenCodec,
        limits: CallerLimits = CallerLimits(),
        ssl: SSLContext | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._tokens = tokens
        self._limits = limits
        self._server = _Server(
            serve=self._serve,
            identity_provider=Credentials(users=users),
            ssl=ssl,
        )
        self._emit: Emit | None = None
        self._connections: dict[int, CallerConnection] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._next_session = 1
        self._counts = ClosingCounts()

    @property
    def port(self) -> int:
        """The port that the started server listens on."""
        return self._server.sockets()[0].getsockname()[1]

    async def start(self, emit: Emit) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """
        self._emit = emit
        # The library logs user names unescaped, including line breaks.
        logging.getLogger("mysql_mimic").setLevel(logging.ERROR)
        await self._server.start_server(host=self._host, port=self._port)

    def reply(self, effect: effects.ReplyCaller) -> None:
        """Answer a statement; does nothing if its caller is no longer waiting."""
        connection = self._connections.get(effect.session)
        if connection is None or not connection.session.handle_reply(effect):
            _log.debug(
                "event=caller_reply_dropped session=%d request=%s",
                effect.session,
                effect.request,
            )
            return
        self._counts.add(effect.outcome)

    def close(self, effect: effects.CloseCaller) -> None:
        """Close a caller's connection after writing a reply already given.

        A caller with a running statement is disconnected. Any other caller gets
        the answer that its next statement did not run, and is disconnected
        `_CLOSE_GRACE_SECONDS` after all answers have been sent.
        """
        connection = self._connections.get(effect.session)
        if connection is None or connection.closing:
            return
        _log.info(
            "event=caller_closing session=%d reason=%s", effect.session, effect.reason
        )
        connection.closing = True
        self._counts.closed += 1
        if connection.session.waiting:
            self._counts.unanswered += 1
            connection.stream.writer.close()
        elif not connection.busy:
            connection.announce_close()
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSE_GRACE_SECONDS, self._expire, connection, False)

    def _expire(self, connection: CallerConnection, was_unsent: bool) -> None:
        """Disconnect a closing caller, or wait on if an answer is not sent yet.

        Args:
            was_unsent: whether an answer was not sent at the last check; the caller
                then gets the whole time again.
        """
        transport = connection.stream.writer.transport
        unsent = connection.busy or transport.get_write_buffer_size() > 0
        if transport.is_closing() or not (unsent or was_unsent):
            transport.abort()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_CLOSE_GRACE_SECONDS, self._expire, connection, unsent)

    def stop_listening(self) -> None:
        """Stop accepting callers; existing connections stay open."""
        self._server.close()
        self._counts = ClosingCounts()

    async def stop(self) -> None:
        """Stop listening and close all connections.

        A caller that has not logged in may still do so, and is told then that its
        first statement did not run.
        """
        self._server.close()
        tasks = list(self._tasks.values())
        for number, connection in list(self._connections.items()):
            if connection.session.opened:
                self.close(effects.CloseCaller(session=number, reason="stopped"))
            connection.closing = True
        if tasks:
            _, pending = await asyncio.wait(tasks, timeout=_CLOSE_GRACE_SECONDS)
            self._count_cut_answers()
            for task in pending:
                task.cancel()
            await asyncio.gather(*pending, return_exceptions=True)
        await self._server.wait_closed()
        cut = self._counts.unanswered or self._counts.unsent_bytes
        level = logging.WARNING if cut else logging.INFO
        _log.log(level, f"event=callers_closed {self._counts}")

    def _count_cut_answers(self) -> None:
        """Count the answers that the open connections have not been sent."""
        for connection in self._connections.values():
            transport = connection.stream.writer.transport
            self._counts.unsent_bytes += transport.get_write_buffer_size()
            self._counts.unanswered += connection.busy

    async def _serve(self, reader: EofReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends; refuses it if there are too many."""
        number = self._next_session
        self._next_session += 1
        stream = CallerStream(reader=reader, writer=writer, limit=MAX_HANDSHAKE_BYTES)
        if len(self._connections) >= self._limits.max_sessions:
            await self._refuse_session(stream, number)
            return
        session = CallerSession(number=number, emit=self._emit, tokens=self._tokens)
        connection = self._server.make_connection(stream, session)
        connection.connection_id = number & 0xFFFFFFFF
        reader.on_eof = session.end
        self._connections[number] = connection
        self._tasks[number] = asyncio.current_task()
        try:
            await self._serve_session(connection, number)
        finally:
            session.end()
            self._counts.not_run += connection.refused
            del self._connections[number]
            del self._tasks[number]
            stream.writer.close()

    async def _serve_session(self, connection: CallerConnection, number: int) -> None:
        """Serve a connection and log the reason for which it ended."""
        try:
            await connection.serve(
                handshake_timeout=self._limits.handshake_timeout,
                command_limit=self._limits.max_statement_bytes + 1,
            )
        except (ConnectionClosed, ConnectionError):
            _log.debug("event=caller_disconnected session=%d", number)
        except AccessDenied as error:
            _log.warning("event=caller_denied session=%d user=%r", number, str(error))
        except TimeoutError:
            _log.warning("event=caller_handshake_timeout session=%d", number)
        except PacketMalformed as error:
            _log.warning(
                "event=caller_malformed session=%d error=%r", number, str(error)
            )
        except Exception as error:
            # Any bytes may arrive on this port, and the library's parsers raise
            # exceptions of many types. Only this connection is closed.
            _log.warning("event=caller_failed session=%d error=%r", number, error)

    async def _refuse_session(self, stream: CallerStream, number: int) -> None:
        """Answer a surplus connection with an error and close it."""
        limit = self._limits.max_sessions
        _log.warning("event=caller_refused session=%d max_sessions=%d", number, limit)
        message = f"not_run reason=overload max_sessions={limit}"
        error = Failed(code=TOO_MANY_SESSIONS, sqlstate="08004", message=message)
        try:
            await stream.write(make_error(error))
        except ConnectionError:
            pass
        stream.writer.close()


class _Server(MysqlServer):
    """mysql-mimic's server with the reader and connection classes of this package."""

    def __init__(self, *, serve, **kwargs) -> None:
        super().__init__(**kwargs)
        self._serve = serve

    async def start_server(self, **kwargs) -> None:
        """Listen with a protocol whose reader reports the end of the stream at once."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, reuse_address=True, backlog=1_024, **kwargs
        )

    def make_connection(
        self, stream: CallerStream, session: CallerSession
    ) -> CallerConnection:
        """Return a connection with this server's settings."""
        return CallerConnection(
            stream=stream,
            session=session,
            control=_CONTROL,
            server_capabilities=self.capabilities,
            identity_provider=self.identity_provider,
            ssl=self.ssl,
        )

    def _make_protocol(self) -> CallerProtocol:
        reader = EofReader(loop=asyncio.get_running_loop())
        reader.awaits_tls = self.ssl is not None
        return CallerProtocol(reader, self._handle_connection)

    async def _handle_connection(
        self, reader: EofReader, writer: asyncio.StreamWriter
    ) -> None:
        """Enable TCP keepalive on a new connection and serve it."""
        peer = writer.get_extra_info("socket")
        if peer is not None:
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        try:
            await self._serve(reader, writer)
        except asyncio.CancelledError:
            # Only `stop` cancels this; the stream protocol would log it as a failure.
            writer.transport.abort()


# Required by the library's connections; unused, because KILL is not supported.
_CONTROL = LocalControl(server_id=1)
