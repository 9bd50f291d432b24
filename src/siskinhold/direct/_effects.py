"""Effects of the direct core."""

from dataclasses import dataclass

from ._types import Answer, Command, LeaderRecord, Refusal, Suspicion, VmEntry


@dataclass(slots=True, kw_only=True)
class AcceptCaller:
    """Accept a caller's connection."""

    session: int


@dataclass(slots=True, kw_only=True)
class RelayCaller:
    """Relay a caller's connection to the first holder that can be reached."""

    session: int
    holders: tuple[VmEntry, ...]


@dataclass(slots=True, kw_only=True)
class CloseIdleRelays:
    """End the relays on which neither a statement nor a transaction is open."""


@dataclass(slots=True, kw_only=True)
class RefuseCaller:
    """Refuse a caller's connection and close it."""

    session: int
    refusal: Refusal
    detail: str


@dataclass(slots=True, kw_only=True)
class ReplyCaller:
    """Answer a caller's statement."""

    session: int
    answer: Answer


@dataclass(slots=True, kw_only=True)
class CloseCaller:
    """Close a caller's connection once what was written is sent."""

    session: int


@dataclass(slots=True, kw_only=True)
class OpenBackend:
    """Open a connection to a backend server and name the server expected there."""

    connection: int
    host: str
    port: int
    service: str
    server: str


@dataclass(slots=True, kw_only=True)
class SendCommands:
    """Send commands on a connection; each gets one answer, in order."""

    connection: int
    commands: tuple[Command, ...]


@dataclass(slots=True, kw_only=True)
class CloseBackend:
    """Close a connection at once; no event follows."""

    connection: int


@dataclass(slots=True, kw_only=True)
class ReadLeaderRecord:
    """Read a database's leader record; the answer must be up to date."""

    call: int
    service: str


@dataclass(slots=True, kw_only=True)
class WriteLeaderRecord:
    """Write a database's leader record if its revision is the expected one.

    Args:
        revision: 0 if there must be none.
    """

    call: int
    service: str
    record: LeaderRecord
    revision: int


@dataclass(slots=True, kw_only=True)
class PublishSuspicion:
    """Tell the other VMs through the store that a primary can't be reached."""

    suspicion: Suspicion


@dataclass(slots=True, kw_only=True)
class ListSuspicions:
    """Read all suspicions of a database."""

    call: int
    service: str


@dataclass(slots=True, kw_only=True)
class ListVms:
    """Read the registered VMs."""


@dataclass(slots=True, kw_only=True)
class PublishConnections:
    """Write the least number of connections that a server takes beside the VMs."""

    connections: int


@dataclass(slots=True, kw_only=True)
class OrderPromotion:
    """Have the platform promote a server.

    Args:
        token: fence token, greater than that of all earlier orders.
        deadline: when the call must have ended, in seconds of the clock.
    """

    call: int
    service: str
    server: str
    token: int
    deadline: float


@dataclass(slots=True, kw_only=True)
class AnnounceReadiness:
    """Tell the load balancer whether to send new callers."""

    ready: bool


@dataclass(slots=True, kw_only=True)
class Log:
    """Write one line about a decision.

    Args:
        event: name of the line.
        fields: inputs and outcome, in order.
        essential: whether it may not be left out while lines are many.
    """

    event: str
    fields: tuple[tuple[str, object], ...]
    essential: bool = False


@dataclass(slots=True, kw_only=True)
class Observe:
    """Add a value to a metric."""

    metric: str
    value: float = 1.0
    label: str = ""


@dataclass(slots=True, kw_only=True)
class Stop:
    """End the process: the graceful shutdown is complete."""


Effect = (
    AcceptCaller
    | RelayCaller
    | CloseIdleRelays
    | RefuseCaller
    | ReplyCaller
    | CloseCaller
    | OpenBackend
    | SendCommands
    | CloseBackend
    | ReadLeaderRecord
    | WriteLeaderRecord
    | PublishSuspicion
    | ListSuspicions
    | ListVms
    | PublishConnections
    | OrderPromotion
    | AnnounceReadiness
    | Log
    | Observe
    | Stop
)
