"""The connections that an HTTP server keeps open."""

import asyncio
from collections.abc import Callable

MAX_CONNECTIONS = 48
"""Connections that a server keeps open by default."""

CLOSE_TIMEOUT = 2.0
"""Seconds in which the other side must take what was sent before a close."""


class OpenConnections:
    """A server's connections, the longest waiting of which makes way at a limit.

    Args:
        limit: connections that are kept open.
        observe: called with the name and the value of a metric.
    """

    __slots__ = ("_limit", "_observe", "_waiting")

    def __init__(self, *, limit: int, observe: Callable | None) -> None:
        self._limit = limit
        self._observe = observe
        # Whether each waits for a request, the longest waiting first.
        self._waiting: dict[asyncio.StreamWriter, bool] = {}

    def add(self, writer: asyncio.StreamWriter) -> None:
        """Add a connection, which waits for a request."""
        if len(self._waiting) >= self._limit:
            self._close_longest_waiting()
        self._waiting[writer] = True

    def begin_answer(self, writer: asyncio.StreamWriter) -> bool:
        """Note that a request is answered; return whether it is still to be."""
        if self._waiting.pop(writer, None) is None:
            return False
        self._waiting[writer] = False
        return True

    def end_answer(self, writer: asyncio.StreamWriter) -> None:
        """Note that a connection waits for the next request."""
        if writer in self._waiting:
            self._waiting[writer] = True

    def close(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection, at the latest after `CLOSE_TIMEOUT`."""
        self._waiting.pop(writer, None)
        writer.close()
        if writer.transport.get_write_buffer_size():
            loop = asyncio.get_running_loop()
            loop.call_later(CLOSE_TIMEOUT, writer.transport.abort)

    def _close_longest_waiting(self) -> None:
        """Close the connection that has waited longest for a request.

        While all are being answered, it is the oldest one.
        """
        found = next(iter(self._waiting))
        for writer, waits in self._waiting.items():
            if waits:
                found = writer
                break
        del self._waiting[found]
        found.transport.abort()
        if self._observe is not None:
            self._observe("requests_closed_total", 1)
