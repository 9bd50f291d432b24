"""The reducer for deployments in which VMs connect to backend servers themselves.

It serves the line protocol of the `lines` package, and differs from `core` in how a
primary is proved to lead: see `_evidence`.

Terms of this package:

- service: a replicated database, by the name that its servers use;
- leader: the server that this VM believes to be a database's primary;
- connection holder: a VM that holds connections to backend servers. Every VM is one if
  the servers accept enough connections, see `_holders`; otherwise the remaining VMs
  relay their callers to the holders;
- job: a statement that a backend server has to run;
- floor: the minimum log position that a session's reads must see.
"""

from ._effects import (
    AcceptCaller,
    AnnounceReadiness,
    CloseBackend,
    CloseCaller,
    CloseIdleRelays,
    Effect,
    ListSuspicions,
    ListVms,
    Log,
    Observe,
    OpenBackend,
    OrderPromotion,
    PublishConnections,
    PublishSuspicion,
    ReadLeaderRecord,
    RefuseCaller,
    RelayCaller,
    ReplyCaller,
    SendCommands,
    Stop,
    WriteLeaderRecord,
)
from ._events import (
    BackendAnswered,
    BackendLost,
    BackendOpened,
    CallerClosed,
    CallerOpened,
    CallerStatement,
    ConfigurationRead,
    Event,
    HoldersUnavailable,
    LeaderRecordAnswered,
    LossReason,
    PromotionAnswered,
    PromotionOutcome,
    ServersRead,
    ShutdownRequested,
    StoreOutcome,
    SuspicionsAnswered,
    TimeAdvanced,
    VmsRead,
)
from ._holders import needs_servers
from ._reducer import compute_tick_delay, reduce
from ._relays import RelayActivity, find_silent_holders, may_give_up
from ._settings import VmSettings
from ._state import DirectState
from ._types import (
    Answer,
    Command,
    CommandKind,
    Configuration,
    Consistency,
    LeaderRecord,
    LeaderState,
    Refusal,
    Route,
    ServerEntry,
    ServerReport,
    Statement,
    StatementKind,
    Suspicion,
    TransactionState,
    VmEntry,
)

__all__ = [
    "AnnounceReadiness",
    "Answer",
    "BackendAnswered",
    "BackendLost",
    "BackendOpened",
    "CallerClosed",
    "CallerOpened",
    "CallerStatement",
    "CloseBackend",
    "CloseCaller",
    "Command",
    "CommandKind",
    "Configuration",
    "ConfigurationRead",
    "Consistency",
    "DirectState",
    "Effect",
    "CloseIdleRelays",
    "Event",
    "AcceptCaller",
    "HoldersUnavailable",
    "LeaderRecord",
    "LeaderRecordAnswered",
    "LeaderState",
    "ListSuspicions",
    "ListVms",
    "Log",
    "LossReason",
    "Observe",
    "OpenBackend",
    "OrderPromotion",
    "PromotionAnswered",
    "PromotionOutcome",
    "PublishConnections",
    "PublishSuspicion",
    "ReadLeaderRecord",
    "Refusal",
    "RefuseCaller",
    "RelayActivity",
    "RelayCaller",
    "ReplyCaller",
    "Route",
    "SendCommands",
    "ServerEntry",
    "ServerReport",
    "ServersRead",
    "ShutdownRequested",
    "Statement",
    "StatementKind",
    "Stop",
    "StoreOutcome",
    "Suspicion",
    "SuspicionsAnswered",
    "TimeAdvanced",
    "TransactionState",
    "VmEntry",
    "VmSettings",
    "VmsRead",
    "WriteLeaderRecord",
    "compute_tick_delay",
    "reduce",
    "find_silent_holders",
    "may_give_up",
    "needs_servers",
]
