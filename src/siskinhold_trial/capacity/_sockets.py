"""Real sockets on loopback: the adapters' cost, without the other side's.

The other side runs in a child process, so that processor time and memory of
this process are those of the adapter and of the event loop under it.
"""

import asyncio
import contextlib
import hashlib
import multiprocessing
import os
import socket
import time
from collections.abc import Callable

import pymysql
import uvloop

from siskinhold import effects, events
from siskinhold.adapters import CallerLimits, MysqlBackends, MysqlCallers, NngPeers
from siskinhold.messages import Heartbeat
from siskinhold.model import BackendServer, Column, Done, RequestId
from siskinhold.tokens import TokenCodec
from siskinhold_trial.database import Costs, TrialDatabase

from ._samples import make_view, wrap
from ._series import Series

CONNECTION_COUNTS = (100, 1_000, 3_000)
STATEMENT_COUNTS = (500, 1_000, 2_000)
BACKEND_COUNTS = (50, 200, 600)
MESSAGE_COUNTS = (2_000, 5_000, 10_000)
LINK_COUNTS = (10, 50, 200)
PASSWORD = "alder"
USERS = {"mill": hashlib.sha1(hashlib.sha1(PASSWORD.encode()).digest()).hexdigest()}
READ = "SELECT v FROM m WHERE id = 1"
WRITE = "UPDATE m SET v = 'b' WHERE id = 1"
REQUEST = RequestId("vm-1", 1, 1)
TIMEOUT = 60.0
"""Seconds after which a child that does not answer counts as failed."""

_SPAWN = multiprocessing.get_context("spawn")


def measure_callers(
    connections: tuple[int, ...] = CONNECTION_COUNTS,
    statements: tuple[int, ...] = STATEMENT_COUNTS,
) -> list[Series]:
    """Measure the callers' adapter: idle connections, connecting, statements."""
    return uvloop.run(_measure_callers(connections, statements))


def measure_backends(
    statements: tuple[int, ...] = STATEMENT_COUNTS,
    connections: tuple[int, ...] = BACKEND_COUNTS,
) -> list[Series]:
    """Measure the backends' adapter: reads, writes, status queries, memory."""
    return uvloop.run(_measure_backends(statements, connections))


def measure_peers(
    messages: tuple[int, ...] = MESSAGE_COUNTS, links: tuple[int, ...] = LINK_COUNTS
) -> list[Series]:
    """Measure the link between VMs; both ends are in this process."""
    return uvloop.run(_measure_peers(messages, links))


def read_resident() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def hold_callers(pipe, port: int) -> None:
    """Open connections and run statements as the pipe asks, until it closes."""
    held: list[pymysql.Connection] = []
    with contextlib.suppress(EOFError):
        while True:
            order, count = pipe.recv()
            if order == "open":
                for _ in range(count):
                    held.append(
                        pymysql.connect(
                            host="127.0.0.1",
                            port=port,
                            user="mill",
                            password=PASSWORD,
                            database="db",
                            ssl_disabled=True,
                        )
                    )
            else:
                for number in range(count):
                    held[number % len(held)].query(READ)
            pipe.send(count)


def serve_database(pipe) -> None:
    """Serve a database without artificial costs until the pipe closes."""
    uvloop.run(_serve_database(pipe))


async def _serve_database(pipe) -> None:
    costs = Costs(slots=64, connections=1_000, connection_cost=0.0, service_time=0.0)
    database = TrialDatabase(costs=costs)
    await database.start()
    pipe.send([instance.port for instance in database.instances])
    with contextlib.suppress(EOFError):
        await asyncio.to_thread(pipe.recv)
    await database.stop()


class _Child:
    """A child process at the other end of a pipe."""

    def __init__(self, target: Callable, *arguments: object) -> None:
        self._pipe, other = _SPAWN.Pipe()
        self._process = _SPAWN.Process(
            target=target, args=(other, *arguments), daemon=True
        )
        self._process.start()
        other.close()

    async def ask(self, *order: object) -> None:
        """Send an order and wait until it is carried out."""
        self._pipe.send(order)
        await self.receive()

    async def receive(self):
        """Return what the child sends."""

        def wait():
            if not self._pipe.poll(TIMEOUT):
                raise TimeoutError("the child process does not answer")
            return self._pipe.recv()

        return await asyncio.to_thread(wait)

    def stop(self) -> None:
        """Close the pipe and wait for the child's end."""
        self._pipe.close()
        self._process.join(5)
        if self._process.is_alive():
            self._process.terminate()
            self._process.join()


async def _measure_callers(connections, statements) -> list[Series]:
    callers = MysqlCallers(
        host="127.0.0.1",
        port=0,
        users=USERS,
        tokens=TokenCodec(keys=(b"k" * 16,)),
        limits=CallerLimits(max_sessions=20_000),
    )
    done = Done(columns=(Column("id"), Column("name")), rows=((b"1", b"a text"),))

    def emit(event: object) -> None:
        if isinstance(event, events.StatementReceived):
            reply = effects.ReplyCaller(
                session=event.session, request=REQUEST, outcome=done, positions={}
            )
            callers.reply(reply)

    await callers.start(emit)
    child = _Child(hold_callers, callers.port)
    memory = []
    opening = []
    running = []
    try:
        await child.ask("open", 10)
        await child.ask("run", 100)
        base = read_resident()
        opened = 0
        for count in connections:
            cpu = time.process_time()
            await child.ask("open", count - opened)
            spent = (time.process_time() - cpu) / max(count - opened, 1)
            opened = count
            memory.append((count, read_resident() - base))
            opening.append((count, spent * 1e6))
        for count in statements:
            cpu = time.process_time()
            await child.ask("run", count)
            running.append((count, (time.process_time() - cpu) * 1e6))
    finally:
        child.stop()
        await callers.stop()
    return [
        _series("callers", "resident memory", "connections", "B", memory),
        _series("callers", "time to accept one", "connections", "us", opening),
        _series("callers", "time of all statements", "statements", "us", running),
    ]


class _Backends:
    """The backends' adapter and the answers it gives."""

    def __init__(self) -> None:
        self._adapter = MysqlBackends(user="siskinhold")
        self._answers: asyncio.Queue = asyncio.Queue()

    async def start(self) -> None:
        await self._adapter.start(self._answers.put_nowait)

    async def stop(self) -> None:
        await self._adapter.stop()

    async def perform(self, effect: object) -> object:
        """Carry out an effect and return its event."""
        self._adapter.perform(effect)
        event = await asyncio.wait_for(self._answers.get(), 5)
        if isinstance(event, events.BackendLost | events.BackendClosed):
            raise RuntimeError(f"connection lost: {event}")
        return event

    async def measure(self, effect: object, counts: tuple[int, ...]) -> list:
        """Return the processor time in us of each number of repetitions."""
        points = []
        await self.perform(effect)
        for count in counts:
            cpu = time.process_time()
            for _ in range(count):
                await self.perform(effect)
            points.append((count, (time.process_time() - cpu) * 1e6))
        return points


async def _measure_backends(statements, connections) -> list[Series]:
    child = _Child(serve_database)
    backends = _Backends()
    found = []
    try:
        ports = await child.receive()
        await backends.start()
        memory = await _measure_backend_memory(backends, ports[1], connections)
        await _open_backend(backends, 1, ports[0])
        await backends.perform(
            _statement("CREATE TABLE m (id INT PRIMARY KEY, v TEXT)")
        )
        await backends.perform(_statement("INSERT INTO m VALUES (1, 'a')"))
        status = effects.QueryStatus(server=_server(ports[0]), call=1)
        for name, effect in (
            ("time of all reads", _statement(READ)),
            ("time of all writes", _statement(WRITE, want_position=True)),
            ("time of all status queries", status),
        ):
            points = await backends.measure(effect, statements)
            found.append(_series("backends", name, "repetitions", "us", points))
        found.append(_series("backends", "resident memory", "connections", "B", memory))
        sizes = await _measure_wire_bytes(ports[0])
        found.append(_series("backends", "bytes of status queries", *sizes))
    finally:
        await backends.stop()
        child.stop()
    return found


async def _measure_backend_memory(backends, port: int, counts) -> list:
    await _open_backend(backends, 1_000, port)
    base = read_resident()
    opened = 0
    points = []
    for count in counts:
        while opened < count:
            opened += 1
            await _open_backend(backends, 1_000 + opened, port)
        points.append((count, read_resident() - base))
    return points


async def _measure_wire_bytes(port: int) -> tuple:
    """Return the bytes of status queries through a relay that counts them."""
    total = [0]
    tasks = []

    async def pass_on(reader, writer) -> None:
        while data := await reader.read(65_536):
            total[0] += len(data)
            writer.write(data)
        writer.close()

    async def relay(reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        tasks.append(asyncio.create_task(pass_on(far_reader, writer)))
        await pass_on(reader, far_writer)

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    backends = _Backends()
    await backends.start()
    points = []
    query = effects.QueryStatus(
        server=_server(server.sockets[0].getsockname()[1]), call=1
    )
    await backends.perform(query)
    total[0] = 0
    done = 0
    for count in (10, 20, 40):
        while done < count:
            await backends.perform(query)
            done += 1
        points.append((count, total[0]))
    await backends.stop()
    server.close()
    await asyncio.gather(*tasks, return_exceptions=True)
    return "queries", "B", points


async def _open_backend(backends: _Backends, number: int, port: int) -> None:
    server = _server(port)
    opened = effects.OpenBackend(connection=number, server=server, database="trial")
    await backends.perform(opened)


def _server(port: int) -> BackendServer:
    return BackendServer(
        name=f"s{port}",
        host="127.0.0.1",
        port=port,
        region="r",
        availability_zone="z",
        connections=1_000,
    )


def _statement(sql: str, **options: object) -> effects.RunStatement:
    return effects.RunStatement(connection=1, request=REQUEST, sql=sql, **options)


async def _measure_peers(messages, links) -> list[Series]:
    ports = [_find_port(), _find_port()]
    received = [0]
    one = NngPeers(vm="a", host="127.0.0.1", port=ports[0], fleet_key=b"k" * 32)
    other = NngPeers(vm="b", host="127.0.0.1", port=ports[1], fleet_key=b"k" * 32)
    envelope = wrap("a", Heartbeat(views=tuple(make_view(n) for n in range(4))))

    def count_one(event: object) -> None:
        received[0] += 1

    await one.start(lambda event: None)
    await other.start(count_one)
    try:
        one.learn("b", "127.0.0.1", ports[1])
        await _exchange(one, envelope, received, ["b"] * 10)
        times = []
        for count in messages:
            cpu = time.process_time()
            await _exchange(one, envelope, received, ["b"] * count)
            times.append((count, (time.process_time() - cpu) * 1e6))
        memory = []
        base = read_resident()
        opened = 0
        for count in links:
            names = [f"b{number}" for number in range(opened, count)]
            for name in names:
                one.learn(name, "127.0.0.1", ports[1])
            await _exchange(one, envelope, received, names)
            opened = count
            memory.append((count, read_resident() - base))
    finally:
        await one.stop()
        await other.stop()
    return [
        _series("peers", "time of all messages, both ends", "messages", "us", times),
        _series("peers", "resident memory, both ends", "links", "B", memory),
    ]


async def _exchange(peers: NngPeers, envelope, received: list, names: list) -> None:
    """Send to all names, 100 at a time, and wait until all has arrived."""
    for first in range(0, len(names), 100):
        part = names[first : first + 100]
        wanted = received[0] + len(part)
        for name in part:
            peers.send(name, envelope)
        async with asyncio.timeout(TIMEOUT):
            while received[0] < wanted:
                await asyncio.sleep(0.0005)


def _find_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


def _series(measure: str, name: str, size: str, unit: str, points: list) -> Series:
    return Series(measure=measure, name=name, size=size, unit=unit, points=points)
