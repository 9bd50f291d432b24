"""Configuration set by change tickets: groups, databases, servers, routing rules."""

import enum

from msgspec import Struct


class ServerState(enum.Enum):
    """Whether a backend server accepts new statements.

    `ACTIVE` servers accept new statements. `LEAVING` servers are being drained:
    they finish what they run and get no new statements.
    """

    ACTIVE = "active"
    LEAVING = "leaving"


class Acknowledge(enum.Enum):
    """The condition for acknowledging a write to its caller.

    `PRIMARY` waits for a majority of instances to confirm the primary's term.
    `REPLICA` also waits until the log of one replica contains the write's position.
    """

    PRIMARY = "primary"
    REPLICA = "replica"


class BackendServer(Struct, frozen=True, kw_only=True):
    """One instance of a database.

    Args:
        name: name, unique within the configuration in force.
        host: IP address.
        port: TCP port of the MySQL protocol.
        region: region name.
        availability_zone: availability zone name.
        state: whether it accepts new statements.
        slots: maximum number of statements that run at once.
        connections: maximum number of open connections.
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
        acknowledge: the condition for acknowledging a write.
        max_age_ms: default for the maximum age of the data read, in ms; used
            for reads without a `max_age_ms` mark.
        deadline_ms: default deadline, in ms; used for statements without a
            `deadline_ms` mark.
        replica_reads: whether reads may be routed to replicas.
    """

    acknowledge: Acknowledge = Acknowledge.REPLICA
    max_age_ms: int = 2_000
    deadline_ms: int = 5_000
    replica_reads: bool = True


class Database(Struct, frozen=True, kw_only=True):
    """One replicated database.

    Args:
        name: name that callers connect to, unique within the configuration
            in force.
        primary: name of the server that is the primary until the store holds a
            term record.
        servers: all instances of the database.
    """

    name: str
    primary: str
    servers: tuple[BackendServer, ...]


class DatabaseGroup(Struct, frozen=True, kw_only=True):
    """Databases that share routing rules.

    A change ticket removes a group by listing it without databases.
    """

    name: str
    databases: tuple[Database, ...] = ()
    rules: RoutingRules = RoutingRules()


class ChangeTicket(Struct, frozen=True, kw_only=True):
    """A numbered configuration change, stored as `ticket/<number>`.

    Args:
        number: one more than the highest accepted number; starts at 1.
        author: the operator who submitted the ticket.
        identity: random identifier that distinguishes tickets with equal content.
        groups: the complete new configuration of each database group that changes.
        reason: free text for the timeline.
    """

    number: int
    author: str
    identity: str
    groups: tuple[DatabaseGroup, ...]
    reason: str = ""
