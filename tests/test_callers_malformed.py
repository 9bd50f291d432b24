"""Mutated packets of callers: cut, repeated, swapped and lengthened valid ones."""

import asyncio
import logging
import random

from test_callers import EntryVm

from siskinhold.events import CallerClosed, CallerOpened

MESSAGES = 400
"""Mutated messages that are tried for each kind."""

HANDSHAKE = (
    bytes.fromhex(
        # Capabilities with attributes, 16 MiB packets, utf8mb4, then the user's name.
        "8da21f00000000012d"
        + "00" * 23
    )
    + b"mill\0\x14"
    + bytes(range(20))
    + b"orders\0mysql_native_password\0\x00"
)

COMMANDS = (
    b"\x03SELECT v FROM kv WHERE k='a'",
    b"\x03\x00\x01/* siskinhold: once=K-1 max_age_ms=500 */ INSERT b",
    b"\x03\x01\x01\x00\x01\xfe\x00\x04once\x03K-1INSERT c",
    b"\x02orders",
    b"\x0e",
    b"\x1f",
    b"\x16SELECT 1",
    b"\x17\x01\x00\x00\x00\x00\x01\x00\x00\x00",
)


def mutate(message: bytes, generator: random.Random) -> bytes:
    """Return a variant of a message."""
    data = bytearray(message)
    for _ in range(generator.randrange(1, 4)):
        kind = generator.randrange(5)
        at = generator.randrange(len(data) + 1)
        if kind == 0:
            del data[at:]
        elif kind == 1:
            data[at:at] = data[: generator.randrange(40)]
        elif kind == 2 and data:
            data[at % len(data)] = generator.randrange(256)
        elif kind == 3:
            data[at:at] = generator.randbytes(generator.randrange(600))
        else:
            data += b"\xff\xfe\xfd"[: generator.randrange(4)] * 9
    return bytes(data)


def frame(body: bytes, sequence: int) -> bytes:
    """Return a packet with a correct header."""
    return len(body).to_bytes(3, "little") + bytes([sequence]) + body


async def answer_all(reader: asyncio.StreamReader) -> None:
    """Read until the other side closes the connection."""
    async with asyncio.timeout(5):
        try:
            while await reader.read(65_536):
                continue
        except ConnectionError:
            # A reset ends the connection as well.
            return


class TestMutatedPackets:
    async def test_handshake(self, caplog):
        """Guards against a login packet whose error ends more than its connection."""
        caplog.set_level(logging.WARNING)
        generator = random.Random(21)
        async with EntryVm() as entry:
            for _ in range(MESSAGES):
                reader, writer = await entry.open_socket()
                writer.write(frame(mutate(HANDSHAKE, generator), 1))
                writer.write_eof()
                await answer_all(reader)
                writer.close()
            connection = await entry.connect()
            await connection.ping(reconnect=False)
        assert [record for record in caplog.records if record.exc_info] == []

    async def test_commands(self, caplog):
        """Guards against a command whose error ends more than its session."""
        caplog.set_level(logging.WARNING)
        generator = random.Random(22)
        async with EntryVm() as entry:
            for _ in range(MESSAGES // 8):
                connection = await entry.connect()
                for _ in range(8):
                    body = mutate(generator.choice(COMMANDS), generator)
                    connection._writer.write(frame(body, 0))
                connection._writer.write_eof()
                await answer_all(connection._reader)
                connection.close()
            last = await entry.connect()
            await last.ping(reconnect=False)
            last.close()
        opened = entry.find_events(CallerOpened)
        assert len(entry.find_events(CallerClosed)) == len(opened)
        assert [record for record in caplog.records if record.exc_info] == []
