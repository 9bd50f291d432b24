"""The end of callers' connections when a VM shuts down, over real sockets."""

import asyncio

from test_callers import EntryVm, run, run_failing

from siskinhold.effects import CloseCaller
from siskinhold.events import StatementReceived
from siskinhold.model import Column, Done

LARGE_RESULT = Done(columns=(Column("v"),), rows=((b"x" * 1_000,),) * 40_000)


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

    async def test_caller_that_reads_nothing(self):
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
            async with asyncio.timeout(3):
                await entry.callers.stop()
            task.cancel()
