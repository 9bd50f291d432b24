"""The MySQL server of an instance: connections, slots and faults."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from mysql_mimic import MysqlServer
from mysql_mimic.stream import MysqlStream

from ._connections import ClientConnection, InstanceConnection, SilenceableWriter
from ._errors import ServerError, make_connection_limit_error
from ._instance import Instance
from ._sessions import InstanceSession

MAX_CONTROL_CONNECTIONS = 64
"""Limit of connections without a default database, counted separately."""


@dataclass(slots=True, kw_only=True)
class InstanceLimits:
    """Limits and times of an instance.

    Args:
        slots: statements that run concurrently.
        connections: limit of open connections with a default database.
        connect_time: seconds that accepting a connection takes.
        service_time: seconds that a statement takes in its slot.
        lock_timeout: seconds that a write waits for another transaction.
    """

    slots: int = 5
    connections: int = 35
    connect_time: float = 0.012
    service_time: float = 0.001
    lock_timeout: float = 1.0


class InstanceServer(MysqlServer):
    """Serves an instance on its port.

    Args:
        instance: the instance.
        limits: limits and times; all but `slots` may be changed while it serves.
        find_instance: returns the instance at an address, None if there is none.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        limits: InstanceLimits,
        find_instance: Callable[[str, int], Instance | None],
    ) -> None:
        super().__init__()
        self.instance = instance
        self.limits = limits
        self.find_instance = find_instance
        self.silence_new = False
        self._slots = asyncio.Semaphore(limits.slots)
        self._ids = itertools.count(1)
        self._clients: dict[int, ClientConnection] = {}

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return len(self._clients)

    @property
    def executing(self) -> int:
        """The number of statements that run or wait."""
        return sum(client.executing for client in self._clients.values())

    async def start(self) -> None:
        """Start listening and taking part in replication.

        Raises:
            OSError: if the port can't be bound.
        """
        instance = self.instance
        await self.start_server(host=instance.host, port=instance.port)
        instance.port = self.sockets()[0].getsockname()[1]
        instance.start()

    async def kill(self, *, keep_memory: bool = True) -> None:
        """Close the port and reset all connections, as a killed process."""
        self.instance.stop(keep_memory=keep_memory)
        self.close()
        clients = list(self._clients.values())
        for client in clients:
            client.reset()
        if clients:
            await asyncio.wait([client.task for client in clients])

    def silence_existing(self) -> None:
        """Make all open connections silent (half-open) permanently."""
        for client in self._clients.values():
            client.silent = True

    def is_executing(self, connection_id: int) -> bool | None:
        """Return whether a connection executes a statement, None if unknown."""
        client = self._clients.get(connection_id)
        return client.executing if client else None

    async def serve(self, extra_seconds: float) -> None:
        """Occupy a slot for the service time plus `extra_seconds`."""
        async with self._slots:
            seconds = self.limits.service_time + extra_seconds
            if seconds > 0:
                await asyncio.sleep(seconds)

    async def _client_connected_cb(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        client = ClientConnection(transport=writer.transport, silent=self.silence_new)
        connection_id = next(self._ids)
        self._clients[connection_id] = client
        try:
            await self._serve_connection(connection_id, client, reader, writer)
        except (asyncio.CancelledError, OSError, ServerError):
            pass
        except asyncio.IncompleteReadError:
            pass
        finally:
            del self._clients[connection_id]
            writer.close()

    async def _serve_connection(
        self,
        connection_id: int,
        client: ClientConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        transport = writer.transport
        silenceable = SilenceableWriter(
            transport, transport.get_protocol(), reader, asyncio.get_running_loop()
        )
        silenceable.client = client
        if self.limits.connect_time > 0:
            await asyncio.sleep(self.limits.connect_time)
        session = InstanceSession(server=self, connection_id=connection_id)
        connection = InstanceConnection(
            client=client,
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

    def _admit(self, client: ClientConnection, database: str | None) -> None:
        counted = bool(database)
        limit = self.limits.connections if counted else MAX_CONTROL_CONNECTIONS
        admitted = sum(other.counted is counted for other in self._clients.values())
        if admitted >= limit:
            raise make_connection_limit_error()
        client.counted = counted
