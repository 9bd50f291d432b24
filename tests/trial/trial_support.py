"""Support for tests of the fakes: a small database and one VM's connections."""

import asyncio

import looptime

from siskinhold import effects, events
from siskinhold.model import BackendServer, Database, RequestId, VmAddress
from siskinhold_trial.fakes import FakeBackends, FakeWorld

ZONES = (("kochi", "kochi-a"), ("kochi", "kochi-b"), ("kozhikode", "kozhikode-a"))


def make_database(name: str = "db", slots: int = 2) -> Database:
    """Return a database with one instance in each zone, led by `<name>-0`."""
    servers = []
    for number, (region, zone) in enumerate(ZONES):
        servers.append(
            BackendServer(
                name=f"{name}-{number}",
                host="127.0.0.1",
                port=4000 + number,
                region=region,
                availability_zone=zone,
                slots=slots,
                connections=4,
            )
        )
    return Database(name=name, primary=f"{name}-0", servers=tuple(servers))


def make_vm(number: int) -> VmAddress:
    """Return the address of a VM in the zone of that number."""
    region, zone = ZONES[number % 3]
    return VmAddress(
        name=f"vm{number}",
        host="127.0.0.1",
        peer_port=5000 + number,
        region=region,
        availability_zone=zone,
    )


def run(script):
    """Run `script(world)` on a loop whose time jumps forward."""
    # Nothing waits for I/O, so time may jump without idle cycles of the loop.
    loop = looptime.new_event_loop(start=0, noop_cycles=0)
    try:
        return loop.run_until_complete(script(FakeWorld(loop=loop, seed=1)))
    finally:
        loop.close()


class Vm:
    """One VM's connections to a database, and the events they emit."""

    def __init__(self, world: FakeWorld, number: int = 0) -> None:
        self.backends = FakeBackends(world=world, vm=make_vm(number))
        self.events: asyncio.Queue = asyncio.Queue()
        self._numbers = 0

    async def start(self) -> "Vm":
        """Begin to collect events."""
        await self.backends.start(self.events.put_nowait)
        return self

    async def take(self, limit: float = 5.0):
        """Return the next event, or None after `limit` seconds."""
        try:
            return await asyncio.wait_for(self.events.get(), limit)
        except TimeoutError:
            return None

    async def open(self, server, database: str = "db") -> int:
        """Open a work connection and return its number."""
        self._numbers += 1
        self.backends.perform(
            effects.OpenBackend(
                connection=self._numbers, server=server, database=database
            )
        )
        assert isinstance(await self.take(), events.BackendOpened)
        return self._numbers

    def send(self, connection: int, sql: str, **options) -> None:
        """Begin a statement."""
        self._numbers += 1
        request = RequestId("vm", 1, self._numbers)
        self.backends.perform(
            effects.RunStatement(
                connection=connection,
                request=request,
                sql=sql,
                want_position=True,
                **options,
            )
        )

    async def ask(self, connection: int, sql: str, **options):
        """Run a statement and return the event that ends it."""
        self.send(connection, sql, **options)
        return await self.take()

    async def control(self, kind: type, server, **fields):
        """Carry out a control effect and return its event."""
        self.backends.perform(kind(server=server, call=1, **fields))
        return await self.take()
