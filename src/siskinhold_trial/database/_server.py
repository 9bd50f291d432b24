"""The listening side of an instance: connections, slots and faults."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from mysql_mimic import MysqlServer
from mysql_mimic.stream import MysqlStream

from ._connections import InstanceConnection, Link, SilenceableWriter
from ._errors import ServerError, too_many_connections
from ._instance import Instance
from ._sessions import InstanceSession

CONTROL_CONNECTIONS = 64
"""Connections without a default database that are open beside the others."""


@dataclass(slots=True, kw_only=True)
class Costs:
    """Limits and times of an instance.

    Args:
        slots: statements that run at once.
        connections: connections with a default database that may be open.
        connection_cost: seconds that accepting a connection takes.
        service_time: seconds that a statement takes in its slot.
        lock_timeout: seconds that a write waits for another transaction.
    """

    slots: int = 5
    connections: int = 35
    connection_cost: float = 0.012
    service_time: float = 0.001
    lock_timeout: float = 1.0


class InstanceServer(MysqlServer):
    """Serves an instance on its port.

    Args:
        instance: the instance.
        costs: limits and times; may be altered while it serves.
        find: returns the instance at an address, None if there is none.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        costs: Costs,
        find: Callable[[str, int], Instance | None],
    ) -> None:
        super().__init__()
        self.instance = instance
        self.costs = costs
        self.find = find
        self.silence_new = False
        self._slots = asyncio.Semaphore(costs.slots)
        self._ids = itertools.count(1)
        self._links: dict[int, Link] = {}

    @property
    def connections(self) -> int:
        """Connections that are open now."""
        return len(self._links)

    @property
    def executing(self) -> int:
        """Statements that run or wait now."""
        return sum(link.executing for link in self._links.values())

    async def start(self) -> None:
        """Listen and take part in replication.

        Raises:
            OSError: if the port can't be bound.
        """
        instance = self.instance
        await self.start_server(host=instance.host, port=instance.port)
        instance.port = self.sockets()[0].getsockname()[1]
        instance.start()

    async def kill(self, *, keep_memory: bool = True) -> None:
        """Close the port and reset all connections, as a process that died."""
        self.instance.stop(keep_memory=keep_memory)
        self.close()
        links = list(self._links.values())
        for link in links:
            link.reset()
        if links:
            await asyncio.wait([link.task for link in links])

    def silence_existing(self) -> None:
        """Stop all answers on the connections that are open now, for good."""
        for link in self._links.values():
            link.silent = True

    def is_executing(self, connection_id: int) -> bool | None:
        """Return whether a connection is executing, None if it is unknown."""
        link = self._links.get(connection_id)
        return link.executing if link else None

    async def serve(self, extra: float) -> None:
        """Take a slot for the service time plus `extra` seconds."""
        async with self._slots:
            seconds = self.costs.service_time + extra
            if seconds > 0:
                await asyncio.sleep(seconds)

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = Link(transport=writer.transport, silent=self.silence_new)
        connection_id = next(self._ids)
        self._links[connection_id] = link
        try:
            await self._serve_connection(connection_id, link, reader, writer)
        except (asyncio.CancelledError, OSError, ServerError):
            pass
        except asyncio.IncompleteReadError:
            pass
        finally:
            del self._links[connection_id]
            writer.close()

    async def _serve_connection(
        self,
        connection_id: int,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        transport = writer.transport
        silenceable = SilenceableWriter(
            transport, transport.get_protocol(), reader, asyncio.get_running_loop()
        )
        silenceable.link = link
        if self.costs.connection_cost > 0:
            await asyncio.sleep(self.costs.connection_cost)
        session = InstanceSession(server=self, connection_id=connection_id)
        connection = InstanceConnection(
            link=link,
            admit=self._admit,
            stream=MysqlStream(reader, silenceable),
            session=session,
            control=self.control,
            identity_provider=self.identity_provider,
            server_capabilities=self.capabilities,
        )
        connection.connection_id = connection_id
        try:
            await connection.start()
        finally:
            await session.close()

    def _admit(self, link: Link, database: str | None) -> None:
        counted = bool(database)
        limit = self.costs.connections if counted else CONTROL_CONNECTIONS
        admitted = sum(other.counted is counted for other in self._links.values())
        if admitted >= limit:
            raise too_many_connections()
        link.counted = counted
