"""Test harness for the backend adapter."""

import asyncio

from siskinhold import effects, events
from siskinhold.adapters import MysqlBackends
from siskinhold.model import BackendServer, RequestId
from siskinhold_trial.database import Faults, apply_faults

REQUEST = RequestId("vm-1", 1, 1)


class Harness:
    """An adapter with a queue of the events that it emits."""

    def __init__(self, database, **arguments):
        self.database = database
        self.emitted = asyncio.Queue()
        self.adapter = MysqlBackends(user="siskinhold", **arguments)
        self.numbers = iter(range(1, 1000))

    def server(self, index=0):
        instance = self.database.instances[index]
        return BackendServer(
            name=instance.name,
            host=instance.host,
            port=instance.port,
            region="r",
            availability_zone="z",
        )

    async def perform_and_wait(self, effect):
        self.adapter.perform(effect)
        return await self.next()

    async def next(self):
        return await asyncio.wait_for(self.emitted.get(), 2)

    async def open(self, index=0):
        effect = effects.OpenBackend(
            connection=next(self.numbers), server=self.server(index), database="trial"
        )
        event = await self.perform_and_wait(effect)
        assert isinstance(event, events.BackendOpened), event
        return effect.connection

    def statement(self, connection, sql, **arguments):
        return effects.RunStatement(
            connection=connection, request=REQUEST, sql=sql, **arguments
        )

    async def run(self, connection, sql, **arguments):
        return await self.perform_and_wait(self.statement(connection, sql, **arguments))

    async def status(self, index=0, **arguments):
        effect = effects.QueryStatus(server=self.server(index), call=7, **arguments)
        return await self.perform_and_wait(effect)

    async def inject_faults(self, index=0, **faults):
        await apply_faults(self.database.servers[index], Faults(**faults))

    async def executing(self, index=0):
        while not self.database.servers[index].executing:
            await asyncio.sleep(0.001)
