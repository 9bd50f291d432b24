"""The backend adapter on loopback; the database runs in a child process."""

import asyncio
import contextlib
import time
import tracemalloc

import uvloop

from siskinhold import effects, events
from siskinhold.adapters import MysqlBackends
from siskinhold.model import BackendServer, RequestId
from siskinhold_trial.database import InstanceLimits, TrialDatabase

from ._children import ChildProcess
from ._series import Series

STATEMENT_COUNTS = (500, 1_000, 2_000)
CONNECTION_COUNTS = (50, 200, 600)
READ = "SELECT v FROM m WHERE id = 1"
WRITE = "UPDATE m SET v = 'b' WHERE id = 1"
REQUEST = RequestId("vm-1", 1, 1)


def measure_backends(
    statements: tuple[int, ...] = STATEMENT_COUNTS,
    connections: tuple[int, ...] = CONNECTION_COUNTS,
) -> list[Series]:
    """Measure the backend adapter: reads, writes, status queries, memory."""
    return uvloop.run(_measure_backends(statements, connections))


def serve_database(pipe) -> None:
    """Serve a database without simulated delays until the pipe closes."""
    uvloop.run(_serve_database(pipe))


async def _serve_database(pipe) -> None:
    limits = InstanceLimits(
        slots=64, connections=1_000, connect_time=0.0, service_time=0.0
    )
    database = TrialDatabase(limits=limits)
    await database.start()
    pipe.send([instance.port for instance in database.instances])
    with contextlib.suppress(EOFError):
        await asyncio.to_thread(pipe.recv)
    await database.stop()


class _AdapterDriver:
    """The backend adapter with a queue of its events."""

    def __init__(self) -> None:
        self._adapter = MysqlBackends(user="siskinhold")
        self._answers: asyncio.Queue = asyncio.Queue()

    async def start(self) -> None:
        await self._adapter.start(self._answers.put_nowait)

    async def stop(self) -> None:
        await self._adapter.stop()

    async def perform(self, effect: object) -> object:
        """Perform an effect and return the event that results."""
        self._adapter.perform(effect)
        event = await asyncio.wait_for(self._answers.get(), 5)
        if isinstance(event, events.BackendLost | events.BackendClosed):
            raise RuntimeError(f"connection lost: {event}")
        return event

    async def measure(self, effect: object, counts: tuple[int, ...]) -> list:
        """Return (count, processor time in us) for each number of repetitions."""
        points = []
        await self.perform(effect)
        for count in counts:
            cpu = time.process_time()
            for _ in range(count):
                await self.perform(effect)
            points.append((count, (time.process_time() - cpu) * 1e6))
        return points


async def _measure_backends(statements, connections) -> list[Series]:
    child = ChildProcess(serve_database)
    backends = _AdapterDriver()
    found = []
    try:
        ports = await child.receive()
        await backends.start()
        memory = await _measure_backend_memory(backends, ports[1], connections)
        await _open_backend(backends, 1, ports[0])
        await backends.perform(
            _make_statement("CREATE TABLE m (id INT PRIMARY KEY, v TEXT)")
        )
        await backends.perform(_make_statement("INSERT INTO m VALUES (1, 'a')"))
        status = effects.QueryStatus(server=_make_server(ports[0]), call=1)
        for name, effect in (
            ("time of all reads", _make_statement(READ)),
            ("time of all writes", _make_statement(WRITE, want_position=True)),
            ("time of all status queries", status),
        ):
            points = await backends.measure(effect, statements)
            found.append(_series("backends", name, "repetitions", "us", points))
        found.append(
            _series("backends", "memory of Python objects", "connections", "B", memory)
        )
        sizes = await _measure_wire_bytes(ports[0])
        found.append(_series("backends", "bytes of status queries", *sizes))
    finally:
        await backends.stop()
        child.stop()
    return found


async def _measure_backend_memory(backends, port: int, counts) -> list:
    """Return the bytes of Python objects by number of connections.

    Memory that the event loop allocates outside Python is not included.
    """
    await _open_backend(backends, 1_000, port)
    opened = 0
    points = []
    tracemalloc.start()
    base = tracemalloc.get_traced_memory()[0]
    for count in counts:
        while opened < count:
            opened += 1
            await _open_backend(backends, 1_000 + opened, port)
        points.append((count, tracemalloc.get_traced_memory()[0] - base))
    tracemalloc.stop()
    return points


async def _measure_wire_bytes(port: int) -> tuple:
    """Count the bytes of status queries with a relay before the server."""
    total = [0]
    tasks = []

    async def copy_bytes(reader, writer) -> None:
        while data := await reader.read(65_536):
            total[0] += len(data)
            writer.write(data)
        writer.close()

    async def relay(reader, writer) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        tasks.append(asyncio.create_task(copy_bytes(far_reader, writer)))
        await copy_bytes(reader, far_writer)

    server = await asyncio.start_server(relay, "127.0.0.1", 0)
    backends = _AdapterDriver()
    await backends.start()
    points = []
    query = effects.QueryStatus(
        server=_make_server(server.sockets[0].getsockname()[1]), call=1
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


async def _open_backend(backends: _AdapterDriver, number: int, port: int) -> None:
    server = _make_server(port)
    opened = effects.OpenBackend(connection=number, server=server, database="trial")
    await backends.perform(opened)


def _make_server(port: int) -> BackendServer:
    return BackendServer(
        name=f"s{port}",
        host="127.0.0.1",
        port=port,
        region="r",
        availability_zone="z",
        connections=1_000,
    )


def _make_statement(sql: str, **options: object) -> effects.RunStatement:
    return effects.RunStatement(connection=1, request=REQUEST, sql=sql, **options)


def _series(measure: str, name: str, size: str, unit: str, points: list) -> Series:
    return Series(measure=measure, name=name, size=size, unit=unit, points=points)
