"""A fake replicated database: its instances and their replication."""

import random
from collections.abc import Callable

from siskinhold.model import Database, Position, Role

from ._log import Change, Entry, Execution, Log, Promotion
from ._server import FakeServer
from ._world import FakeWorld

ServiceTime = Callable[[random.Random], float]
"""Draws a statement's service time in seconds."""


class FakeDatabase:
    """A replicated database whose term 1 begins at offset 0 on its primary.

    Replication is asynchronous. A replica receives an entry after the network
    delay and its own `lag`, and catches up by itself after any fault.

    Args:
        world: the simulated environment of the test; the servers are registered
            there for `FakeBackends`.
        config: the database as in a change ticket.
        service_time: draws the service time of a statement without `cost_ms`.
        lag: initial replication lag of each replica in seconds.
    """

    def __init__(
        self,
        *,
        world: FakeWorld,
        config: Database,
        service_time: ServiceTime = lambda generator: 0.002,
        lag: float = 0.0,
    ) -> None:
        self.world = world
        self.config = config
        self.service_time = service_time
        self.executions: list[Execution] = []
        self.promotions: list[Promotion] = []
        self.servers: dict[str, FakeServer] = {}
        for endpoint in config.servers:
            primary = endpoint.name == config.primary
            server = FakeServer(
                world=world, database=self, endpoint=endpoint, primary=primary
            )
            server.source = "" if primary else config.primary
            server.lag = lag
            self.servers[endpoint.name] = server
        start = Promotion(at=world.now(), server=config.primary, term=1, offset=0)
        self.promotions.append(start)
        world.servers.update(self.servers)
        world.observe_links(self.before_change, self.after_change)

    def find_primary(self) -> FakeServer:
        """Return the server that was promoted at the highest term so far."""
        newest = max(self.promotions, key=lambda promotion: promotion.term)
        return self.servers[newest.server]

    def isolate(
        self, server: str, *, replicas: bool = True, vms: tuple[str, ...] | None = None
    ) -> None:
        """Cut links of a server, which continues to run.

        Args:
            server: name of the server.
            replicas: whether to cut its links with the other instances.
            vms: VMs whose links to it are cut; None for every VM and instance.
        """
        if vms is None:
            self.world.isolate(server)
            return
        for vm in vms:
            self.world.cut(server, vm)
        for other in self.servers:
            if replicas and other != server:
                self.world.cut(server, other)

    # Called by the servers.

    def draw_service_time(self) -> float:
        """Return a service time in seconds."""
        return self.service_time(self.world.random)

    def write(self, server: FakeServer, changes: list[Change]) -> Position:
        """Append an entry to a primary's log and replicate it."""
        offset = len(server.log.entries) + 1
        entry = Entry(term=server.term, offset=offset, changes=tuple(changes))
        server.log.append(entry)
        self._replicate(server)
        return Position(entry.term, entry.offset)

    def measure_silence(self, server: FakeServer) -> float:
        """Return the seconds since a replica last had contact with its source."""
        if self._is_connected(server):
            return 0.0
        return self.world.now() - server.heard_at

    def before_change(self) -> None:
        """Record the time of contact of replicas that are connected to their source.

        Called before a change of a link, role or fault that may end a contact.
        """
        for server in self.servers.values():
            if self._is_connected(server):
                server.heard_at = self.world.now()

    def after_change(self) -> None:
        """Replicate from each primary that runs, so that its replicas catch up.

        Called after a change of a link, role or fault that may begin a contact.
        """
        for server in self.servers.values():
            if server.role is Role.PRIMARY and server.alive and not server.frozen:
                self._replicate(server)

    def _is_connected(self, replica: FakeServer) -> bool:
        source = self.servers.get(replica.source)
        if replica.role is not Role.REPLICA or source is None:
            return False
        if source.role is not Role.PRIMARY or source.term != replica.term:
            return False
        for server in (replica, source):
            if not server.alive or server.frozen:
                return False
        return self.world.is_open(replica.endpoint, source.endpoint)

    def _replicate(self, source: FakeServer) -> None:
        length = len(source.log.entries)
        for replica in self.servers.values():
            if replica.source != source.endpoint.name:
                continue
            if not self._is_connected(replica):
                continue
            shared = replica.log.count_common_entries(source.log)
            if shared < len(replica.log.entries):
                replica.log.cut(shared)
            delay = self.world.measure_delay(source.endpoint, replica.endpoint)
            self.world.call_later(
                delay + replica.lag,
                self._append_entries,
                replica,
                source.log,
                source.term,
                length,
            )

    def _append_entries(
        self, replica: FakeServer, log: Log, term: int, length: int
    ) -> None:
        source = self.servers.get(replica.source)
        if source is None or source.log is not log or replica.term != term:
            return
        if not self._is_connected(replica):
            return
        for entry in log.entries[len(replica.log.entries) : length]:
            replica.log.append(entry)
