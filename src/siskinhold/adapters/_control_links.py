"""Control connections to backend servers, one kept open for each server."""

import asyncio

from ..model import BackendServer, ControlFailure, Done
from ._raw_connections import (
    AnswerTooLarge,
    ConnectionLost,
    ConnectionSettings,
    RawConnection,
    ServerError,
    open_connection,
)

IDLE_TIMEOUT = 10.0
"""Seconds after which an unused control connection is closed."""


class ControlError(Exception):
    """A control statement failed.

    Args:
        failure: kind of the failure.
    """

    def __init__(self, failure: ControlFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class ControlLink:
    """Runs control statements on a server in order, one at a time.

    Fresh statements are the exception: each runs at once, on a connection of its own.

    Args:
        settings: credentials and limits.
        server: the server.
    """

    def __init__(self, *, settings: ConnectionSettings, server: BackendServer) -> None:
        self._settings = settings
        self._host = server.host
        self._port = server.port
        self._lock = asyncio.Lock()
        self._kept: RawConnection | None = None
        self._used_at = 0.0
        self._idle_timer: asyncio.TimerHandle | None = None

    async def run(self, sql: str, *, timeout: float, fresh: bool = False) -> Done:
        """Run a statement.

        A fresh statement does not wait for earlier ones, since the connection that
        runs them may be unresponsive.

        Args:
            sql: the statement.
            timeout: time limit in seconds, including the wait for earlier statements.
            fresh: run it on a new connection.

        Raises:
            ControlError: if it fails.
        """
        try:
            async with asyncio.timeout(timeout):
                if fresh:
                    return await self._run_on_new(sql)
                async with self._lock:
                    return await self._run_on_kept(sql)
        except TimeoutError:
            raise ControlError(ControlFailure.TIMEOUT) from None
        except ConnectionLost as loss:
            raise ControlError(loss.failure) from loss
        except ServerError as error:
            raise ControlError(ControlFailure.REJECTED) from error
        except AnswerTooLarge as error:
            raise ControlError(ControlFailure.CLOSED) from error

    def close(self) -> None:
        """Close the kept connection."""
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None
        self._close_kept()

    async def _run_on_kept(self, sql: str) -> Done:
        """Run a statement on the kept connection; opens one if there is none."""
        if self._kept is None or not self._kept.usable:
            self._close_kept()
            self._keep(await self._open())
        self._used_at = asyncio.get_running_loop().time()
        return await self._kept.run(sql)

    async def _run_on_new(self, sql: str) -> Done:
        """Run a statement on a new connection.

        The new connection replaces the kept one, unless a statement is running on that
        one. It is not kept after an error of the server.
        """
        connection = await self._open()
        try:
            done = await connection.run(sql)
        except ServerError:
            connection.abort()
            raise
        if self._lock.locked():
            connection.abort()
        else:
            self._close_kept()
            self._keep(connection)
        return done

    async def _open(self) -> RawConnection:
        return await open_connection(
            settings=self._settings, host=self._host, port=self._port
        )

    def _keep(self, connection: RawConnection) -> None:
        """Keep a connection for later statements and start the idle checks."""
        self._kept = connection
        self._used_at = asyncio.get_running_loop().time()
        if self._idle_timer is None:
            self._schedule_idle_check(IDLE_TIMEOUT)

    def _schedule_idle_check(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(delay, self._close_if_idle)

    def _close_if_idle(self) -> None:
        """Close the kept connection if it is idle; otherwise check again later."""
        self._idle_timer = None
        if self._kept is None:
            return
        remaining = self._used_at + IDLE_TIMEOUT - asyncio.get_running_loop().time()
        if remaining > 0 or self._lock.locked():
            self._schedule_idle_check(max(remaining, 1.0))
            return
        self._close_kept()

    def _close_kept(self) -> None:
        if self._kept is not None:
            self._kept.abort()
        self._kept = None
