"""Control connections: one kept open for each backend server."""

import asyncio

from ..model import BackendServer, ControlFailure, Done
from ._raw_connections import (
    Access,
    AnswerTooLarge,
    ConnectionLost,
    RawConnection,
    ServerRefusal,
    open_connection,
)

IDLE_LIMIT = 10.0
"""Seconds after which an unused control connection is closed."""


class ControlError(Exception):
    """A control statement gave no result.

    Args:
        failure: why.
    """

    def __init__(self, failure: ControlFailure) -> None:
        super().__init__(failure.value)
        self.failure = failure


class ControlLink:
    """Runs control statements on a server, in order and one at a time.

    Args:
        access: credentials and limits.
        server: the server.
    """

    def __init__(self, *, access: Access, server: BackendServer) -> None:
        self._access = access
        self._host = server.host
        self._port = server.port
        self._turn = asyncio.Lock()
        self._kept: RawConnection | None = None
        self._used = 0.0
        self._sweep: asyncio.TimerHandle | None = None

    async def ask(self, sql: str, *, timeout: float, fresh: bool = False) -> Done:
        """Run a statement.

        A fresh one doesn't wait for its turn: the connection of the statement
        whose turn it is may be silent.

        Args:
            sql: the statement.
            timeout: longest time, including the wait for its turn, in seconds.
            fresh: use a new connection.

        Raises:
            ControlError: if it fails.
        """
        try:
            async with asyncio.timeout(timeout):
                if fresh:
                    return await self._ask_fresh(sql)
                async with self._turn:
                    return await self._ask_kept(sql)
        except TimeoutError:
            raise ControlError(ControlFailure.TIMEOUT) from None
        except ConnectionLost as loss:
            raise ControlError(loss.failure) from loss
        except ServerRefusal as refusal:
            raise ControlError(ControlFailure.REJECTED) from refusal
        except AnswerTooLarge as error:
            raise ControlError(ControlFailure.CLOSED) from error

    def close(self) -> None:
        """Close the kept connection."""
        if self._sweep is not None:
            self._sweep.cancel()
            self._sweep = None
        self._drop()

    async def _ask_kept(self, sql: str) -> Done:
        if self._kept is None or not self._kept.usable:
            self._drop()
            self._keep(await self._open())
        self._used = asyncio.get_running_loop().time()
        return await self._kept.run(sql)

    async def _ask_fresh(self, sql: str) -> Done:
        connection = await self._open()
        try:
            done = await connection.run(sql)
        except ServerRefusal:
            connection.abort()
            raise
        if self._turn.locked():
            connection.abort()
        else:
            self._drop()
            self._keep(connection)
        return done

    async def _open(self) -> RawConnection:
        return await open_connection(
            access=self._access, host=self._host, port=self._port
        )

    def _keep(self, connection: RawConnection) -> None:
        self._kept = connection
        self._used = asyncio.get_running_loop().time()
        if self._sweep is None:
            self._schedule(IDLE_LIMIT)

    def _schedule(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._sweep = loop.call_later(delay, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._sweep = None
        if self._kept is None:
            return
        left = self._used + IDLE_LIMIT - asyncio.get_running_loop().time()
        if left > 0 or self._turn.locked():
            self._schedule(max(left, 1.0))
            return
        self._drop()

    def _drop(self) -> None:
        if self._kept is not None:
            self._kept.abort()
        self._kept = None
