"""Tests of ends of callers' connections: nothing that was read lacks its answer."""

import asyncio
import contextlib
import os

import pytest

from siskinhold.direct import (
    AcceptCaller,
    Answer,
    CallerOpened,
    CallerStatement,
    CloseCaller,
    CloseRelays,
    Refusal,
    RefuseCaller,
    RelayCaller,
    RelayClosing,
    RelayedStatement,
    ReplyCaller,
    TransactionState,
    choose_relay_answers,
)
from siskinhold.lines._callers import LineCallers
from siskinhold.listener import open_listener
from siskinhold_platform import WireCodec

from .test_relay import run_holder

CONNECT = b"CONNECT orders u1\r\n"

READY = b"READY I -\r\n"

LARGE_ROWS = tuple(f"{number:07d}" * 100 for number in range(4000))
"""Rows that fill the buffers of a connection."""


class Vm:
    """A VM's callers, whose events are recorded; the test gives the effects."""

    def __init__(self) -> None:
        self.listener = open_listener("127.0.0.1", 0)
        self.port = self.listener.getsockname()[1]
        self.opened: list[int] = []
        self.statements: list[str] = []
        self.on_statement = None
        self.writers = []
        self.callers = LineCallers(
            host="127.0.0.1",
            port=self.port,
            relay_port=0,
            codec=WireCodec(),
            limit=100,
            listener=self.listener,
        )

    def emit(self, event) -> None:
        """Record an event."""
        if isinstance(event, CallerOpened):
            self.opened.append(event.session)
        elif isinstance(event, CallerStatement):
            self.statements.append(event.statement.text)
            if self.on_statement is not None:
                self.on_statement(event)

    async def connect(self, data: bytes):
        """Connect a caller that sends some bytes, and wait for its session."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        count = len(self.opened)
        writer.write(data)
        while len(self.opened) == count:
            await asyncio.sleep(0.005)
        return reader, writer, self.opened[-1]

    def accept(self, session: int) -> None:
        """Accept a caller."""
        self.callers.accept(AcceptCaller(session=session))

    def reply(self, session: int, *rows: str) -> None:
        """Answer a caller's statement."""
        self.callers.reply(ReplyCaller(session=session, answer=Answer(rows=rows)))

    def close(self, session: int) -> None:
        """End a caller's connection."""
        self.callers.close(CloseCaller(session=session))

    async def wait_for_statements(self, count: int) -> None:
        """Wait until that many statements were submitted."""
        async with asyncio.timeout(2):
            while len(self.statements) < count:
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def run_vm():
    """Run the callers' side of a VM."""
    vm = Vm()
    await vm.callers.start(vm.emit)
    try:
        yield vm
    finally:
        for writer in vm.writers:
            writer.transport.abort()
        await vm.callers.stop()


async def read_all(reader) -> bytes:
    """Return all bytes up to the end of a connection."""
    return await asyncio.wait_for(reader.read(-1), 5)


class TestLinesReadAhead:
    async def test_statement_behind_the_connect_line_is_submitted(self):
        """Guards against a statement that is dropped before its caller is accepted."""
        async with run_vm() as vm:
            data = CONNECT + b"QUERY 1 READ x\r\n"
            reader, _, session = await vm.connect(data)
            await asyncio.sleep(0.05)
            assert not vm.statements
            vm.accept(session)
            await vm.wait_for_statements(1)
            vm.reply(session, "one")
            vm.close(session)
            received = await read_all(reader)
            assert received.startswith(b"READY I -\r\nROW one\r\n")

    async def test_statement_behind_the_connect_line_is_relayed(self):
        """Guards against a statement that is dropped while a relay is sought."""
        answers = (b"READY I -\r\n", b"COMPLETE a\r\nREADY I -\r\n")
        async with run_vm() as vm, run_holder("a", *answers) as holder:
            data = CONNECT + b"QUERY 1 READ x\r\n"
            reader, _, session = await vm.connect(data)
            vm.callers.relay(RelayCaller(session=session, holders=(holder,)))
            for expected in (b"READY I -\r\n", b"COMPLETE a\r\n"):
                assert await asyncio.wait_for(reader.readline(), 2) == expected

    async def test_session_ends_after_the_last_statement_that_was_read(self):
        """Guards against a close that drops statements sent in one packet."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            writer.write(b"QUERY 1 READ x\r\nQUERY 2 READ y\r\n")
            await vm.wait_for_statements(1)
            await asyncio.sleep(0.05)
            vm.reply(session, "one")
            vm.close(session)
            await vm.wait_for_statements(2)
            vm.reply(session, "two")
            vm.close(session)
            received = await read_all(reader)
            assert received.count(b"COMPLETE") == 2
            assert b"ROW one" in received and b"ROW two" in received

    async def test_release_waits_for_the_answer_before_it(self):
        """Guards against an answer that is dropped as the caller leaves after it."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            writer.write(b"QUERY 1 READ x\r\nRELEASE\r\n")
            await vm.wait_for_statements(1)
            await asyncio.sleep(0.05)
            vm.reply(session, "one")
            assert b"ROW one" in await read_all(reader)

    async def test_packet_of_statements_that_are_answered_at_once(self):
        """Guards against a close before all lines of a packet were handled."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)

            def answer_and_close(event):
                vm.reply(session)
                vm.close(session)

            vm.on_statement = answer_and_close
            writer.write(b"QUERY 1 SET a 1\r\n" * 5)
            assert (await read_all(reader)).count(b"COMPLETE") == 5

    async def test_rejected_line_does_not_overtake_an_answer(self):
        """Guards against a running statement without an answer behind a bad line."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            writer.write(b"QUERY 1 READ x\r\n" * 70)
            await vm.wait_for_statements(1)
            await asyncio.sleep(0.05)
            vm.on_statement = lambda event: vm.reply(session, "row")
            vm.reply(session, "row")
            received = await read_all(reader)
            assert received.count(b"COMPLETE") == 65
            assert received.endswith(b"ERROR MALFORMED too_many_statements_ahead\r\n")


class TestEnds:
    async def test_answer_outlasts_a_close_with_unread_bytes(self):
        """Guards against a reset that takes the last answer with it."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            descriptor = writer.get_extra_info("socket").fileno()

            def answer_and_close(event):
                os.write(descriptor, b"QUERY 2 READ y\r\n")
                vm.reply(session, *LARGE_ROWS)
                vm.callers.close(CloseCaller(session=session, unanswered=True))

            vm.on_statement = answer_and_close
            writer.write(b"QUERY 1 READ x\r\n")
            received = await read_all(reader)
            assert received.count(b"ROW") == len(LARGE_ROWS)
            assert received.endswith(b"COMPLETE -\r\nREADY I -\r\n")
            assert len(vm.statements) == 1

    async def test_statement_that_arrives_with_the_answer_is_answered(self):
        """Guards against a close that drops what waits in the socket."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            descriptor = writer.get_extra_info("socket").fileno()

            def answer_and_close(event):
                if len(vm.statements) == 1:
                    os.write(descriptor, b"QUERY 2 READ y\r\n")
                vm.reply(session, "one")
                vm.close(session)

            vm.on_statement = answer_and_close
            writer.write(b"QUERY 1 READ x\r\n")
            assert (await read_all(reader)).count(b"COMPLETE") == 2

    async def test_failed_event_ends_the_connection(self):
        """Guards against a caller that waits though its statement failed to be read."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            writer.write(b"QUERY 1 READ x\r\n")
            await vm.wait_for_statements(1)
            vm.callers.close(CloseCaller(session=session, unanswered=True))
            assert await read_all(reader) == READY

    async def test_refusal_outlasts_unread_bytes(self):
        """Guards against a refused caller that sees only a reset."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            descriptor = writer.get_extra_info("socket").fileno()
            os.write(descriptor, b"QUERY 1 READ x\r\n")
            refusal = Refusal.OVERLOAD
            effect = RefuseCaller(session=session, refusal=refusal, detail="shutdown")
            vm.callers.refuse(effect)
            assert await read_all(reader) == b"ERROR OVERLOAD shutdown\r\n"

    async def test_process_ends_after_a_slow_caller_has_its_answer(self):
        """Guards against an answer that is lost as the process ends."""
        async with run_vm() as vm:
            reader, writer, session = await vm.connect(CONNECT)
            vm.accept(session)
            writer.write(b"QUERY 1 READ x\r\n")
            await vm.wait_for_statements(1)
            rows = LARGE_ROWS * 8
            vm.reply(session, *rows)
            reading = asyncio.create_task(read_all(reader))
            await vm.callers.stop()
            for connection in list(vm.callers.open):
                connection.transport.abort()
            assert (await reading).count(b"ROW") == len(rows)

    async def test_caller_that_connects_at_the_end_is_refused(self):
        """Guards against a first line that is read as the process ends."""
        async with run_vm() as vm:
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.port)
            await asyncio.sleep(0.05)
            vm.callers.refuse_callers()
            writer.write(CONNECT)
            assert await read_all(reader) == b"ERROR OVERLOAD shutdown\r\n"


class TestRelays:
    async def relay(self, vm, holder, *lines: bytes):
        """Relay a caller that sends some lines after it was accepted."""
        reader, writer, session = await vm.connect(CONNECT)
        vm.callers.relay(RelayCaller(session=session, holders=(holder,)))
        assert await asyncio.wait_for(reader.readline(), 2) == READY
        writer.write(b"".join(lines))
        await asyncio.sleep(0.05)
        return reader, writer

    async def close_relays(self, vm, closing: RelayClosing) -> None:
        """Carry out a step of a shutdown."""
        vm.callers.close_relays(CloseRelays(closing=closing))

    @pytest.mark.parametrize(
        "line, code",
        [
            (b"QUERY 1 READ x\r\n", b"OVERLOAD"),
            (b"QUERY 1 WRITE x 1\r\n", b"INDOUBT"),
            (b"QUERY 1 EXECUTE s1 x\r\n", b"INDOUBT"),
        ],
    )
    async def test_statement_at_the_holder_is_answered_at_the_end(self, line, code):
        """Guards against a relayed statement that is cut off as its VM ends."""
        async with run_vm() as vm, run_holder("a", READY, None) as holder:
            reader, _ = await self.relay(vm, holder, line)
            await self.close_relays(vm, RelayClosing.IDLE)
            await asyncio.sleep(0.05)
            assert not reader.at_eof()
            await self.close_relays(vm, RelayClosing.ALL)
            answer = b"ERROR " + code + b" relay ended\r\n" + READY
            assert await read_all(reader) == answer

    async def test_statement_of_a_lost_holder_is_answered(self):
        """Guards against a connection that ends silently as its holder is lost."""
        async with run_vm() as vm, run_holder("a", READY) as holder:
            reader, writer = await self.relay(vm, holder)
            (connection,) = vm.callers.connections.values()
            writer.write(b"QUERY 1 READ x\r\nQUERY 2 WRITE x 1\r\n")
            await asyncio.sleep(0.05)
            connection.relay_connection.transport.abort()
            received = await read_all(reader)
            assert received.count(b"ERROR OVERLOAD") == 1
            assert received.count(b"ERROR INDOUBT") == 1

    async def test_rest_of_an_answer_is_completed(self):
        """Guards against a second result for an answer that was cut off."""
        answers = (READY, b"ROW one\r\nCOMPLETE a\r\n")
        async with run_vm() as vm, run_holder("a", *answers) as holder:
            reader, _ = await self.relay(vm, holder, b"QUERY 1 READ x\r\n")
            await self.close_relays(vm, RelayClosing.ALL)
            assert await read_all(reader) == answers[1] + READY

    async def test_refused_connection_gets_no_further_line(self):
        """Guards against an answer to nothing behind a holder's refusal."""
        refusal = b"ERROR NODB orders\r\n"
        async with run_vm() as vm, run_holder("a", refusal) as holder:
            reader, _, session = await vm.connect(CONNECT)
            vm.callers.relay(RelayCaller(session=session, holders=(holder,)))
            assert await asyncio.wait_for(reader.readline(), 2) == refusal
            (connection,) = vm.callers.connections.values()
            connection.relay_connection.transport.abort()
            assert await read_all(reader) == b""

    async def test_idle_transaction_is_aborted_with_the_next_statement(self):
        """Guards against a transaction whose COMMIT is cut off as its VM ends."""
        answers = (READY, b"COMPLETE -\r\nREADY T -\r\n")
        async with run_vm() as vm, run_holder("a", *answers) as holder:
            reader, writer = await self.relay(vm, holder, b"QUERY 1 BEGIN\r\n")
            await self.close_relays(vm, RelayClosing.TRANSACTIONS)
            await asyncio.sleep(0.05)
            writer.write(b"QUERY 2 COMMIT\r\n")
            received = await read_all(reader)
            assert received == answers[1] + b"ERROR ABORTED relay ended\r\n" + READY

    async def test_caller_whose_holder_is_sought_is_refused_at_the_end(self):
        """Guards against a caller without an answer as its VM ends."""
        async with run_vm() as vm, run_holder("a", None) as holder:
            reader, writer, session = await vm.connect(CONNECT)
            vm.callers.relay(RelayCaller(session=session, holders=(holder,)))
            await asyncio.sleep(0.05)
            await self.close_relays(vm, RelayClosing.ALL)
            assert await read_all(reader) == b"ERROR OVERLOAD shutdown\r\n"

    @pytest.mark.parametrize("wait", [0.0, 0.05])
    async def test_line_that_is_rejected_while_a_holder_is_sought(self, wait):
        """Guards against a caller that waits for a rejection that never comes."""
        async with run_vm() as vm, run_holder("a", None) as holder:
            reader, writer, session = await vm.connect(CONNECT)
            vm.callers.relay(RelayCaller(session=session, holders=(holder,)))
            (connection,) = vm.callers.connections.values()
            await asyncio.sleep(wait)
            connection.handle_overflow()
            rejection = b"ERROR MALFORMED line_too_long\r\n"
            assert (await read_all(reader)).endswith(rejection)

    async def test_rest_of_an_answer_in_a_transaction_reports_its_failure(self):
        """Guards against a transaction that is reported as ended while rolled back."""
        answers = (READY, b"COMPLETE -\r\nREADY T -\r\n", b"COMPLETE a\r\n")
        lines = (b"QUERY 1 BEGIN\r\n", b"QUERY 2 WRITE x 1\r\n")
        async with run_vm() as vm, run_holder("a", *answers) as holder:
            reader, _ = await self.relay(vm, holder, *lines)
            await self.close_relays(vm, RelayClosing.ALL)
            received = await read_all(reader)
            assert received == answers[1] + answers[2] + b"READY E -\r\n"

    @pytest.mark.parametrize("text", ["COMMIT", "ROLLBACK"])
    async def test_write_behind_a_partly_answered_end_is_in_doubt(self, text):
        """Guards against "aborted" for a single write behind a transaction."""
        answers = (READY, b"COMPLETE -\r\nREADY T -\r\n", b"COMPLETE a\r\n", None)
        lines = (f"QUERY 2 {text}\r\n".encode(), b"QUERY 3 WRITE x 1\r\n")
        async with run_vm() as vm, run_holder("a", *answers) as holder:
            reader, _ = await self.relay(vm, holder, b"QUERY 1 BEGIN\r\n", *lines)
            await self.close_relays(vm, RelayClosing.ALL)
            assert b"ERROR INDOUBT" in await read_all(reader)

    async def test_statement_that_crosses_the_close_is_answered(self):
        """Guards against a statement that is dropped once its relay is closing."""
        async with run_vm() as vm, run_holder("a", READY) as holder:
            reader, writer = await self.relay(vm, holder)
            (connection,) = vm.callers.connections.values()
            connection.relay_connection.close()
            connection.handle_line(b"QUERY 1 WRITE x 1")
            answer = b"ERROR OVERLOAD relay ended\r\n" + READY
            assert await read_all(reader) == answer


def find_relay_answers(state: TransactionState, *texts: str) -> list[Refusal]:
    """Return the answers to statements; those after an empty text did not get far."""
    relayed = []
    forwarded = True
    for text in texts:
        if not text:
            forwarded = False
            continue
        statement = WireCodec().parse_caller_line(f"QUERY 1 {text}".encode())
        relayed.append(RelayedStatement(statement=statement, forwarded=forwarded))
    return choose_relay_answers(relayed, state)


class TestRelayAnswers:
    def test_only_a_commit_makes_a_transaction_uncertain(self):
        """Guards against "not run" for what a holder may have committed."""
        found = find_relay_answers(TransactionState.OPEN, "WRITE x 1", "COMMIT")
        assert found == [Refusal.IN_DOUBT, Refusal.IN_DOUBT]
        found = find_relay_answers(TransactionState.OPEN, "WRITE x 1", "", "COMMIT")
        assert found == [Refusal.ABORTED, Refusal.ABORTED]

    def test_write_behind_a_begin_that_may_have_been_refused_is_in_doubt(self):
        """Guards against "aborted" for a write that may have run on its own."""
        found = find_relay_answers(TransactionState.NONE, "BEGIN", "WRITE x 1")
        assert found == [Refusal.OVERLOAD, Refusal.IN_DOUBT]

    def test_statements_after_a_transaction_stand_alone(self):
        """Guards against an aborted transaction that had ended before."""
        texts = ("ROLLBACK", "READ x", "WRITE x 1", "", "WRITE x 2")
        found = find_relay_answers(TransactionState.OPEN, *texts)
        assert found == [
            Refusal.ABORTED,
            Refusal.OVERLOAD,
            Refusal.IN_DOUBT,
            Refusal.OVERLOAD,
        ]
