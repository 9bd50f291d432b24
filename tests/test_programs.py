"""The programs as processes: invalid input, and processes that stop or crash."""

import asyncio
import functools
import signal
import socket
import sys

import pymysql
import pytest
import pytest_asyncio

from siskinhold_trial.processes import LocalDeployment, Processes

pytestmark = pytest.mark.asyncio(loop_scope="module")

PROXY = "siskinhold.programs.proxy"
DATABASE = "orders"
ZONES = ("leinster-a", "leinster-b", "munster-a")
VMS = ONE, TWO, REMOTE = tuple(f"vm-{zone}" for zone in ZONES)

SIGNAL_AFTER_LISTENING = """
import os, signal, sys
from siskinhold.adapters import MysqlCallers
from siskinhold.programs import proxy

start = MysqlCallers.start

async def start_and_signal(callers, emit):
    await start(callers, emit)
    os.kill(os.getpid(), signal.SIGTERM)

MysqlCallers.start = start_and_signal
proxy.main([sys.argv[1]])
"""


@pytest_asyncio.fixture(loop_scope="module", scope="module")
async def fleet(tmp_path_factory):
    """Three VMs, a store and a database, each in its own process."""
    folder = tmp_path_factory.mktemp("fleet")
    processes = Processes(folder=folder)
    deployment = LocalDeployment(folder=folder, processes=processes)
    try:
        await deployment.start_store()
        deployment.add_vms(ZONES)
        for name in VMS:
            deployment.start_vm(name)
        await deployment.start_database(DATABASE)
        for name in VMS:
            await deployment.wait_for_vm(name)
        path = deployment.write_ticket(1, "test")
        code, output, errors = await deployment.run_ticket("apply", path, "--wait=10")
        assert code == 0, output + errors
        client = await deployment.connect(ONE, DATABASE)
        await run(client, "CREATE TABLE t (v INT)")
        client.close()
        yield deployment
    finally:
        processes.end()


async def run(client, sql):
    async with client.cursor() as cursor:
        await cursor.execute(sql)
        return [row[0] for row in await cursor.fetchall()]


async def run_failing(client, sql):
    with pytest.raises(pymysql.err.MySQLError) as caught:
        await run(client, sql)
    return caught.value.args


async def read_owner(fleet, through=ONE):
    status = await fleet.read_status(through)
    return status.databases[0].owners["leinster"]


async def wait_until(condition, seconds=10.0):
    async with asyncio.timeout(seconds):
        while not await condition():
            await asyncio.sleep(0.05)


@pytest.fixture
def processes(tmp_path):
    return Processes(folder=tmp_path)


async def run_with_settings(processes, folder, change, code):
    """Run a proxy with changed settings until it exits; return its error output."""
    deployment = LocalDeployment(folder=folder, processes=processes)
    deployment.store_url = "http://127.0.0.1:1"
    deployment.add_vms(("leinster-a",))
    vm = deployment.vms[ONE]
    vm.settings.write_bytes(change(vm.settings.read_text()).encode("latin-1"))
    ended, output, errors = await processes.run(PROXY, vm.settings)
    assert (ended, output) == (code, ""), errors
    return errors.splitlines()


def set_port(text, *, place, port):
    head, _, rest = text.partition(f"[{place}]\nport = ")
    _, _, rest = rest.partition("\n")
    return f"{head}[{place}]\nport = {port}\n{rest}"


class TestStart:
    async def test_all_settings_faults(self, processes, tmp_path):
        """Each fault is one line that names its setting; guards a silent default."""
        lines = await run_with_settings(
            processes,
            tmp_path,
            lambda text: text + "[store]\nurl = http://127.0.0.1:1\n"
            "[callers]\ncolour = red\nmax_sessions = 0\n",
            code=3,
        )
        shown = "\n".join(lines)
        assert all(line.startswith("failure=settings_invalid place=") for line in lines)
        assert "[callers] colour' detail='unknown key" in shown
        assert "[callers] max_sessions' detail='0 is out of range" in shown
        assert "[store]" in shown

    async def test_unreadable_file(self, processes, tmp_path):
        """Undecodable settings give one line; guards against a traceback."""
        (line,) = await run_with_settings(
            processes, tmp_path, lambda text: "\xff\xfe", 3
        )
        assert line.startswith("failure=settings_invalid place=")

    async def test_port_in_use(self, processes, tmp_path):
        """A port in use is named; guards against a VM that runs without the port."""
        places = ("callers", "peers", "operator")
        with socket.create_server(("127.0.0.1", 0)) as taken:
            port = taken.getsockname()[1]

            async def start(place):
                folder = tmp_path / place
                folder.mkdir()
                change = functools.partial(set_port, place=place, port=port)
                return await run_with_settings(processes, folder, change, 4)

            found = await asyncio.gather(*(start(place) for place in places))
        for place, lines in zip(places, found):
            assert lines[-1].startswith(f"failure=address_unusable place='{place}'")
            assert str(port) in lines[-1]

    async def test_unusable_files(self, processes, tmp_path):
        """An invalid certificate is named; guards against running without TLS."""
        wrong = tmp_path / "wrong.pem"
        wrong.write_text("no certificate")
        keys = f"tls_certificate = {wrong}\ntls_key = {wrong}\n[peers]"
        lines = await run_with_settings(
            processes, tmp_path, lambda text: text.replace("[peers]", keys), 5
        )
        assert lines[-1].startswith("failure=file_unusable place='[callers] tls")


class TestSignalDuringTheStart:
    async def test_signal_right_after_listening(self, processes, tmp_path):
        """Guards against a VM that a signal kills while callers can connect."""
        deployment = LocalDeployment(folder=tmp_path, processes=processes)
        deployment.store_url = "http://127.0.0.1:1"
        deployment.add_vms(("leinster-a",))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            SIGNAL_AFTER_LISTENING,
            deployment.vms[ONE].settings,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(20):
            _, errors = await process.communicate()
        assert process.returncode == 0, errors.decode()
        assert "event=shutdown_requested signal=15" in errors.decode()


class TestTickets:
    @pytest.mark.parametrize(
        "old, new, fault",
        [
            ('"number"', "number", "malformed_text"),
            ('"primary": "orders-1"', '"primary": "orders-9"', "unknown_primary"),
        ],
    )
    async def test_bad_ticket(self, fleet, old, new, fault):
        """An invalid ticket is refused with its fault; guards against applying it."""
        path = fleet.write_ticket(2, "bad")
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new, 1))
        code, output, _ = await fleet.run_ticket("apply", path)
        assert code == 3
        assert output.startswith(f"fault={fault} ") and output.count("\n") == 1
        for name in VMS:
            assert (await fleet.read_status(name)).ticket == 1


class TestBadInput:
    async def test_vm_keeps_serving(self, fleet):
        """Invalid input of one caller does not affect another caller.

        Guards against a VM that restarts or disconnects callers on malformed bytes.
        """
        before = await fleet.read_status(ONE)
        other = await fleet.connect(ONE, DATABASE)
        client = await fleet.connect(ONE, DATABASE)
        large = "SELECT '" + "x" * 1_100_000 + "'"
        code, message = (await run_failing(client, large))[:2]
        assert code == 5001 and "statement_too_large" in message
        (token,) = await run(client, "SELECT @siskinhold_token")
        altered = token[:-1] + ("A" if token[-1] != "A" else "B")
        code, message = (
            await run_failing(client, f"SET @siskinhold_token = '{altered}'")
        )[:2]
        assert code == 5003 and "token_invalid" in message
        vm = fleet.vms[ONE]
        for port in (vm.callers, vm.peers, vm.operator):
            for garbage in (b"\xff" * 5_000, b"\0" * 5_000, b"GET / \r\n\r\n" * 9):
                await send_garbage(port, garbage)
        assert await run(other, "SELECT 1") == [1]
        assert await run(client, "SELECT 1") == [1]
        after = await fleet.read_status(ONE)
        assert after.incarnation == before.incarnation
        assert [vm.state.value for vm in after.vms] == ["live"] * len(VMS)
        assert "Traceback" not in vm.process.log.read_text()
        for opened in (client, other):
            opened.close()


async def send_garbage(port, garbage):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(garbage)
        await writer.drain()
        async with asyncio.timeout(0.2):
            await reader.read()
    except (ConnectionError, TimeoutError):
        pass
    finally:
        writer.close()


class TestFaults:
    async def test_owner_paused(self, fleet):
        """A paused owner is replaced, and it acknowledges no lost write afterwards.

        Guards against a VM that continues with an outdated view after its pause.
        """
        owner = await read_owner(fleet)
        other = TWO if owner == ONE else ONE
        through_owner = await fleet.connect(owner, DATABASE)
        through_other = await fleet.connect(other, DATABASE)
        await run(through_owner, "INSERT INTO t VALUES (10)")
        process = fleet.vms[owner].process
        process.signal(signal.SIGSTOP)
        try:
            late = asyncio.create_task(run(through_owner, "INSERT INTO t VALUES (11)"))

            async def write_succeeds():
                try:
                    await run(through_other, "INSERT INTO t VALUES (12)")
                except pymysql.err.MySQLError:
                    return False
                return True

            await wait_until(write_succeeds)
            assert await read_owner(fleet, other) == other
        finally:
            process.signal(signal.SIGCONT)
        await late
        values = await run(through_other, "SELECT v FROM t ORDER BY v")
        assert values.count(11) == 1 and values.count(12) >= 1

        async def owner_is_back():
            return await read_owner(fleet, other) == owner

        await wait_until(owner_is_back)
        assert await run(through_owner, "SELECT COUNT(*) FROM t WHERE v = 12") != [0]
        through_owner.close()
        through_other.close()

    async def test_second_signal(self, fleet):
        """A second signal ends the process at once, without waiting for a caller."""
        client = await fleet.connect(TWO, DATABASE)
        await client.begin()
        await run(client, "INSERT INTO t VALUES (20)")
        process = fleet.vms[TWO].process
        process.signal(signal.SIGTERM)
        await asyncio.sleep(1.5)
        await run(client, "INSERT INTO t VALUES (21)")
        process.signal(signal.SIGTERM)
        assert await process.wait(1.0) == 143
        client.close()
        fleet.start_vm(TWO)
        await fleet.wait_for_vm(TWO)

    async def test_killed_during_a_transaction(self, fleet):
        """The transaction of a killed VM is rolled back and its locks are released.

        Guards against a partly committed transaction and writes that wait for it.
        """

        async def all_are_live():
            views = (await fleet.read_status(ONE)).vms
            return [vm.state.value for vm in views] == ["live"] * len(VMS)

        await wait_until(all_are_live)
        client = await fleet.connect(TWO, DATABASE, autocommit=False)
        await run(client, "INSERT INTO t VALUES (30)")
        fleet.vms[TWO].process.signal(signal.SIGKILL)
        await run_failing(client, "COMMIT")
        other = await fleet.connect(ONE, DATABASE)

        async def write_succeeds():
            try:
                await run(other, "INSERT INTO t VALUES (31)")
            except pymysql.err.MySQLError:
                return False
            return True

        await wait_until(write_succeeds)
        assert await run(other, "SELECT v FROM t WHERE v IN (20, 21, 30)") == []
        other.close()

    async def test_primary_restarts_without_its_log(self, fleet):
        """Guards against rows that are lost on all servers, as such a primary is
        promoted again in its term."""
        client = await fleet.connect(ONE, DATABASE)
        await run(client, "INSERT INTO t VALUES (40)")
        (database,) = (await fleet.read_status(ONE)).databases
        await fleet.set_faults(DATABASE, database.primary, kill="lose", restart=True)

        async def write_succeeds():
            try:
                await run(client, "INSERT INTO t VALUES (41)")
            except pymysql.err.MySQLError:
                return False
            return True

        await wait_until(write_succeeds)
        assert await run(client, "SELECT v FROM t WHERE v = 40") == [40]
        client.close()
