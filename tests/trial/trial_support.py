"""Helpers for tests of the fakes: a small database and one VM's connections."""

import asyncio

import looptime

from siskinhold import effects, events
from siskinhold.model import BackendServer, Database, RequestId, VmAddress
from siskinhold_trial.fakes import FakeBackends, FakeWorld

ZONES = (("kochi", "kochi-a"), ("kochi", "kochi-b"), ("kozhikode", "kozhikode-a"))


def make_database(name: str = "db", slots: int = 2) -> Database:
    """Return a database with one instance per zone; `<name>-0` is the primary."""
    common = {"host": "127.0.0.1", "slots": slots, "connections": 4}
    servers = []
    for number, (region, zone) in enumerate(ZONES):
        location = {"region": region, "availability_zone": zone, "port": 4000 + number}
        servers.append(BackendServer(name=f"{name}-{number}", **location, **common))
    return Database(name=name, primary=f"{name}-0", servers=tuple(servers))


def make_vm(number: int) -> VmAddress:
    """Return the address of VM `number`, in zone `number % 3`."""
    region, zone = ZONES[number % 3]
    location = {"host": "127.0.0.1", "region": region, "availability_zone": zone}
    return VmAddress(name=f"vm{number}", peer_port=5000 + number, **location)


def run(script):
    """Run `script(world)` on an event loop with simulated time."""
    # Nothing waits for I/O, so time can advance without idle cycles of the loop.
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
        """Start collecting events."""
        await self.backends.start(self.events.put_nowait)
        return self

    async def next_event(self, timeout: float = 5.0):
        """Return the next event, or None after `timeout` seconds."""
        try:
            return await asyncio.wait_for(self.events.get(), timeout)
        except TimeoutError:
            return None

    async def perform(self, effect):
        """Execute an effect and return the event that completes it."""
        self.backends.perform(effect)
        return await self.next_event()

    async def open(self, server) -> int:
        """Open a connection for statements and return its number."""
        self._numbers += 1
        opening = effects.OpenBackend(
            connection=self._numbers, server=server, database="db"
        )
        assert isinstance(await self.perform(opening), events.BackendOpened)
        return opening.connection

    def send(self, connection: int, sql: str, **options) -> None:
        """Start a statement without waiting for its result."""
        self._numbers += 1
        options |= {"request": RequestId("vm", 1, self._numbers), "sql": sql}
        self.backends.perform(
            effects.RunStatement(connection=connection, want_position=True, **options)
        )

    async def run_statement(self, connection: int, sql: str, **options):
        """Run a statement and return the event that completes it."""
        self.send(connection, sql, **options)
        return await self.next_event()

    async def control(self, effect_type: type, server, **fields):
        """Execute a control effect and return the event that completes it."""
        return await self.perform(effect_type(server=server, call=1, **fields))
