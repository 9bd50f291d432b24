"""The state that change tickets describe: groups, databases, servers, rules."""

import enum

from msgspec import Struct


class ServerState(enum.Enum):
    """Whether a backend server takes work.

    `ACTIVE` servers take work. `LEAVING` servers finish what they run and get
    nothing new.
    """

    ACTIVE = "active"
    LEAVING = "leaving"


class Acknowledge(enum.Enum):
    """What a write waits for before it is acknowledged.

    `PRIMARY` waits for a majority of instances to confirm the primary's term.
    `REPLICA` also waits until one replica holds the write's position.
    """

    PRIMARY = "primary"
    REPLICA = "replica"


class BackendServer(Struct, frozen=True, kw_only=True):
    """One instance of a database.

    Args:
        name: unique name within the state in force.
        host: IP address.
        port: TCP port of the MySQL protocol.
        region: region name.
        availability_zone: availability zone name.
        state: whether it takes new work.
        slots: statements that may run at once.
        connections: connections that may be open at once.
    """

    name: str
    host: str
    port: int
    region: str
    availability_zone: str
    state: ServerState = ServerState.ACTIVE
    slots: int = 5
    connections: int = 35


class RoutingRules(Struct, frozen=True, kw_only=True):
    """Routing rules of a database group.

    Args:
        acknowledge: what a write waits for.
        max_age_ms: age of data that a read without a mark accepts, in ms.
        deadline_ms: time that a statement without a mark may take, in ms.
        replica_reads: whether reads may go to replicas at all.
    """

    acknowledge: Acknowledge = Acknowledge.REPLICA
    max_age_ms: int = 2_000
    deadline_ms: int = 5_000
    replica_reads: bool = True


class Database(Struct, frozen=True, kw_only=True):
    """One replicated database.

    Args:
        name: unique name within the state in force; callers connect to it.
        primary: the server that leads when the store holds no term record yet.
        servers: all instances.
    """

    name: str
    primary: str
    servers: tuple[BackendServer, ...]


class DatabaseGroup(Struct, frozen=True, kw_only=True):
    """Databases that share routing rules. Without databases it is removed."""

    name: str
    databases: tuple[Database, ...] = ()
    rules: RoutingRules = RoutingRules()


class ChangeTicket(Struct, frozen=True, kw_only=True):
    """The store object `ticket/<number>`.

    Args:
        number: one more than the highest accepted number; starts at 1.
        author: the operator.
        identity: random identity that tells two equal texts apart.
        groups: the whole new state of every database group it touches.
        reason: free text for the time line.
    """

    number: int
    author: str
    identity: str
    groups: tuple[DatabaseGroup, ...]
    reason: str = ""
