"""Tests of the database stand-in: replication, fencing, locks, faults, program."""

import asyncio
import signal
import subprocess
import sys
import time
import urllib.request

import aiohttp
import aiomysql
import pytest
import pytest_asyncio
from pymysql.err import MySQLError

from siskinhold_trial.database import (
    ControlPort,
    Faults,
    InstanceLimits,
    TrialDatabase,
    apply_faults,
)
from siskinhold_trial.processes import find_free_ports

LAG = 0.03


@pytest_asyncio.fixture
async def database():
    limits = InstanceLimits(connect_time=0.0, service_time=0.0, lock_timeout=0.05)
    database = TrialDatabase(limits=limits, lag=LAG)
    await database.start()
    yield database
    await database.stop()


@pytest_asyncio.fixture
async def connect(database):
    opened = []

    async def open_client(index=0):
        client = await aiomysql.connect(
            host="127.0.0.1",
            port=database.instances[index].port,
            user="trial",
            db="trial",
            autocommit=True,
        )
        opened.append(client)
        return client

    yield open_client
    for client in opened:
        client.close()


async def run(client, sql):
    """Run a statement; return its rows or the MySQL error code."""
    async with client.cursor() as cursor:
        try:
            await cursor.execute(sql)
        except MySQLError as error:
            return error.args[0]
        return list(await cursor.fetchall())


async def write(client, value):
    return await run(client, f"INSERT INTO t (v) VALUES ('{value}')")


async def read_values(client):
    rows = await run(client, "SELECT v FROM t ORDER BY id")
    return [row[0] for row in rows]


CREATE = "CREATE TABLE t (id INT AUTO_INCREMENT, v VARCHAR(9), PRIMARY KEY (id))"


async def wait_for_replication():
    await asyncio.sleep(LAG * 2)


async def fail_over(connect, term):
    """Fence and promote instance 1; the old primary is not fenced."""
    client = await connect(1)
    await run(client, f"GROUP FENCE {term}")
    await run(client, f"GROUP PROMOTE {term}")
    return client


class TestReplication:
    async def test_entries_arrive_after_the_lag(self, database, connect):
        """Guards against a replica that applies rows without its lag or never."""
        primary, replica = await connect(0), await connect(1)
        await run(primary, CREATE)
        await wait_for_replication()
        await write(primary, "a")
        assert await read_values(replica) == []
        await wait_for_replication()
        assert await read_values(replica) == ["a"]
        assert (await run(replica, "SHOW GROUP STATUS"))[0][:4] == (1, "replica", 1, 2)

    async def test_isolated_replica_catches_up(self, database, connect):
        """Guards against a gap in the log after an isolation."""
        primary, replica = await connect(0), await connect(1)
        await apply_faults(database.servers[1], Faults(isolated=True))
        await run(primary, CREATE)
        await write(primary, "a")
        await wait_for_replication()
        row = (await run(replica, "SHOW GROUP STATUS"))[0]
        assert row[3] == 0
        assert row[4] >= LAG * 1000
        await apply_faults(database.servers[1], Faults(isolated=False))
        await wait_for_replication()
        assert await read_values(replica) == ["a"]

    async def test_diverged_log_is_truncated(self, database, connect):
        """Guards against a replaced primary that keeps the rows of its diverged log."""
        old = await connect(0)
        await run(old, CREATE)
        await write(old, "kept")
        await wait_for_replication()
        await apply_faults(database.servers[0], Faults(isolated=True))
        await write(old, "lost")
        new = await fail_over(connect, 2)
        await write(new, "new")
        await apply_faults(database.servers[0], Faults(isolated=False))
        port = database.instances[1].port
        await run(old, f"GROUP FOLLOW 2 '127.0.0.1' {port}")
        await wait_for_replication()
        assert await read_values(old) == ["kept", "new"]
        assert await write(old, "x") == 1290

    async def test_lost_memory_is_replicated_again(self, database, connect):
        """Guards against a lowered term or lost rows after a kill with `lose`."""
        primary = await connect(0)
        await run(primary, CREATE)
        await write(primary, "a")
        server = database.servers[1]
        await apply_faults(server, Faults(kill="lose", restart=True))
        await wait_for_replication()
        assert await read_values(await connect(1)) == ["a"]

    async def test_source_of_lower_term_is_ignored(self, database, connect):
        """Guards against a fenced instance that applies entries of an old primary."""
        primary, replica = await connect(0), await connect(1)
        await run(replica, "GROUP FENCE 2")
        await run(primary, CREATE)
        await wait_for_replication()
        assert (await run(replica, "SHOW GROUP STATUS"))[0][3] == 0


class TestFencing:
    async def test_term_rules(self, database, connect):
        """Guards against a lowered term and a promotion without a fence."""
        client = await connect(1)
        assert await run(client, "GROUP PROMOTE 1") == 3100
        assert (await run(client, "GROUP FENCE 3"))[0][:2] == (3, "fenced")
        assert await run(client, "GROUP FENCE 2") == 3100
        assert await run(client, "GROUP PROMOTE 2") == 3100
        assert await run(client, "GROUP PROMOTE 4") == 3100
        port = database.instances[0].port
        assert await run(client, f"GROUP FOLLOW 2 '127.0.0.1' {port}") == 3100
        assert (await run(client, "GROUP PROMOTE 3"))[0][:2] == (3, "primary")

    async def test_running_write_has_no_effect(self, database, connect):
        """Guards against a running write that commits after the fence."""
        client, other = await connect(), await connect()
        await run(client, CREATE)
        sql = "INSERT INTO t (v) SELECT SLEEP(0.03)"
        running = asyncio.create_task(run(client, sql))
        while not database.servers[0].executing:
            await asyncio.sleep(0.001)
        await run(other, "GROUP FENCE 2")
        await run(other, "GROUP PROMOTE 2")
        assert await running == 1290
        assert await read_values(client) == []

    async def test_open_transaction_ends(self, database, connect):
        """Guards against a commit, or a lock still held, in the next term."""
        client, other = await connect(), await connect()
        await run(client, CREATE)
        await run(client, "BEGIN")
        await write(client, "a")
        await run(other, "GROUP FENCE 2")
        await run(other, "GROUP PROMOTE 2")
        assert await write(other, "b") == []
        assert await run(client, "COMMIT") == 1290
        assert await read_values(client) == ["b"]


class TestLocks:
    async def test_writes_wait_and_time_out(self, database, connect):
        """Guards against two transactions that write concurrently."""
        client, other = await connect(), await connect()
        await run(client, CREATE)
        await run(client, "BEGIN")
        await write(client, "a")
        assert await read_values(other) == []
        assert await write(other, "b") == 1205
        waiting = asyncio.create_task(write(other, "c"))
        await asyncio.sleep(0.01)
        await run(client, "COMMIT")
        assert await waiting == []
        assert await read_values(other) == ["a", "c"]

    async def test_slots_bound_running_statements(self, database, connect):
        """Guards against more concurrent statements than slots."""
        server = database.servers[0]
        clients = [await connect() for _ in range(server.limits.slots + 1)]
        loop = asyncio.get_running_loop()
        began = loop.time()
        await asyncio.gather(*(run(c, "SELECT SLEEP(0.03)") for c in clients))
        assert loop.time() - began >= 0.06


class TestControlPort:
    async def test_state_and_faults(self, database, connect):
        """Guards against faults that are not applied to the named instance."""
        control = ControlPort(database=database)
        await control.start()
        url = f"http://127.0.0.1:{control.port}"
        name = database.instances[1].name
        async with aiohttp.ClientSession() as http:
            async with http.get(url) as answer:
                assert len((await answer.json())["instances"]) == 3
            body = {"lag_ms": 5, "service_ms": 2, "kill": "keep"}
            async with http.post(f"{url}/instances/{name}", json=body) as answer:
                state = (await answer.json())["instances"][1]
                assert state["alive"] is False
                assert state["lag_ms"] == 5
            with pytest.raises(MySQLError):
                await connect(1)
            async with http.post(
                f"{url}/instances/{name}", json={"restart": True}
            ) as answer:
                assert (await answer.json())["instances"][1]["alive"] is True
            await connect(1)
            async with http.post(
                f"{url}/instances/{name}", json={"silence": "?"}
            ) as answer:
                assert answer.status == 400
        await control.stop()


class TestProgram:
    def test_starts_and_ends(self):
        """Guards against a program that rejects its arguments."""
        ports = find_free_ports(4)
        command = [sys.executable, "-m", "siskinhold_trial.programs.database"]
        for port in ports[:3]:
            command += ["--port", str(port)]
        command += ["--control-port", str(ports[3]), "--name", "builders"]
        process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
        try:
            assert b"builders-3" in fetch(f"http://127.0.0.1:{ports[3]}/")
        finally:
            process.send_signal(signal.SIGTERM)
            assert process.wait(5) == 0


def fetch(url):
    for _ in range(200):
        try:
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.read()
        except OSError:
            time.sleep(0.02)
    raise AssertionError("the program did not start")
