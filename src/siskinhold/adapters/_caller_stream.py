"""Reading of a caller's MySQL packets, with a size limit.

The stream of mysql-mimic accepts packets of any size and fails with a traceback on a
truncated header, so this module reads by itself and uses the library for writing.
"""

import asyncio
from collections.abc import Callable
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream

from ._caller_login import check_login

_MAX_PAYLOAD = 0xFFFFFF
_DISCARD_CHUNK_BYTES = 65_536
# Size of an SSL request with its header; a longer first packet is a login without TLS.
_TLS_REQUEST_BYTES = 36
_TLS_REQUEST_LENGTH = b"\x20\0\0"


class PacketTooLarge(Exception):
    """A command exceeded the size limit; it was read and discarded."""


class PacketMalformed(Exception):
    """A packet was out of sequence; nothing more can be read from the connection."""


class EofReader(asyncio.StreamReader):
    """A stream reader that calls `on_eof` as soon as the stream ends.

    It detects a caller that disconnects while its statement runs, without a task that
    reads ahead. Bytes that follow an SSL request are kept apart, since they belong to
    the TLS handshake.
    """

    on_eof: Callable[[], None] | None = None
    awaits_tls = False
    _head = b""
    _received = 0
    _excess = b""

    @property
    def has_buffered(self) -> bool:
        """Whether bytes have arrived that were not read yet."""
        return bool(self._buffer)

    def feed_data(self, data: bytes) -> None:
        """Buffer bytes from the transport."""
        if self.awaits_tls:
            data = self._split_excess(bytes(data))
        super().feed_data(data)

    def pop_excess(self) -> bytes:
        """Return the bytes kept for the TLS handshake and stop keeping them apart."""
        self.awaits_tls = False
        return self._excess

    def feed_eof(self) -> None:
        """Mark the end of the stream and call `on_eof`."""
        super().feed_eof()
        if self.on_eof is not None:
            self.on_eof()

    def set_exception(self, exc: BaseException) -> None:
        """Mark the loss of the connection and call `on_eof`."""
        super().set_exception(exc)
        if self.on_eof is not None:
            self.on_eof()

    def _split_excess(self, data: bytes) -> bytes:
        """Return the bytes of an SSL request and keep those that follow it apart.

        Returns all bytes if the first packet is not an SSL request.
        """
        remaining = max(_TLS_REQUEST_BYTES - self._received, 0)
        self._received += len(data)
        self._head = (self._head + data)[: len(_TLS_REQUEST_LENGTH)]
        if not _TLS_REQUEST_LENGTH.startswith(self._head):
            self.awaits_tls = False
            return data
        self._excess += data[remaining:]
        return data[:remaining]


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Feeds the reader, and closes the transport when the caller closes its side."""

    def eof_received(self) -> bool:
        """Pass on the end of the stream and let the transport close."""
        super().eof_received()
        return False


class CallerStream:
    """Reads and writes the packets of one connection.

    Args:
        reader: bytes from the caller.
        writer: bytes to the caller.
        limit: maximum size of a command, in bytes.

    Attributes:
        awaits_login: whether the next packet is a login or a request for TLS.
    """

    def __init__(
        self, *, reader: EofReader, writer: asyncio.StreamWriter, limit: int
    ) -> None:
        self.limit = limit
        self.awaits_login = True
        self.reader = reader
        self._plain_writer: asyncio.StreamWriter | None = None
        self._set_writer(writer)

    async def read(self) -> bytes:
        """Return the next command.

        Raises:
            ConnectionClosed: if the stream ended.
            PacketTooLarge: if the command exceeds the limit.
            PacketMalformed: if a packet is out of sequence.
            LoginMalformed: if a login is awaited and the packet is none.
        """
        try:
            data = await self._read()
            if self.awaits_login:
                check_login(data)
            return data
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error

    async def start_tls(self, ssl: SSLContext) -> None:
        """Upgrade the connection to TLS.

        A client sends its ClientHello without waiting for an answer, so it may arrive
        together with the SSL request. It is then passed to the loop's TLS protocol.

        Raises:
            ConnectionClosed: if the caller disconnected during the TLS handshake.
            ssl.SSLError: if the TLS handshake failed.
        """
        loop = asyncio.get_running_loop()
        transport = self.writer.transport
        # Data that arrives before the TLS protocol is set would go to the plain reader.
        transport.pause_reading()
        excess = self.reader.pop_excess()
        plain = transport.get_protocol()
        start = asyncio.create_task(
            loop.start_tls(transport, plain, ssl, server_side=True)
        )
        while transport.get_protocol() is plain and not start.done():
            await asyncio.sleep(0)
        if excess and not start.done():
            # Runs after the protocol's `connection_made`, which is already
            # scheduled, and before the transport resumes reading.
            loop.call_soon(_feed, transport.get_protocol(), excess)
        secure = await start
        if secure is None:
            raise ConnectionClosed()
        # Kept alive: the plain writer closes its transport when garbage-collected.
        self._plain_writer = self.writer
        sequence = self._packets.seq.value
        self._set_writer(asyncio.StreamWriter(secure, plain, self.reader, loop))
        self._packets.seq.value = sequence

    async def discard_input(self) -> None:
        """Read and discard what arrives until the caller closes the connection."""
        while await self.reader.read(_DISCARD_CHUNK_BYTES):
            continue

    def write_last_answer(self, packet: bytes) -> None:
        """Write the answer to a command not yet received, and close the write side.

        Under TLS the write side stays open, since it can't be closed separately.
        """
        header = len(packet).to_bytes(3, "little") + b"\x01"
        self.writer.write(header + packet)
        if self.writer.can_write_eof():
            self.writer.write_eof()

    def _set_writer(self, writer: asyncio.StreamWriter) -> None:
        """Set the writer and take over the writing methods of the library's stream."""
        self.writer = writer
        self._packets = MysqlStream(self.reader, writer)
        self.write = self._packets.write
        self.write_many = self._packets.write_many
        self.write_text_rows = self._packets.write_text_rows
        self.drain = self._packets.drain
        self.reset_seq = self._packets.reset_seq

    async def _read(self) -> bytes:
        """Return a command, joined from its packets.

        A command that exceeds the limit is discarded as it is read.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            length = await self._read_header()
            size += length
            if size <= self.limit:
                parts.append(await self.reader.readexactly(length))
            else:
                parts.clear()
                await self._discard(length)
            if length == _MAX_PAYLOAD:
                continue
            if size > self.limit:
                raise PacketTooLarge()
            return b"".join(parts)

    async def _read_header(self) -> int:
        """Check a packet's sequence number and return the length of its payload."""
        header = await self.reader.readexactly(4)
        expected = next(self._packets.seq)
        if header[3] != expected:
            raise PacketMalformed(f"sequence {header[3]} in place of {expected}")
        return int.from_bytes(header[:3], "little")

    async def _discard(self, length: int) -> None:
        """Read a number of bytes without keeping them."""
        while length:
            chunk = await self.reader.read(min(length, _DISCARD_CHUNK_BYTES))
            if not chunk:
                raise ConnectionClosed()
            length -= len(chunk)


def _feed(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    """Pass data to a buffered protocol in the same way as its transport does."""
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
