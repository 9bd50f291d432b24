"""The two users' deployments: their databases, zones and sizes."""

from dataclasses import dataclass

from siskinhold.model import (
    BackendServer,
    ChangeTicket,
    Database,
    DatabaseGroup,
    RoutingRules,
    VmAddress,
)

VM_COUNT = 9
"""Number of entry VMs in a deployment."""
FIRST_SERVER_PORT = 20_000
FIRST_PEER_PORT = 30_000


@dataclass(slots=True, kw_only=True, frozen=True)
class Deployment:
    """One user's databases, zones and sizes.

    Args:
        name: the deployment's name.
        group: name of its database group.
        databases: names of its databases.
        zones: (region, availability zone) of each zone, home region first.
        slots: statements that an instance runs concurrently.
        connections: connection limit of an instance.
        caller_delay: one-way delay to callers in seconds.
    """

    name: str
    group: str
    databases: tuple[str, ...]
    zones: tuple[tuple[str, str], ...]
    slots: int
    connections: int = 35
    caller_delay: float = 0.001

    def make_group(self, rules: RoutingRules = RoutingRules()) -> DatabaseGroup:
        """Return the database group, with one instance of each database per zone."""
        databases = []
        for index, name in enumerate(self.databases):
            servers = self._make_servers(index, name)
            databases.append(
                Database(name=name, primary=servers[0].name, servers=servers)
            )
        return DatabaseGroup(name=self.group, databases=tuple(databases), rules=rules)

    def _make_servers(self, index: int, name: str) -> tuple[BackendServer, ...]:
        servers = []
        for zone_index, (region, zone) in enumerate(self.zones):
            servers.append(
                BackendServer(
                    name=f"{name}-{zone_index}",
                    host="127.0.0.1",
                    port=FIRST_SERVER_PORT + index * len(self.zones) + zone_index,
                    region=region,
                    availability_zone=zone,
                    slots=self.slots,
                    connections=self.connections,
                )
            )
        return tuple(servers)

    def make_vms(self, count: int = VM_COUNT) -> tuple[VmAddress, ...]:
        """Return VMs spread evenly over the zones."""
        vms = []
        for index in range(count):
            region, zone = self.zones[index % len(self.zones)]
            vms.append(
                VmAddress(
                    name=f"vm{index}",
                    host="127.0.0.1",
                    peer_port=FIRST_PEER_PORT + index,
                    region=region,
                    availability_zone=zone,
                )
            )
        return tuple(vms)


def make_ticket(number: int, *groups: DatabaseGroup) -> ChangeTicket:
    """Return a change ticket that contains the given groups."""
    return ChangeTicket(
        number=number, author="operator", identity=f"ticket-{number}", groups=groups
    )


CRANNOG = Deployment(
    name="crannog",
    group="builders-db",
    databases=("bookings", "schedules", "quotes"),
    zones=(
        ("leinster", "leinster-a"),
        ("leinster", "leinster-b"),
        ("munster", "munster-a"),
    ),
    slots=5,
    caller_delay=0.003,
)
MALABAR = Deployment(
    name="malabar",
    group="spares-core",
    databases=("catalogue", "orders", "stock"),
    zones=(
        ("kochi", "kochi-a"),
        ("kochi", "kochi-b"),
        ("kozhikode", "kozhikode-a"),
    ),
    slots=2,
    caller_delay=0.001,
)
