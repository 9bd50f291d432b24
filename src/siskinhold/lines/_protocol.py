"""Base class of protocols that exchange lines over TCP."""

import asyncio
import socket

from ._codec import LINE_END, LINE_LIMIT

KEEPALIVE_IDLE = 1
"""Idle seconds until the first keep-alive probe."""

KEEPALIVE_INTERVAL = 1
"""Seconds between keep-alive probes."""

KEEPALIVE_COUNT = 3
"""Unanswered probes after which a connection counts as lost."""


class LineProtocol(asyncio.Protocol):
    """Splits received data into lines.

    Args:
        user_timeout: seconds that sent data may stay unacknowledged before the
            connection is closed (`TCP_USER_TIMEOUT`).
    """

    def __init__(self, *, user_timeout: float) -> None:
        self.transport: asyncio.Transport | None = None
        self._user_timeout = user_timeout
        self._buffer = bytearray()
        self._overflowed = False
        self._reading_paused = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket options that detect an unresponsive connection."""
        self.transport = transport
        connection = transport.get_extra_info("socket")
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
            (
                socket.IPPROTO_TCP,
                socket.TCP_USER_TIMEOUT,
                int(self._user_timeout * 1000),
            ),
        )
        for level, name, value in options:
            connection.setsockopt(level, name, value)

    @property
    def unsent(self) -> int:
        """Bytes that were written but not sent yet."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def pause(self) -> None:
        """Read no more until `resume` is called."""
        if self.transport is not None and not self.transport.is_closing():
            self._reading_paused = True
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read again if reading is paused."""
        if not self._reading_paused:
            return
        self._reading_paused = False
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Handle all complete lines; keep the rest for the next call.

        After a line that exceeds the limit, everything is dropped.
        """
        if self._overflowed:
            return
        buffer = self._buffer
        # The end of a line may be cut between two calls.
        searched = max(0, len(buffer) - len(LINE_END) + 1)
        buffer += data
        start = 0
        while (end := buffer.find(LINE_END, max(start, searched))) >= 0:
            if end - start > LINE_LIMIT:
                break
            line = bytes(buffer[start:end])
            start = end + len(LINE_END)
            self.handle_line(line)
            if self.transport is None or self.transport.is_closing():
                break
        del buffer[:start]
        # The last byte may be the beginning of a line end.
        if len(buffer) > LINE_LIMIT + 1:
            buffer.clear()
            self._overflowed = True
            self.handle_overflow()

    def handle_line(self, line: bytes) -> None:
        """Handle a line, which is passed without its line end."""
        raise NotImplementedError

    def handle_overflow(self) -> None:
        """Handle a line that exceeds `LINE_LIMIT`."""
        raise NotImplementedError
