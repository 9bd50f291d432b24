"""Measure the time of a statement through the backend adapter.

The simulated database runs in another process, so that the processor time of
this process is that of the adapter. It should run without simulated delays.

Usage: measure_backends.py --port P [--count N]
where P is the primary's port of a running `siskinhold-trial-database`.
"""

import argparse
import asyncio
import time

import uvloop

from siskinhold import effects, events
from siskinhold.adapters import MysqlBackends
from siskinhold.model import BackendServer, RequestId

REQUEST = RequestId("vm-1", 1, 1)


class Meter:
    """Performs effects one after another and prints their mean times.

    Args:
        count: repetitions of each effect.
    """

    def __init__(self, *, count: int) -> None:
        self._count = count
        self._backends = MysqlBackends(user="siskinhold")
        self._answered: asyncio.Future | None = None

    async def start(self) -> None:
        """Start the adapter."""
        await self._backends.start(self._handle_event)

    async def stop(self) -> None:
        """Stop the adapter."""
        await self._backends.stop()

    async def perform(self, effect: object) -> object:
        """Perform an effect and return the event that results."""
        self._answered = asyncio.get_running_loop().create_future()
        self._backends.perform(effect)
        event = await self._answered
        if isinstance(event, events.BackendLost | events.BackendClosed):
            raise RuntimeError(f"connection lost: {event}")
        return event

    async def measure(self, name: str, make: object) -> None:
        """Perform `make(index)` for each repetition and print the mean times in us."""
        wall = time.perf_counter()
        cpu = time.process_time()
        for index in range(self._count):
            await self.perform(make(index))
        wall = (time.perf_counter() - wall) / self._count * 1e6
        cpu = (time.process_time() - cpu) / self._count * 1e6
        print(f"effect={name} count={self._count} wall_us={wall:.0f} cpu_us={cpu:.0f}")

    def _handle_event(self, event: object) -> None:
        if not self._answered.done():
            self._answered.set_result(event)


async def run(port: int, count: int) -> None:
    """Measure reads, writes, keyed writes and status queries."""
    server = BackendServer(
        name="s", host="127.0.0.1", port=port, region="r", availability_zone="z"
    )
    meter = Meter(count=count)
    await meter.start()
    opened = effects.OpenBackend(connection=1, server=server, database="trial")
    await meter.perform(opened)

    def statement(sql: str, **arguments: object) -> effects.RunStatement:
        return effects.RunStatement(connection=1, request=REQUEST, sql=sql, **arguments)

    await meter.perform(statement("DROP TABLE IF EXISTS m"))
    await meter.perform(statement("CREATE TABLE m (id INT PRIMARY KEY, v TEXT)"))
    await meter.perform(statement("INSERT INTO m VALUES (1, 'a')"))
    read = statement("SELECT v FROM m WHERE id = 1")
    write = "UPDATE m SET v = 'b' WHERE id = 1"
    key_prefix = time.time_ns()
    await meter.measure("read", lambda index: read)
    await meter.measure("write", lambda index: statement(write))
    await meter.measure(
        "write_position", lambda index: statement(write, want_position=True)
    )
    await meter.measure(
        "keyed_write",
        lambda index: statement(write, key=f"{key_prefix}-{index}", want_position=True),
    )
    await meter.measure(
        "status", lambda index: effects.QueryStatus(server=server, call=index)
    )
    await meter.stop()


def main() -> None:
    """Parse the arguments and measure."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--count", type=int, default=3000)
    arguments = parser.parse_args()
    uvloop.run(run(arguments.port, arguments.count))


if __name__ == "__main__":
    main()
