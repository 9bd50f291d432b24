"""Effects of the direct core."""

from dataclasses import dataclass, field

from ._relays import RelayClosing
from ._types import Answer, Command, LeaderRecord, Refusal, Revision, Suspicion, VmEntry


@dataclass(slots=True, kw_only=True)
class AcceptCaller:
    """Accept a caller's connection.

    Args:
        version: version of the configuration by which it is accepted.
    """

    session: int
    version: int = 0


@dataclass(slots=True, kw_only=True)
class RelayCaller:
    """Relay a caller's connection to the first connection holder that accepts it.

    Args:
        version: newest version of the configuration that this VM has seen.
        unconfirmed: whether a holder may accept it without confirming its copy.
    """

    session: int
    holders: tuple[VmEntry, ...]
    version: int = 0
    unconfirmed: bool = False


@dataclass(slots=True, kw_only=True)
class CheckConfiguration:
    """Ask the store whether there is a newer configuration."""


@dataclass(slots=True, kw_only=True)
class ReportPresence:
    """Report to other connection holders that this VM runs, by one datagram each.

    Args:
        serving: whether this VM serves client accounts.
        demands: operations a second that callers ask of this VM, of the accounts that
            come near their rate.
        heard: names of the holders whose reports this VM receives.
    """

    vms: tuple[VmEntry, ...]
    serving: bool
    demands: dict[str, float] = field(default_factory=dict)
    heard: tuple[str, ...] = ()


@dataclass(slots=True, kw_only=True)
class CloseRelays:
    """Close relays for a shutdown, after every statement that was read is answered."""

    closing: RelayClosing


@dataclass(slots=True, kw_only=True)
class RefuseCaller:
    """Refuse a caller's connection and close it.

    Args:
        version: version of the configuration by which it is refused.
    """

    session: int
    refusal: Refusal
    detail: str
    version: int = 0


@dataclass(slots=True, kw_only=True)
class ReplyCaller:
    """Answer a caller's statement.

    Args:
        held: bytes of the session's values and prepared statements.
    """

    session: int
    answer: Answer
    held: int = 0


@dataclass(slots=True, kw_only=True)
class CloseCaller:
    """Close a caller's connection after sending all buffered output.

    Args:
        unanswered: whether to close it though a statement that was read has no answer;
            otherwise the effect is repeated after that answer.
    """

    session: int
    unanswered: bool = False


@dataclass(slots=True, kw_only=True)
class OpenBackend:
    """Open a connection to a backend server, naming the server that is expected.

    Args:
        account: the client account that it serves, empty for the proxy itself.
    """

    connection: int
    host: str
    port: int
    service: str
    server: str
    account: str = ""


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
    """Read a database's leader record.

    Args:
        era: the store's era whose record is read.
        fresh: whether a record that is seconds old is not allowed.
    """

    call: int
    service: str
    era: int
    fresh: bool = True


@dataclass(slots=True, kw_only=True)
class WriteLeaderRecord:
    """Write a database's leader record if its revision is the expected one.

    Args:
        revision: expected revision; its number is 0 if the era's record must be absent.
    """

    call: int
    service: str
    record: LeaderRecord
    revision: Revision


@dataclass(slots=True, kw_only=True)
class PublishSuspicion:
    """Publish this VM's suspicion of a primary in the store, or withdraw it.

    Args:
        suspicion: replaces the VM's previous one for the service; an empty `server`
            and term 0 withdraw it.
    """

    suspicion: Suspicion


@dataclass(slots=True, kw_only=True)
class ListSuspicions:
    """Read all VMs' suspicions of a database's primary from the store."""

    call: int
    service: str


@dataclass(slots=True, kw_only=True)
class ListVms:
    """Read the registered VMs and the published connection limit from the store.

    Args:
        fresh: whether the list must be up to date; a stale read costs less.
    """

    fresh: bool = False


@dataclass(slots=True, kw_only=True)
class RegisterVm:
    """Add this VM to the list of VMs in the store again if it is not there."""


@dataclass(slots=True, kw_only=True)
class ProbeVm:
    """Check whether another VM's machine answers, by connection attempts."""

    vm: VmEntry


@dataclass(slots=True, kw_only=True)
class RemoveVm:
    """Remove a VM from the list in the store, unless its entry has changed."""

    vm: VmEntry


@dataclass(slots=True, kw_only=True)
class AskVms:
    """Ask other VMs whether they reach an address of a backend server.

    Args:
        vms: the VMs to ask.
    """

    call: int
    vms: tuple[VmEntry, ...]
    host: str
    port: int


@dataclass(slots=True, kw_only=True)
class PublishConnections:
    """Publish the connection limit of the servers next to the list of VMs.

    Args:
        connections: lowest connection limit of any server.
    """

    connections: int


@dataclass(slots=True, kw_only=True)
class OrderPromotion:
    """Order the platform to promote a server.

    Args:
        token: fence token, greater than that of all earlier orders.
        deadline: latest end of the call, in seconds of the runtime's clock.
    """

    call: int
    service: str
    server: str
    token: int
    deadline: float


@dataclass(slots=True, kw_only=True)
class AnnounceReadiness:
    """Report to the load balancer whether this VM accepts new callers."""

    ready: bool


@dataclass(slots=True, kw_only=True)
class Log:
    """Write a log line about a decision.

    Args:
        event: name of the line.
        fields: inputs and outcome, in order.
        essential: whether it counts towards the rate limit of essential lines; other
            lines, however many, don't cause it to be left out.
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
    """End the process: the graceful shutdown is complete or its time has run out."""


Effect = (
    AcceptCaller
    | RelayCaller
    | ReportPresence
    | CloseRelays
    | RefuseCaller
    | CheckConfiguration
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
    | AskVms
    | RegisterVm
    | ProbeVm
    | RemoveVm
    | PublishConnections
    | OrderPromotion
    | AnnounceReadiness
    | Log
    | Observe
    | Stop
)
