"""Backend servers in the MySQL protocol."""

import asyncio
import logging
import ssl
from collections.abc import Coroutine

from .. import effects, events
from ..model import BackendServer, ControlFailure, ServerStatus
from . import _server_status
from ._control_links import ControlError, ControlLink
from ._interfaces import Backends, Emit
from ._raw_connections import Access, ConnectionLost, open_connection
from ._work_connections import WorkConnection

logger = logging.getLogger(__name__)

_Order = effects.FenceServer | effects.PromoteServer | effects.FollowServer


class MysqlBackends(Backends):
    """Work and control connections over TCP.

    Control connections name no default database, by which a server can tell
    them from work connections. They are not counted by `connection_limit`.

    Args:
        user: user name on all backend servers.
        password: its password.
        ssl_context: TLS context; None for no TLS.
        connect_timeout: longest time to open a connection, in seconds.
        answer_limit: largest answer to a statement, in bytes.
        connection_limit: work connections that may be open or opening.
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
        self._access = Access(
            user=user,
            password=password,
            ssl_context=ssl_context,
            connect_timeout=connect_timeout,
            answer_limit=answer_limit,
        )
        self._connection_limit = connection_limit
        self._work: dict[int, WorkConnection] = {}
        self._opening: set[int] = set()
        self._busy: dict[int, asyncio.Task] = {}
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
        """Prepare to carry out effects."""
        self._emit = emit
        self._loop = asyncio.get_running_loop()

    def perform(self, effect: object) -> None:
        """Begin to carry out an effect; its result is an event."""
        self._handlers[type(effect)](effect)

    async def stop(self) -> None:
        """Close all connections; no event follows."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.gather(*tasks, return_exceptions=True)
        for work in self._work.values():
            work.abort()
        for link in self._links.values():
            link.close()
        self._work.clear()
        self._links.clear()

    def _open_backend(self, effect: effects.OpenBackend) -> None:
        if len(self._work) + len(self._opening) >= self._connection_limit:
            self._emit_closed(effect.connection, ControlFailure.REFUSED)
            return
        self._opening.add(effect.connection)
        self._occupy(effect.connection, self._open(effect))

    async def _open(self, effect: effects.OpenBackend) -> None:
        number = effect.connection
        try:
            raw = await open_connection(
                access=self._access,
                host=effect.server.host,
                port=effect.server.port,
                database=effect.database,
            )
        except ConnectionLost as loss:
            self._busy.pop(number, None)
            self._emit_closed(number, loss.failure)
            return
        finally:
            self._opening.discard(number)
        self._work[number] = WorkConnection(
            number=number, raw=raw, emit=self._emit_of_work
        )
        raw.on_end = lambda: self._on_end(number)
        self._busy.pop(number, None)
        self._emit(events.BackendOpened(at=self._loop.time(), connection=number))

    def _run_statement(self, effect: effects.RunStatement) -> None:
        work = self._idle(effect.connection)
        if work is None:
            self._emit(
                events.BackendLost(
                    at=self._loop.time(),
                    connection=effect.connection,
                    request=effect.request,
                    sent=False,
                )
            )
            return
        self._occupy(effect.connection, work.run(effect))

    def _idle(self, number: int) -> WorkConnection | None:
        if number in self._busy:
            logger.error("event=connection_busy connection=%d", number)
            return None
        return self._work.get(number)

    def _close_backend(self, effect: effects.CloseBackend) -> None:
        # The connection is forgotten first, so that nothing emits for it.
        work = self._work.pop(effect.connection, None)
        task = self._busy.pop(effect.connection, None)
        if work is not None:
            work.abort()
        if task is not None:
            task.cancel()

    def _query_status(self, effect: effects.QueryStatus) -> None:
        self._spawn(self._report_status(effect))

    async def _report_status(self, effect: effects.QueryStatus) -> None:
        status, failure = await self._ask_status(
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
        self._spawn(self._order(effect, _server_status.fence(effect.term)))

    def _promote_server(self, effect: effects.PromoteServer) -> None:
        self._spawn(self._order(effect, _server_status.promote(effect.term)))

    def _follow_server(self, effect: effects.FollowServer) -> None:
        primary = effect.primary
        sql = _server_status.follow(effect.term, primary.host, primary.port)
        self._spawn(self._order(effect, sql))

    async def _order(self, effect: _Order, sql: str) -> None:
        status, failure = await self._ask_status(
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

    async def _ask_status(
        self, server: BackendServer, sql: str, *, timeout: float, fresh: bool = False
    ) -> tuple[ServerStatus | None, ControlFailure | None]:
        try:
            done = await self._link(server).ask(sql, timeout=timeout, fresh=fresh)
            return _server_status.parse_status(done), None
        except ControlError as error:
            return None, error.failure
        except ValueError:
            return None, ControlFailure.REJECTED

    def _query_activity(self, effect: effects.QueryActivity) -> None:
        self._spawn(self._report_activity(effect))

    async def _report_activity(self, effect: effects.QueryActivity) -> None:
        executing: bool | None = None
        work = self._work.get(effect.connection)
        if work is not None:
            sql = _server_status.show_activity(work.server_connection_id)
            link = self._link(effect.server)
            try:
                done = await link.ask(sql, timeout=effect.timeout, fresh=True)
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

    def _link(self, server: BackendServer) -> ControlLink:
        address = (server.name, server.host, server.port)
        link = self._links.get(address)
        if link is None:
            link = ControlLink(access=self._access, server=server)
            self._links[address] = link
        return link

    def _on_end(self, number: int) -> None:
        # A statement on the connection reports the loss itself. If it still
        # got its answer, the end is reported after it.
        if number in self._busy or number not in self._work:
            return
        self._work[number].report_end()

    def _emit_of_work(self, event: events.Event) -> None:
        number = event.connection
        if number not in self._work:
            return
        if isinstance(event, events.BackendLost | events.BackendClosed):
            del self._work[number]
        # A handler of the event may use the connection at once.
        self._busy.pop(number, None)
        self._emit(event)

    def _emit_closed(self, number: int, failure: ControlFailure) -> None:
        self._emit(
            events.BackendClosed(
                at=self._loop.time(), connection=number, failure=failure
            )
        )

    def _occupy(self, number: int, coroutine: Coroutine) -> None:
        task = self._spawn(coroutine)
        self._busy[number] = task
        task.add_done_callback(lambda ended: self._vacate(number, ended))

    def _vacate(self, number: int, task: asyncio.Task) -> None:
        if self._busy.get(number) is task:
            del self._busy[number]
        self._on_end(number)

    def _spawn(self, coroutine: Coroutine) -> asyncio.Task:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("event=effect_failed", exc_info=task.exception())
