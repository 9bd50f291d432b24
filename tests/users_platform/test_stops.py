"""Tests with processes that are stopped while callers send statements."""

import asyncio
import contextlib
import functools
import signal

import yaml

from .standins import ROUTES, Client, make_configuration, spawn_vm
from .test_service import Vm, run_deployment
from .traffic import GRACE, Sent, Session, Traffic

WARM_UP = 0.3
"""Seconds from the first callers to SIGTERM."""

SERVICE_TIMES = (0.6, 0.3, 0.05)
"""Seconds that statements take at the primary and at the two replicas."""

DOCUMENT_ROWS = 200
"""Rows of a large answer."""

DOCUMENT_ROW = "x" * 100_000
"""One row of it."""


@contextlib.asynccontextmanager
async def run_vms(path, *, timeout: float = 1.5, max_connections: int = 34):
    """Run two VMs and servers that are slow; yield the deployment and the VMs.

    Args:
        path: directory for their files.
        timeout: seconds that a statement may take.
        max_connections: connection limit of the servers.
    """
    path.mkdir(exist_ok=True)
    configuration = make_configuration(2, ROUTES)
    configuration["services"][0]["max_connections"] = max_connections
    for route in configuration["routes"]:
        route["timeout_ms"] = route["target_latency_ms"] = round(timeout * 1000)
    async with run_deployment(path, vms=2) as (deployment, vms):
        for instance, seconds in zip(deployment.instances, SERVICE_TIMES, strict=True):
            instance.service_time = seconds
        deployment.store.put("config", "main", configuration)
        for vm in vms:
            await wait_for_line(vm, "event=configuration_applied version=2")
        yield deployment, vms


@contextlib.asynccontextmanager
async def run_relay(path, *, timeout: float = 1.5):
    """Run two VMs of which one relays its callers; yield it last."""
    options = {"timeout": timeout, "max_connections": 5}
    async with run_vms(path, **options) as (deployment, (holder, relaying)):
        fields = yaml.safe_load(relaying.path.read_text())
        fields["limits"]["cpu_share"] = 0.25
        relaying.output.unlink()
        await relaying.restart(fields)
        await wait_for_line(relaying, "is_holder=False")
        async with asyncio.timeout(5):
            first_line = ""
            while first_line != "READY I -":
                client, first_line = await Client.connect(relaying.ports[0], "views")
                client.close()
        yield deployment, holder, relaying


async def wait_for_line(vm: Vm, text: str) -> None:
    """Wait until a VM has logged a line with a text."""
    async with asyncio.timeout(5):
        while text not in vm.read_output():
            await asyncio.sleep(0.02)


async def stop(vm: Vm) -> float:
    """Send SIGTERM; return the seconds until the process has ended by itself."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    vm.process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(GRACE):
        code = await vm.process.wait()
    assert code == 0
    return loop.time() - began


async def stop_with_callers(deployment, traffic: Traffic, *callers) -> None:
    """Stop a VM while callers use it; check that none lost an answer."""
    tasks = [asyncio.create_task(caller) for caller in callers]
    await asyncio.sleep(WARM_UP)
    await stop(traffic.vm)
    async with asyncio.timeout(GRACE):
        await asyncio.gather(*tasks)
    assert len(traffic.sent) > len(callers)
    assert traffic.list_lost(deployment) == []


async def run_sessions(traffic: Traffic, database: str, use, *ahead: str) -> None:
    """Connect again and again until the VM is gone.

    Args:
        use: coroutine function that uses a session until it is to be closed.
        ahead: statements that are sent with the first line.
    """
    while traffic.running:
        await asyncio.sleep(0.01)
        try:
            session = await Session.connect(traffic, database, *ahead)
        except ConnectionError:
            continue
        await session.pause()
        if session.open:
            await use(session)
        session.close()


async def read_once(session: Session) -> None:
    """Use a session for one read."""
    await session.execute("READ x")


async def read_until_closed(session: Session) -> None:
    """Use a session for reads until it is closed."""
    while session.open:
        await session.execute("READ x")
        await session.pause()


async def send_ahead_until_closed(session: Session) -> None:
    """Use a session for packets of four statements until it is closed."""
    while session.open:
        await session.execute("SET v 1", "READ x", "READ y", "READ z")
        await session.pause()


async def run_transactions(session: Session, pause: float) -> None:
    """Use a session for transactions until it is closed.

    Args:
        pause: seconds between two statements.
    """
    while session.open:
        for text in ("BEGIN", "READ x", "WRITE x 1", "COMMIT"):
            sent = await session.execute(text)
            await session.pause(pause)
            if not session.open or sent.lines[-1].startswith("READY E"):
                break
        if session.open and sent.lines[-1].startswith("READY E"):
            await session.execute("ROLLBACK")
            await session.pause()


async def run_long_statements(deployment, vm: Vm) -> list[str]:
    """Stop a VM while a read, a write and a read in a transaction run.

    Their servers answer after the end of the grace period.

    Returns:
        the error codes of the answers.
    """
    traffic = Traffic(vm=vm)
    sessions = [await Session.connect(traffic, "orders") for _ in range(3)]
    await sessions[2].execute("BEGIN")
    await sessions[2].execute("READ y")
    for instance in deployment.instances:
        instance.service_time = GRACE
    callers = []
    texts = ("READ x", "WRITE x 1", "READ x")
    for session, text in zip(sessions, texts, strict=True):
        callers.append(session.execute(text))
    await stop_with_callers(deployment, traffic, *callers)
    for session in sessions:
        session.close()
    return [sent.lines[0].split(" ")[1] for sent in traffic.sent[-3:]]


class TestCallers:
    async def test_callers_that_return_until_the_end_are_answered(self, tmp_path):
        """Guards against statements that end without an answer as new ones come."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            callers = []
            for database in ROUTES:
                callers.append(run_sessions(traffic, database, read_once))
                callers.append(
                    run_sessions(traffic, database, read_until_closed, "READ y")
                )
            await stop_with_callers(deployment, traffic, *callers)

    async def test_open_connections_are_answered_until_they_are_closed(self, tmp_path):
        """Guards against a connection that is closed before its last answer."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            callers = []
            for database in ROUTES:
                for _ in range(2):
                    session = await Session.connect(traffic, database)
                    callers.append(read_until_closed(session))
            # Callers that ignore the end must not delay it beyond the grace period.
            idle = [await Session.connect(traffic, "orders") for _ in range(3)]
            await stop_with_callers(deployment, traffic, *callers)
            for session in idle:
                session.close()

    async def test_transactions_are_answered(self, tmp_path):
        """Guards against a transaction whose statement or commit gets no answer."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            callers = []
            for pause in (0.01, 0.2):
                use = functools.partial(run_transactions, pause=pause)
                for database in ("orders", "crew"):
                    callers.append(run_sessions(traffic, database, use))
            await stop_with_callers(deployment, traffic, *callers)

    async def test_statements_that_were_sent_ahead_are_answered(self, tmp_path):
        """Guards against statements that are dropped as an answer ends the session."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            callers = []
            for database in ROUTES:
                session = await Session.connect(traffic, database)
                callers.append(send_ahead_until_closed(session))
            await stop_with_callers(deployment, traffic, *callers)


class TestStart:
    async def test_statement_sent_ahead_of_acceptance_is_answered(self, tmp_path):
        """Guards against a statement that is dropped as its caller still waits."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            deployment.store.down = True
            vm.process.kill()
            await vm.process.wait()
            vm.output.unlink()
            vm.process = await spawn_vm(vm.path, vm.output)
            await wait_for_line(vm, "event=started")
            traffic = Traffic(vm=vm)
            caller = asyncio.create_task(Session.connect(traffic, "views", "READ x"))
            await asyncio.sleep(0.1)
            vm.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            deployment.store.down = False
            session = await caller
            session.close()
            assert traffic.list_lost(deployment) == []


class TestLargeAnswers:
    async def test_slow_caller_gets_its_answer_whole(self, tmp_path):
        """Guards against a process that ends with a part of an answer unsent."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            session = await self.connect(deployment, traffic)
            stopping = asyncio.create_task(stop(vm))
            await asyncio.sleep(2)
            (sent,) = session.send("READ document")
            await asyncio.sleep(2.4)
            await session.read_slowly(sent, 25_000_000)
            session.close()
            await stopping
            self.check_document(sent)

    async def test_answer_before_a_further_statement_arrives_whole(self, tmp_path):
        """Guards against a reset that destroys an answer that was sent before it."""
        async with run_vms(tmp_path) as (deployment, (vm, _)):
            traffic = Traffic(vm=vm)
            session = await self.connect(deployment, traffic)
            stopping = asyncio.create_task(stop(vm))
            await asyncio.sleep(2)
            (sent,) = session.send("READ document")
            reading = asyncio.create_task(session.read_slowly(sent, 14_000_000))
            await asyncio.sleep(1)
            session.send("READ x")
            await reading
            session.close()
            await stopping
            self.check_document(sent)

    async def connect(self, deployment, traffic: Traffic) -> Session:
        """Store a document of many rows, and connect a caller with a small buffer."""
        for instance in deployment.instances:
            instance.data["document"] = "\r\nROW ".join([DOCUMENT_ROW] * DOCUMENT_ROWS)
        return await Session.connect(traffic, "orders", receive_buffer=16384)

    def check_document(self, sent: Sent) -> None:
        """Check that an answer has all rows and its last two lines."""
        assert len(sent.lines) >= DOCUMENT_ROWS + 2
        assert sent.lines[:DOCUMENT_ROWS] == [f"ROW {DOCUMENT_ROW}"] * DOCUMENT_ROWS
        assert sent.lines[DOCUMENT_ROWS].startswith("COMPLETE ")
        assert sent.lines[DOCUMENT_ROWS + 1].startswith("READY ")


class TestLongStatements:
    async def test_statements_that_outlast_the_stop_are_answered(self, tmp_path):
        """Guards against a statement that is cut as its server works for too long."""
        both = (self.stop_vm(tmp_path / "a"), self.stop_relaying_vm(tmp_path / "b"))
        codes, relayed_codes = await asyncio.gather(*both)
        assert codes == ["TIMEOUT", "INDOUBT", "ABORTED"]
        assert relayed_codes == ["OVERLOAD", "INDOUBT", "ABORTED"]

    async def stop_vm(self, path) -> list[str]:
        """Stop a VM that has connections to the servers."""
        async with run_vms(path, timeout=9) as (deployment, (vm, _)):
            return await run_long_statements(deployment, vm)

    async def stop_relaying_vm(self, path) -> list[str]:
        """Stop a VM that relays its callers."""
        async with run_relay(path, timeout=9) as (deployment, _, relaying):
            return await run_long_statements(deployment, relaying)


class TestRelays:
    async def test_statement_sent_ahead_of_the_relay_is_answered(self, tmp_path):
        """Guards against a statement that is dropped as no holder is found yet."""
        async with run_relay(tmp_path) as (deployment, _, relaying):
            traffic = Traffic(vm=relaying)
            caller = asyncio.create_task(Session.connect(traffic, "views", "READ x"))
            done, _ = await asyncio.wait([caller], timeout=2)
            relaying.process.kill()
            await caller
            assert done
            assert traffic.list_lost(deployment) == []

    async def test_relaying_vm_forwards_all_answers(self, tmp_path):
        """Guards against a relay that is cut while its holder works."""
        async with run_relay(tmp_path) as (deployment, _, relaying):
            traffic = Traffic(vm=relaying)
            await stop_with_callers(deployment, traffic, *self.make_callers(traffic))
            assert "event=shutdown_requested sessions=0" in relaying.read_output()

    async def test_stopped_holder_answers_all_relayed_statements(self, tmp_path):
        """Guards against callers of another VM that get no answer."""
        async with run_relay(tmp_path) as (deployment, holder, relaying):
            traffic = Traffic(vm=relaying)
            callers = self.make_callers(traffic)
            tasks = [asyncio.create_task(caller) for caller in callers]
            await asyncio.sleep(WARM_UP)
            await stop(holder)
            relaying.process.kill()
            killed_at = traffic.clock()
            await asyncio.gather(*tasks)
            # What this test itself cuts off does not count.
            kept = [s for s in traffic.sent if s.ended_at < killed_at]
            assert len(kept) > len(callers)
            traffic.sent = kept
            assert traffic.list_lost(deployment) == []

    def make_callers(self, traffic: Traffic) -> list:
        """Return callers of each kind."""
        use = functools.partial(run_transactions, pause=0.2)
        callers = [run_sessions(traffic, "orders", use)]
        for database in ("orders", "views"):
            callers.append(run_sessions(traffic, database, read_until_closed))
            for _ in range(2):
                callers.append(run_sessions(traffic, database, read_once))
        return callers
