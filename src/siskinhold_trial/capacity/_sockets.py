"""Costs of the adapters for callers and for other VMs, on loopback.

Callers run in a child process, so that the processor time and memory of this
process are those of the adapter and of its event loop.
"""

import asyncio
import contextlib
import hashlib
import socket
import time

import pymysql
import uvloop

from siskinhold import effects, events
from siskinhold.adapters import CallerLimits, MysqlCallers, NngPeers
from siskinhold.messages import Heartbeat
from siskinhold.model import Column, Done, RequestId
from siskinhold.tokens import TokenCodec

from ._children import TIMEOUT, ChildProcess, read_resident
from ._samples import make_view, wrap
from ._series import Series

CONNECTION_COUNTS = (100, 1_000, 3_000)
STATEMENT_COUNTS = (500, 1_000, 2_000)
MESSAGE_COUNTS = (2_000, 5_000, 10_000)
LINK_COUNTS = (10, 50, 200)
PASSWORD = "alder"
USERS = {"mill": hashlib.sha1(hashlib.sha1(PASSWORD.encode()).digest()).hexdigest()}
READ = "SELECT v FROM m WHERE id = 1"
REQUEST = RequestId("vm-1", 1, 1)


def measure_callers(
    connections: tuple[int, ...] = CONNECTION_COUNTS,
    statements: tuple[int, ...] = STATEMENT_COUNTS,
) -> list[Series]:
    """Measure the caller adapter: idle connections, connecting, statements."""
    return uvloop.run(_measure_callers(connections, statements))


def measure_peers(
    messages: tuple[int, ...] = MESSAGE_COUNTS, links: tuple[int, ...] = LINK_COUNTS
) -> list[Series]:
    """Measure links between VMs; both ends are in this process."""
    return uvloop.run(_measure_peers(messages, links))


def run_callers(pipe, port: int) -> None:
    """Open connections and run statements on command until the pipe closes."""
    connections: list[pymysql.Connection] = []
    with contextlib.suppress(EOFError):
        while True:
            command, count = pipe.recv()
            if command == "open":
                for _ in range(count):
                    connections.append(
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
                    connections[number % len(connections)].query(READ)
            pipe.send(count)


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
    child = ChildProcess(run_callers, callers.port)
    memory = []
    opening = []
    running = []
    try:
        await child.run_command("open", 10)
        await child.run_command("run", 100)
        base = read_resident()
        opened = 0
        for count in connections:
            cpu = time.process_time()
            await child.run_command("open", count - opened)
            spent = (time.process_time() - cpu) / max(count - opened, 1)
            opened = count
            memory.append((count, read_resident() - base))
            opening.append((count, spent * 1e6))
        for count in statements:
            cpu = time.process_time()
            await child.run_command("run", count)
            running.append((count, (time.process_time() - cpu) * 1e6))
    finally:
        child.stop()
        await callers.stop()
    return [
        _series("callers", "resident memory", "connections", "B", memory),
        _series("callers", "time to accept one", "connections", "us", opening),
        _series("callers", "time of all statements", "statements", "us", running),
    ]


async def _measure_peers(messages, links) -> list[Series]:
    ports = [_find_free_port(), _find_free_port()]
    received = [0]
    one = NngPeers(vm="a", host="127.0.0.1", port=ports[0], fleet_keys=(b"k" * 32,))
    other = NngPeers(vm="b", host="127.0.0.1", port=ports[1], fleet_keys=(b"k" * 32,))
    envelope = wrap("a", Heartbeat(views=tuple(make_view(n) for n in range(4))))

    def count_one(event: object) -> None:
        received[0] += 1

    await one.start(lambda event: None)
    await other.start(count_one)
    try:
        one.set_address("b", "127.0.0.1", ports[1])
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
                one.set_address(name, "127.0.0.1", ports[1])
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
    """Send a message to each name, 100 at a time, and wait until all arrived."""
    for first in range(0, len(names), 100):
        part = names[first : first + 100]
        wanted = received[0] + len(part)
        for name in part:
            peers.send(name, envelope)
        async with asyncio.timeout(TIMEOUT):
            while received[0] < wanted:
                await asyncio.sleep(0.0005)


def _find_free_port() -> int:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        return free.getsockname()[1]


def _series(measure: str, name: str, size: str, unit: str, points: list) -> Series:
    return Series(measure=measure, name=name, size=size, unit=unit, points=points)
