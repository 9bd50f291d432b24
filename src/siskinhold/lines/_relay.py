"""Relays of callers to a VM that holds connections to backend servers."""

import asyncio

from ..direct import TransactionState
from ._codec import LineCodec, PartKind
from ._protocol import LineProtocol

OPEN_TIME = 0.5
"""Seconds until the next holder is tried: many round trips to the other region."""

USER_TIMEOUT = 1.0
"""Seconds without an acknowledgement after which a holder counts as lost."""

HIGH_WATER = 1 << 20
"""Bytes that may wait to be sent; more from a peer that doesn't read ends a relay."""


class RelayProtocol(LineProtocol):
    """The connection to a holder; passes on its lines unchanged.

    Args:
        codec: the wire.
        write: takes bytes for the caller.
        lost: called once when the connection has ended.
    """

    def __init__(self, *, codec: LineCodec, write, lost) -> None:
        super().__init__(user_timeout=USER_TIMEOUT)
        self._codec = codec
        self._write = write
        self._lost = lost
        self._outstanding = 1
        self._state = TransactionState.NONE

    @property
    def idle(self) -> bool:
        """Whether neither a statement nor a transaction is open."""
        return self._outstanding <= 0 and self._state is TransactionState.NONE

    def pass_on(self, line: bytes) -> None:
        """Send a line of the caller to the holder."""
        if self.transport is None or self.transport.is_closing():
            return
        self._outstanding += 1
        self.transport.write(line + b"\r\n")
        if self.transport.get_write_buffer_size() > HIGH_WATER:
            self.transport.abort()

    def take_line(self, line: bytes) -> None:
        """Send a line of the holder to the caller."""
        self._write(line + b"\r\n")
        part = self._codec.parse_part(line)
        if part.kind is PartKind.READY:
            self._outstanding -= 1
            self._state = part.transaction

    def take_overflow(self) -> None:
        """End a relay whose holder sends an endless line."""
        self.transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Tell that the holder is gone."""
        self.transport = None
        self._lost()

    def close(self) -> None:
        """End the connection."""
        if self.transport is not None:
            self.transport.close()


async def open_relay(
    targets: tuple[tuple[str, str, int], ...], hello: bytes, make_protocol
) -> tuple[RelayProtocol | None, tuple[str, ...]]:
    """Connect to the first holder that can be reached.

    Args:
        targets: name, host and port of the holders, best first.
        hello: the caller's first line.
        make_protocol: makes a `RelayProtocol`.

    Returns:
        The relay, None if no holder can be reached, and the names of those that can't.
    """
    loop = asyncio.get_running_loop()
    failed = []
    for name, host, port in targets:
        try:
            async with asyncio.timeout(OPEN_TIME):
                _, protocol = await loop.create_connection(make_protocol, host, port)
        except (OSError, TimeoutError):
            failed.append(name)
            continue
        protocol.transport.write(hello + b"\r\n")
        return protocol, tuple(failed)
    return None, tuple(failed)
