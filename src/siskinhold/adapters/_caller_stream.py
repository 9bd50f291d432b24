"""MySQL packets of one caller, with limits on what is read.

mysql-mimic's stream takes a packet of any size and ends in a traceback on a
cut-off header, so reading is done here; writing is left to it.
"""

import asyncio
from collections.abc import Callable
from ssl import SSLContext

from mysql_mimic.stream import ConnectionClosed, MysqlStream

_MAX_PAYLOAD = 0xFFFFFF
_DISCARD_CHUNK_BYTES = 65_536
# The request for TLS is a packet of this size; a longer first packet is a login.
_TLS_REQUEST_BYTES = 36
_TLS_REQUEST_LENGTH = b"\x20\0\0"


class PacketTooLarge(Exception):
    """A packet was over the limit; it was read and discarded."""


class PacketMalformed(Exception):
    """A packet was out of sequence; the connection can't be read further."""


class EofReader(asyncio.StreamReader):
    """A stream reader that reports the end of the stream when it arrives.

    A caller that disconnects while its statement runs is noticed at once, with
    no task that reads ahead. What arrives right after a request for TLS is kept
    apart, as it belongs to the TLS handshake.
    """

    on_eof: Callable[[], None] | None = None
    awaits_tls = False
    _head = b""
    _received = 0
    _excess = b""

    def feed_data(self, data: bytes) -> None:
        """Take bytes from the transport."""
        if self.awaits_tls:
            data = self._split_excess(bytes(data))
        super().feed_data(data)

    def pop_excess(self) -> bytes:
        """Return what was kept apart; everything later is read as it comes."""
        self.awaits_tls = False
        return self._excess

    def feed_eof(self) -> None:
        """Note the end of the stream and report it."""
        super().feed_eof()
        if self.on_eof is not None:
            self.on_eof()

    def set_exception(self, exc: BaseException) -> None:
        """Note the loss of the connection and report it."""
        super().set_exception(exc)
        if self.on_eof is not None:
            self.on_eof()

    def _split_excess(self, data: bytes) -> bytes:
        remaining = max(_TLS_REQUEST_BYTES - self._received, 0)
        self._received += len(data)
        self._head = (self._head + data)[: len(_TLS_REQUEST_LENGTH)]
        if not _TLS_REQUEST_LENGTH.startswith(self._head):
            self.awaits_tls = False
            return data
        self._excess += data[remaining:]
        return data[:remaining]


class CallerProtocol(asyncio.StreamReaderProtocol):
    """Feeds the reader; the transport closes when the caller's side ends."""

    def eof_received(self) -> bool:
        """Report the end of the stream; nothing is sent to a caller that left."""
        super().eof_received()
        return False


class CallerStream:
    """Reads and writes the packets of one connection.

    Args:
        reader: bytes from the caller.
        writer: bytes to the caller.
        limit: size of the largest command that is accepted, in bytes.
    """

    def __init__(
        self, *, reader: EofReader, writer: asyncio.StreamWriter, limit: int
    ) -> None:
        self.limit = limit
        self.reader = reader
        self._plain_writer: asyncio.StreamWriter | None = None
        self._set_writer(writer)

    async def read(self) -> bytes:
        """Return the next command.

        Raises:
            ConnectionClosed: if the stream ended.
            PacketTooLarge: if the command is over the limit.
            PacketMalformed: if a packet is out of sequence.
        """
        try:
            return await self._read()
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            raise ConnectionClosed() from error

    async def start_tls(self, ssl: SSLContext) -> None:
        """Continue with TLS.

        A client sends its first TLS message without waiting, so it may be read
        together with the request. The loop's TLS protocol is then given it.

        Raises:
            ConnectionClosed: if the caller left during the TLS handshake.
            ssl.SSLError: if the TLS handshake failed.
        """
        loop = asyncio.get_running_loop()
        transport = self.writer.transport
        # What arrives before the TLS protocol is in place would go to the plain reader.
        transport.pause_reading()
        excess = self.reader.pop_excess()
        plain = transport.get_protocol()
        start = asyncio.create_task(
            loop.start_tls(transport, plain, ssl, server_side=True)
        )
        while transport.get_protocol() is plain and not start.done():
            await asyncio.sleep(0)
        if excess and not start.done():
            # Runs after the protocol's `connection_made`, which is scheduled,
            # and before the transport reads again.
            loop.call_soon(_feed, transport.get_protocol(), excess)
        secure = await start
        if secure is None:
            raise ConnectionClosed()
        # The plain writer closes its transport when it is collected.
        self._plain_writer = self.writer
        sequence = self._packets.seq.value
        self._set_writer(asyncio.StreamWriter(secure, plain, self.reader, loop))
        self._packets.seq.value = sequence

    def write_last_answer(self, packet: bytes) -> None:
        """Write the answer to a command that is still to come; write no more."""
        header = len(packet).to_bytes(3, "little") + b"\x01"
        self.writer.write(header + packet)
        if self.writer.can_write_eof():
            self.writer.write_eof()

    def _set_writer(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self._packets = MysqlStream(self.reader, writer)
        self.write = self._packets.write
        self.write_many = self._packets.write_many
        self.write_text_rows = self._packets.write_text_rows
        self.drain = self._packets.drain
        self.reset_seq = self._packets.reset_seq

    async def _read(self) -> bytes:
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
        header = await self.reader.readexactly(4)
        expected = next(self._packets.seq)
        if header[3] != expected:
            raise PacketMalformed(f"sequence {header[3]} in place of {expected}")
        return int.from_bytes(header[:3], "little")

    async def _discard(self, length: int) -> None:
        while length:
            chunk = await self.reader.read(min(length, _DISCARD_CHUNK_BYTES))
            if not chunk:
                raise ConnectionClosed()
            length -= len(chunk)


def _feed(protocol: asyncio.BufferedProtocol, data: bytes) -> None:
    while data:
        buffer = protocol.get_buffer(len(data))
        size = min(len(buffer), len(data))
        buffer[:size] = data[:size]
        protocol.buffer_updated(size)
        data = data[size:]
