"""The end of callers' connections when a VM shuts down, over real sockets."""

import asyncio
import logging

from test_callers import EntryVm, make_contexts, run, run_failing

from siskinhold.effects import CloseCaller
from siskinhold.events import CallerClosed, StatementReceived
from siskinhold.model import Column, Done

LARGE_RESULT = Done(columns=(Column("v"),), rows=((b"x" * 1_000,),) * 40_000)


def frame(body):
    return len(body).to_bytes(3, "little") + b"\0" + body


async def read_packet(reader):
    """Read one packet; return its sequence number and payload."""
    header = await reader.readexactly(4)
    body = await reader.readexactly(int.from_bytes(header[:3], "little"))
    return header[3], body


def is_shutdown_error(packet):
    sequence, body = packet
    return sequence == 1 and body[:3] == b"\xff" + (1053).to_bytes(2, "little")


def close(entry, session):
    entry.callers.close(CloseCaller(session=session, reason="test"))


class TestSlowCaller:
    async def test_large_answer(self):
        """Guards against an answer cut off because its caller reads slowly."""
        async with EntryVm() as entry:
            entry.replies["SELECT v"] = None
            connection = await entry.connect()
            connection._writer.transport.pause_reading()
            task = asyncio.create_task(run(connection, "SELECT v"))
            received = await entry.wait_for(StatementReceived)
            entry.reply(received.session, LARGE_RESULT)
            close(entry, received.session)
            await asyncio.sleep(2.5)
            connection._writer.transport.resume_reading()
            async with asyncio.timeout(5):
                _, rows = await task
            assert len(rows) == len(LARGE_RESULT.rows)
            assert (await run_failing(connection, "INSERT b"))[0] == 1053

    async def test_large_answer_over_tls(self, tmp_path):
        """Guards against an answer cut off in the buffers of a TLS connection."""
        server, client = make_contexts(tmp_path)
        async with EntryVm(ssl=server) as entry:
            entry.replies["SELECT v"] = None
            connection = await entry.connect(ssl=client)
            connection._writer.transport.pause_reading()
            task = asyncio.create_task(run(connection, "SELECT v"))
            received = await entry.wait_for(StatementReceived)
            entry.reply(received.session, LARGE_RESULT)
            close(entry, received.session)
            await asyncio.sleep(2.5)
            connection._writer.transport.resume_reading()
            async with asyncio.timeout(5):
                _, rows = await task
            assert len(rows) == len(LARGE_RESULT.rows)

    async def test_caller_that_reads_nothing(self, caplog):
        """Guards against a caller that keeps a stopped VM from ending."""
        async with EntryVm() as entry:
            entry.replies["SELECT v"] = None
            connection = await entry.connect()
            connection._writer.transport.pause_reading()
            task = asyncio.create_task(run(connection, "SELECT v"))
            received = await entry.wait_for(StatementReceived)
            entry.reply(received.session, LARGE_RESULT)
            close(entry, received.session)
            await asyncio.sleep(0.1)
            caplog.clear()
            async with asyncio.timeout(3):
                await entry.callers.stop()
            (line,) = [text for text in caplog.messages if "callers_closed" in text]
            assert "done=1" in line and " closed=1 unanswered=1 " in line
            assert "unsent_bytes=0" not in line
            task.cancel()


class TestPipelinedStatements:
    async def test_statements_read_before_the_close(self, caplog):
        """Guards against read statements that get no answer at a close."""
        async with EntryVm() as entry:
            entry.replies["INSERT a"] = None
            connection = await entry.connect()
            for sql in (b"INSERT a", b"INSERT b", b"INSERT c"):
                connection._writer.write(frame(b"\x03" + sql))
            received = await entry.wait_for(StatementReceived)
            await asyncio.sleep(0.1)
            entry.reply(received.session, Done())
            close(entry, received.session)
            async with asyncio.timeout(3):
                _, done = await read_packet(connection._reader)
                assert done[0] == 0
                assert is_shutdown_error(await read_packet(connection._reader))
                assert is_shutdown_error(await read_packet(connection._reader))
            assert entry.received_sql() == ["INSERT a"]
            caplog.set_level(logging.INFO)
            connection.close()
            await entry.callers.stop()
            assert "done=1 failed=0 not_run=2 unknown=0 closed=1" in caplog.text
            assert "unanswered=0 unsent_bytes=0" in caplog.text

    async def test_statement_that_arrived_right_before_the_close(self):
        """Guards against the last of two statements that get a single answer."""
        async with EntryVm() as entry:
            connection = await entry.connect()
            (number,) = entry.callers._connections
            reader = entry.callers._connections[number].stream.reader
            reader.feed_data(frame(b"\x03INSERT a") + frame(b"\x03INSERT b"))
            close(entry, number)
            async with asyncio.timeout(3):
                assert is_shutdown_error(await read_packet(connection._reader))
                assert is_shutdown_error(await read_packet(connection._reader))
            assert entry.received_sql() == []

    async def test_bytes_that_cross_the_close(self):
        """Guards against a reset by unread bytes that destroys the last answer."""
        async with EntryVm() as entry:
            connection = await entry.connect()
            (number,) = entry.callers._connections
            close(entry, number)
            for _ in range(20):
                connection._writer.write(frame(b"\x03INSERT '" + b"x" * 200_000 + b"'"))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(3):
                assert is_shutdown_error(await read_packet(connection._reader))
                assert await connection._reader.read() == b""
            connection.close()
            await entry.wait_for(CallerClosed)
            assert entry.received_sql() == []


class TestHandshake:
    async def test_login_that_crosses_the_stop(self):
        """Guards against a login without an answer as the VM stops."""
        async with EntryVm() as entry:
            _, writer = await entry.open_socket()
            connecting = asyncio.create_task(entry.connect())
            while len(entry.callers._connections) < 2:
                await asyncio.sleep(0)
            stopping = asyncio.create_task(entry.callers.stop())
            connection = await connecting
            assert (await run_failing(connection, "INSERT a"))[0] == 1053
            async with asyncio.timeout(3):
                await stopping
            writer.close()
            assert entry.received_sql() == []
