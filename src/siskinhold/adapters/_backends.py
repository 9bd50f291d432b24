"""Connections to backend servers over the MySQL protocol."""

import asyncio
import logging
import ssl
from collections.abc import Coroutine

from .. import effects, events
from ..model import BackendServer, ControlFailure, ServerStatus
from . import _server_status
from ._control_links import ControlError, ControlLink
from ._interfaces import Backends, Emit
from ._raw_connections import ConnectionLost, ConnectionSettings, open_connection
from ._statement_connections import StatementConnection

logger = logging.getLogger(__name__)

_Command = effects.FenceServer | effects.PromoteServer | effects.FollowServer


class MysqlBackends(Backends):
    """Runs callers' statements and control statements on backend servers.

    Statement connections run the statements of callers, control connections the
    status queries and commands of failover. Control connections select no default
    database, which lets a server distinguish them from statement connections. They
    do not count towards `connection_limit`.

    Args:
        user: user name on all backend servers.
        password: password of that user.
        ssl_context: TLS context; None for no TLS.
        connect_timeout: timeout for opening a connection, in seconds.
        answer_limit: maximum size of a statement's answer, in bytes.
        connection_limit: maximum number of statement connections, including
            those being opened.
    """

    def __init__(
        self,
        *,
        user: str,
        password: str = "",
        ssl_context: ssl.SSLContext | None = None,
        connect_timeout: float = 2.0,
        answer_limit: int = 64 * 1024 * 1024,
        connection_limit: int = 10_000,
    ) -> None:
        self._settings = ConnectionSettings(
            user=user,
            password=password,
            ssl_context=ssl_context,
            connect_timeout=connect_timeout,
            answer_limit=answer_limit,
        )
        self._connection_limit = connection_limit
        self._connections: dict[int, StatementConnection] = {}
        self._opening: set[int] = set()
        self._running: dict[int, asyncio.Task] = {}
        self._links: dict[tuple[str, str, int], ControlLink] = {}
        self._tasks: set[asyncio.Task] = set()
        self._emit: Emit | None = None
        self._loop: asyncio.AbstractEventLoop | None = None
        self._handlers = {
            effects.OpenBackend: self._open_backend,
            effects.RunStatement: self._run_statement,
            effects.CloseBackend: self._close_backend,
            effects.QueryStatus: self._query_status,
            effects.QueryActivity: self._query_activity,
            effects.FenceServer: self._fence_server,
            effects.PromoteServer: self._promote_server,
            effects.FollowServer: self._follow_server,
        }

    async def start(self, emit: Emit) -> None:
        """Bind the adapter to the running event loop."""
        self._emit = emit
        self._loop = asyncio.get_running_loop()

    def perform(self, effect: object) -> None:
        """Start an effect without waiting; its result is emitted as an event."""
        self._handlers[type(effect)](effect)

    async def stop(self) -> None:
        """Close all connections without emitting further events."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)
        for connection in self._connections.values():
            connection.abort()
        for link in self._links.values():
            link.close()
        self._connections.clear()
        self._links.clear()

    def _open_backend(self, effect: effects.OpenBackend) -> None:
        """Start to open a connection; emits `BackendClosed` if there are too many."""
        if len(self._connections) + len(self._opening) >= self._connection_limit:
            self._emit_connection_closed(effect.connection, ControlFailure.REFUSED)
            return
        self._opening.add(effect.connection)
        self._start_task(effect.connection, self._open(effect))

    async def _open(self, effect: effects.OpenBackend) -> None:
        """Open a connection; emits `BackendOpened` or `BackendClosed`."""
        number = effect.connection
        try:
            raw = await open_connection(
                settings=self._settings,
                host=effect.server.host,
                port=effect.server.port,
                database=effect.database,
            )
        except ConnectionLost as loss:
            self._running.pop(number, None)
            self._emit_connection_closed(number, loss.failure)
            return
        finally:
            self._opening.discard(number)
        self._connections[number] = StatementConnection(
            number=number, raw=raw, emit=self._emit_from_connection
        )
        raw.on_end = lambda: self._handle_end(number)
        self._running.pop(number, None)
        self._emit(events.BackendOpened(at=self._loop.time(), connection=number))

    def _run_statement(self, effect: effects.RunStatement) -> None:
        """Start a statement; emits `BackendLost` if its connection is busy or lost."""
        connection = self._find_idle(effect.connection)
        if connection is None:
            self._emit(
                events.BackendLost(
                    at=self._loop.time(),
                    connection=effect.connection,
                    request=effect.request,
                    sent=False,
                )
            )
            return
        self._start_task(effect.connection, connection.run(effect))

    def _find_idle(self, number: int) -> StatementConnection | None:
        """Return a connection if it is open and runs no statement, else None."""
        if number in self._running:
            logger.error("event=connection_busy connection=%d", number)
            return None
        return self._connections.get(number)

    def _close_backend(self, effect: effects.CloseBackend) -> None:
        """Close a connection and cancel its statement, without an event."""
        # Removed before it is closed, so that no event is emitted for it.
        connection = self._connections.pop(effect.connection, None)
        task = self._running.pop(effect.connection, None)
        if connection is not None:
            connection.abort()
        if task is not None:
            task.cancel()

    def _query_status(self, effect: effects.QueryStatus) -> None:
        self._spawn(self._report_status(effect))

    async def _report_status(self, effect: effects.QueryStatus) -> None:
        """Query a server's status; emits `StatusReported`."""
        status, failure = await self._run_status_statement(
            effect.server,
            _server_status.SHOW_STATUS,
            timeout=effect.timeout,
            fresh=effect.fresh,
        )
        self._emit(
            events.StatusReported(
                at=self._loop.time(),
                server=effect.server.name,
                call=effect.call,
                status=status,
                failure=failure,
            )
        )

    def _fence_server(self, effect: effects.FenceServer) -> None:
        self._spawn(self._run_command(effect, _server_status.build_fence(effect.term)))

    def _promote_server(self, effect: effects.PromoteServer) -> None:
        self._spawn(
            self._run_command(effect, _server_status.build_promote(effect.term))
        )

    def _follow_server(self, effect: effects.FollowServer) -> None:
        primary = effect.primary
        sql = _server_status.build_follow(effect.term, primary.host, primary.port)
        self._spawn(self._run_command(effect, sql))

    async def _run_command(self, effect: _Command, sql: str) -> None:
        """Run a failover command on a server; emits `ControlAnswered`."""
        status, failure = await self._run_status_statement(
            effect.server, sql, timeout=effect.timeout
        )
        self._emit(
            events.ControlAnswered(
                at=self._loop.time(),
                server=effect.server.name,
                call=effect.call,
                status=status,
                failure=failure,
            )
        )

    async def _run_status_statement(
        self, server: BackendServer, sql: str, *, timeout: float, fresh: bool = False
    ) -> tuple[ServerStatus | None, ControlFailure | None]:
        """Run a control statement; return the status that it answers, or a failure."""
        try:
            done = await self._get_link(server).run(sql, timeout=timeout, fresh=fresh)
            return _server_status.parse_status(done), None
        except ControlError as error:
            return None, error.failure
        except ValueError:
            return None, ControlFailure.REJECTED

    def _query_activity(self, effect: effects.QueryActivity) -> None:
        self._spawn(self._report_activity(effect))

    async def _report_activity(self, effect: effects.QueryActivity) -> None:
        """Query whether a connection's server executes a statement for it.

        Emits `ActivityReported`; `executing` is None if that could not be determined.
        """
        executing: bool | None = None
        connection = self._connections.get(effect.connection)
        if connection is not None:
            sql = _server_status.build_show_activity(connection.server_connection_id)
            link = self._get_link(effect.server)
            try:
                done = await link.run(sql, timeout=effect.timeout, fresh=True)
                executing = _server_status.parse_activity(done)
            except (ControlError, ValueError):
                executing = None
        self._emit(
            events.ActivityReported(
                at=self._loop.time(),
                connection=effect.connection,
                executing=executing,
            )
        )

    def _get_link(self, server: BackendServer) -> ControlLink:
        """Return the control connection of a server; creates it on first use."""
        address = (server.name, server.host, server.port)
        link = self._links.get(address)
        if link is None:
            link = ControlLink(settings=self._settings, server=server)
            self._links[address] = link
        return link

    def _handle_end(self, number: int) -> None:
        """Report the end of a connection that runs no statement."""
        # A running statement reports the loss itself. If its answer had arrived
        # before, `_finish_task` calls this again once it has been emitted.
        if number in self._running or number not in self._connections:
            return
        self._connections[number].report_end()

    def _emit_from_connection(self, event: events.Event) -> None:
        """Mark an open connection as free, remove it if lost, and emit its event.

        Discards the event if the connection has been closed.
        """
        number = event.connection
        if number not in self._connections:
            return
        if isinstance(event, events.BackendLost | events.BackendClosed):
            del self._connections[number]
        # Marked as free first: the event's handler may use the connection at once.
        self._running.pop(number, None)
        self._emit(event)

    def _emit_connection_closed(self, number: int, failure: ControlFailure) -> None:
        """Emit `BackendClosed` for a connection that could not be opened."""
        self._emit(
            events.BackendClosed(
                at=self._loop.time(), connection=number, failure=failure
            )
        )

    def _start_task(self, number: int, coroutine: Coroutine) -> None:
        """Start a task that keeps a connection busy until the task ends."""
        task = self._spawn(coroutine)
        self._running[number] = task
        task.add_done_callback(lambda ended: self._finish_task(number, ended))

    def _finish_task(self, number: int, task: asyncio.Task) -> None:
        """Mark a finished task's connection as free; report its end if it has ended."""
        if self._running.get(number) is task:
            del self._running[number]
        self._handle_end(number)

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    def _discard_task(self, task: asyncio.Task) -> None:
        """Remove an ended task and log its exception, if any."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("event=effect_failed", exc_info=task.exception())
