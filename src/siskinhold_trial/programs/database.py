"""The program `siskinhold-trial-database`: one database of three instances."""

import asyncio
import logging
import signal
from dataclasses import dataclass
from typing import Annotated

import cappa
import uvloop

from ..database import ControlPort, InstanceLimits, TrialDatabase

logger = logging.getLogger(__name__)


@cappa.command(name="siskinhold-trial-database")
@dataclass
class Arguments:
    """Run a stand-in for one replicated database."""

    ports: Annotated[
        list[int],
        cappa.Arg(long="--port", help="port of an instance; once for each"),
    ]
    control_port: Annotated[int, cappa.Arg(long=True, help="HTTP control port")]
    name: Annotated[str, cappa.Arg(long=True, help="database name")] = "trial"
    host: Annotated[str, cappa.Arg(long=True, help="IP address")] = "127.0.0.1"
    lag_ms: Annotated[float, cappa.Arg(long=True, help="replication lag")] = 20.0
    slots: Annotated[int, cappa.Arg(long=True, help="statements at once")] = 5
    connections: Annotated[int, cappa.Arg(long=True, help="open at once")] = 35
    connection_ms: Annotated[
        float, cappa.Arg(long=True, help="time to accept a connection")
    ] = 12.0
    service_ms: Annotated[
        float, cappa.Arg(long=True, help="time of a statement in its slot")
    ] = 1.0
    lock_timeout_ms: Annotated[
        float, cappa.Arg(long=True, help="longest wait for another write")
    ] = 1000.0


async def serve(arguments: Arguments) -> None:
    """Serve until SIGINT or SIGTERM.

    Raises:
        OSError: if a port can't be bound.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stopped.set)
    limits = InstanceLimits(
        slots=arguments.slots,
        connections=arguments.connections,
        connect_time=arguments.connection_ms / 1000,
        service_time=arguments.service_ms / 1000,
        lock_timeout=arguments.lock_timeout_ms / 1000,
    )
    database = TrialDatabase(
        name=arguments.name,
        host=arguments.host,
        ports=arguments.ports,
        lag=arguments.lag_ms / 1000,
        limits=limits,
    )
    control = ControlPort(
        database=database, host=arguments.host, port=arguments.control_port
    )
    await database.start()
    await control.start()
    ports = ",".join(str(instance.port) for instance in database.instances)
    logger.info("event=started database=%s ports=%s", database.name, ports)
    try:
        await stopped.wait()
    finally:
        await control.stop()
        await database.stop()


def main() -> None:
    """Run the program."""
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    logging.getLogger("mysql_mimic").setLevel(logging.WARNING)
    uvloop.run(serve(cappa.parse(Arguments)))


if __name__ == "__main__":
    main()
