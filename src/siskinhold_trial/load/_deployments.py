"""The deployments whose load is measured, reduced to one pool each."""

from dataclasses import dataclass

from siskinhold.model import BackendServer, Database, VmAddress


@dataclass(slots=True, frozen=True, kw_only=True)
class Deployment:
    """The instance sizes of a client account.

    Args:
        name: the client account.
        slots: statements that one instance runs concurrently.
        connections: maximum number of connections to one instance.
    """

    name: str
    slots: int
    connections: int = 35


CRANNOG = Deployment(name="crannog", slots=5)
MALABAR = Deployment(name="malabar", slots=2)
REPLICAS = 2
"""Number of replicas. Reads run on them, writes on the primary."""


def make_database(deployment: Deployment) -> Database:
    """Return a database of three instances, one in each zone of one region."""
    servers = []
    for number in range(REPLICAS + 1):
        servers.append(
            BackendServer(
                name=f"db-{number}",
                host="127.0.0.1",
                port=4000 + number,
                region="home",
                availability_zone=f"home-{number}",
                slots=deployment.slots,
                connections=deployment.connections,
            )
        )
    return Database(name="db", primary="db-0", servers=tuple(servers))


def make_vm() -> VmAddress:
    """Return the VM that owns the pool, in the primary's zone."""
    return VmAddress(
        name="vm",
        host="127.0.0.1",
        peer_port=5000,
        region="home",
        availability_zone="home-0",
    )
