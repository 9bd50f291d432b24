"""Settings of a VM that runs the direct core."""

from dataclasses import dataclass

DEFAULT_MEMORY = 300 << 20
"""Memory limit of a process in bytes, if the settings name none."""

PROCESS_MEMORY = 64 << 20
"""Bytes of a process for the program, its configuration and idle connections."""

DEFAULT_DRAIN = 7.0
"""Seconds for which a draining server goes on, if the settings name none."""

MIN_CALLER_MEMORY = 8 << 20
"""Bytes that a process may hold for its callers, however little memory it has."""

COPIES = 4
"""Times that a message is in memory while it is handled."""


@dataclass(slots=True, kw_only=True, frozen=True)
class AccountBounds:
    """Bounds on the keys and rates of client accounts.

    Args:
        withdrawal: seconds after which no statement may run that was sent with a key
            that a configuration has withdrawn; None if there is no such bound.
        window: seconds over which operations are counted.
        excess: share of an account's limit by which the count may exceed it.
        slack: operations by which it may exceed it further.
    """

    withdrawal: float | None = None
    window: float = 5.0
    excess: float = 0.0
    slack: float = 0.0


@dataclass(slots=True, kw_only=True, frozen=True)
class CallerLimits:
    """Limits on what callers make a process hold.

    Args:
        memory: bytes that it holds for all callers together; above it, the largest
            holders are closed.
        ahead: bytes that a caller may send ahead while a statement runs or answers wait
            to be taken; above it, nothing more is read.
        session: bytes of a session's values and prepared statements.
        kept: bytes of those that servers keep for all free connections together.
        answer: bytes of the rows of one answer of a backend server.
        line_timeout: seconds in which a line that has begun must end.
        answer_timeout: seconds in which a caller must take some of an answer.
        requests: connections that each HTTP port keeps open.
    """

    memory: int = 0
    ahead: int = 256 << 10
    session: int = 2 << 20
    kept: int = 4 << 20
    answer: int = 0
    line_timeout: float = 15.0
    answer_timeout: float = 15.0
    requests: int = 48


def compute_caller_limits(memory: int = DEFAULT_MEMORY) -> CallerLimits:
    """Return the limits that follow from the memory limit of a process.

    What it holds takes several times its size while it is parsed, encoded and sent.

    Args:
        memory: memory limit of the process, in bytes.
    """
    share = max(MIN_CALLER_MEMORY, (memory - PROCESS_MEMORY) // COPIES)
    return CallerLimits(memory=share, kept=share // 4, answer=share // 2)


@dataclass(slots=True, kw_only=True, frozen=True)
class VmSettings:
    """Location, addresses and limits of a VM.

    Args:
        name: the VM's name.
        zone: its availability zone.
        regions: region by availability zone.
        host: IP address to listen on.
        caller_port: port for callers.
        ready_port: port of the load balancer's readiness probe.
        metrics_port: port of the metrics, 0 for none.
        relay_port: port for callers that other VMs relay.
        control_port: port that seeds are asked at, 0 for none.
        seeds: host and control port of VMs that may know what the store holds; they may
            be gone.
        size: the VM's CPU share, in thousandths of a core.
        store: host and port of the platform's store.
        promotion: host and port of the service that takes promotion orders.
        grace: time from SIGTERM to SIGKILL, in seconds.
        descriptors: limit of file descriptors, most of them for callers' connections.
        memory: memory limit of the process, in bytes.
        avoids_slow_servers: whether reads avoid servers that are slower than usual.
        account_bounds: how promptly keys and rates of client accounts must take effect.
        caller_limits: limits on what callers make the process hold.
        configuration_bound: seconds within which an accepted configuration must be in
            force.
        drain: seconds for which a server goes on after the store has accepted its
            report that it drains.
    """

    name: str
    zone: str
    regions: dict[str, str]
    host: str
    caller_port: int
    ready_port: int
    metrics_port: int
    relay_port: int
    control_port: int
    seeds: tuple[tuple[str, int], ...]
    size: int
    store: str
    promotion: str
    grace: float
    descriptors: int
    memory: int = DEFAULT_MEMORY
    avoids_slow_servers: bool = False
    account_bounds: AccountBounds = AccountBounds()
    caller_limits: CallerLimits = compute_caller_limits()
    configuration_bound: float = 3.0
    drain: float = DEFAULT_DRAIN
