"""A replicated database whose instances run in one process."""

from collections.abc import Sequence

from ._instance import FIRST_TERM, Instance
from ._server import InstanceLimits, InstanceServer


class TrialDatabase:
    """A replicated database; the first instance is the initial primary.

    Args:
        name: the database's name; its instances are named after it.
        host: IP address to listen on.
        ports: a TCP port for each instance; 0 for any free one.
        lag: replication lag in seconds.
        limits: limits and times, copied for each instance so that they can differ.
    """

    def __init__(
        self,
        *,
        name: str = "trial",
        host: str = "127.0.0.1",
        ports: Sequence[int] = (0, 0, 0),
        lag: float = 0.0,
        limits: InstanceLimits | None = None,
    ) -> None:
        self.name = name
        self.servers: list[InstanceServer] = []
        limits = limits or InstanceLimits()
        for number, port in enumerate(ports, start=1):
            instance = Instance(name=f"{name}-{number}", host=host, port=port, lag=lag)
            instance_limits = InstanceLimits(
                slots=limits.slots,
                connections=limits.connections,
                connect_time=limits.connect_time,
                service_time=limits.service_time,
                lock_timeout=limits.lock_timeout,
            )
            server = InstanceServer(
                instance=instance,
                limits=instance_limits,
                find_instance=self._find_instance,
            )
            self.servers.append(server)

    @property
    def instances(self) -> list[Instance]:
        """The instances in order."""
        return [server.instance for server in self.servers]

    def server(self, name: str) -> InstanceServer:
        """Return an instance's server.

        Raises:
            KeyError: if there is no such instance.
        """
        for server in self.servers:
            if server.instance.name == name:
                return server
        raise KeyError(name)

    async def start(self) -> None:
        """Listen on all ports.

        Raises:
            OSError: if a port can't be bound.
        """
        for server in self.servers:
            await server.start()
        primary, *replicas = self.instances
        primary.promote(FIRST_TERM)
        for replica in replicas:
            replica.follow(FIRST_TERM, primary)

    async def stop(self) -> None:
        """Close all ports and connections."""
        for server in self.servers:
            await server.kill()

    def _find_instance(self, host: str, port: int) -> Instance | None:
        for instance in self.instances:
            if instance.host == host and instance.port == port:
                return instance
        return None
