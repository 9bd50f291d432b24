"""The state of one VM's process: the sum of the states of its subjects.

Each subject's module owns its part of the state and is the only one that
changes it. Other modules read it or call that module's functions.
"""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from ..effects import Effect, Record
from ..model import (
    ChangeTicket,
    Database,
    DatabaseGroup,
    TermRecord,
    VmAddress,
    VmState,
    VmView,
)
from ._confirmation_state import ConfirmationState
from ._connection_state import ConnectionsState
from ._failover_state import FailoverState
from ._health_state import HealthState
from ._pool_state import PoolsState
from ._scheduling_state import SchedulingState
from ._session_state import SessionsState
from ._timers import Timers

Effects = list[Effect]


@dataclass(slots=True, kw_only=True)
class Identity:
    """Who this process is.

    Args:
        address: the VM and its ports.
        incarnation: grows with each start of the process on this VM.
        seeds: addresses of VMs to greet at the start; may be empty.
    """

    address: VmAddress
    incarnation: int
    seeds: tuple[VmAddress, ...] = ()

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.address.name


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another VM as this one sees it.

    Args:
        view: the newest view of it.
        heard_at: when it last showed life, directly or through others.
        suspected_at: when it was first suspected, None if it is not.
        gone_at: when it was taken as gone, None if it is not.
        message_at: when a message of it last arrived here.
        probed_at: when it was last probed for the lack of such messages.
        watched_at: from when on its silence counts.
    """

    view: VmView
    heard_at: float
    suspected_at: float | None = None
    gone_at: float | None = None
    message_at: float = -math.inf
    probed_at: float = 0.0
    watched_at: float = -math.inf


@dataclass(slots=True, kw_only=True)
class OwnerCache:
    """Cache of `_ownership`. It depends only on the set of live VMs.

    Args:
        version: the membership's version that it reflects.
        live: live VMs by region; None stands for all regions.
        changes: for each region, how its live VMs changed: joined, left.
        dropped: for each region, the number of changes no longer kept.
        owners: owner, its weight and the number of changes it reflects, by
            database and region.
    """

    version: int = -1
    live: dict[str | None, tuple[str, ...]] = field(default_factory=dict)
    changes: dict[str | None, list[tuple[frozenset[str], frozenset[str]]]] = field(
        default_factory=dict
    )
    dropped: dict[str | None, int] = field(default_factory=dict)
    owners: dict[tuple[str, str | None], tuple[str, int, int]] = field(
        default_factory=dict
    )


@dataclass(slots=True, kw_only=True)
class MembershipState:
    """State of `_membership`.

    Args:
        peers: the other VMs by name.
        state: this VM's own state, as it announces it.
        beat: counter of own heartbeats.
        version: grows when the set of live VMs changes or one restarts.
        beat_at: when the last own heartbeat was sent.
        contacts: addresses from seeds and the platform's list, by VM name.
        listed_leaving: VMs that the platform's list names as leaving.
        watched: peers whose silence counts, in order of insertion.
        changes: sends left of each changed view; the next to send comes first.
        rotation: names still to be repeated in spare room of heartbeats.
        neighbours: targets of heartbeats in a fleet too large to send to all.
        rotate_at: when the next neighbour is replaced.
        probe_at: when the next VM is probed at random.
        sequence: number of the last probe.
        relayed: VMs that asked about a suspect, with their probes' numbers.
        owners: cache of `_ownership`.
    """

    peers: dict[str, Peer] = field(default_factory=dict)
    state: VmState = VmState.LIVE
    beat: int = 0
    version: int = 0
    beat_at: float = 0.0
    contacts: dict[str, VmAddress] = field(default_factory=dict)
    listed_leaving: frozenset[str] = frozenset()
    watched: dict[str, None] = field(default_factory=dict)
    changes: OrderedDict[str, int] = field(default_factory=OrderedDict)
    rotation: list[str] = field(default_factory=list)
    neighbours: list[str] = field(default_factory=list)
    rotate_at: float = 0.0
    probe_at: float = 0.0
    sequence: int = 0
    relayed: dict[str, dict[str, int]] = field(default_factory=dict)
    owners: OwnerCache = field(default_factory=OwnerCache)


@dataclass(slots=True, kw_only=True)
class ConfigState:
    """State of `_tickets`: the tickets accepted so far and their sum.

    Args:
        tickets: accepted tickets by number, those ahead of a gap included.
        applied: highest number in force; all lower ones are in force too.
        applied_at: when that one came into force here.
        groups: groups in force by name.
        databases: databases in force with their group, by database name.
        records: records of terms by database name.
        record_versions: store version of each record.
        watching: whether this VM watches the store.
        version: grows when `groups` or `records` change.
        progress: sum of the terms reserved and finished in all records.
        terms_requested_at: when a VM was last asked for its records.
        started_at: when the process started.
        tickets_received: whether a peer sent its tickets since the start.
        terms_received: whether a peer sent its records of terms since the start.
        compare_terms_at: when the records of terms are compared with a peer's again.
        listed: whether the store was listed since the start.
        listing: prefixes of lists under way.
        list_after: earliest time of the next list.
        list_failures: failed lists in a row.
        list_failed: whether a list under way failed.
        list_revision: lowest revision that the lists under way reflect.
        tickets_requested_at: when a peer was last asked for tickets.
        tickets_sent_at: when tickets were last pushed to a VM that was behind.
        vms_sent: the VMs of the platform's list that were passed on.
        vms_sent_at: when the list was last passed on.
    """

    tickets: dict[int, ChangeTicket] = field(default_factory=dict)
    applied: int = 0
    applied_at: float = 0.0
    groups: dict[str, DatabaseGroup] = field(default_factory=dict)
    databases: dict[str, tuple[DatabaseGroup, Database]] = field(default_factory=dict)
    records: dict[str, TermRecord] = field(default_factory=dict)
    record_versions: dict[str, int] = field(default_factory=dict)
    watching: bool = False
    version: int = 0
    progress: int = 0
    terms_requested_at: float = -math.inf
    started_at: float = 0.0
    tickets_received: bool = False
    terms_received: bool = False
    compare_terms_at: float = 0.0
    listed: bool = False
    listing: set[str] = field(default_factory=set)
    list_after: float = 0.0
    list_failures: int = 0
    list_failed: bool = False
    list_revision: int | None = None
    tickets_requested_at: float = -math.inf
    tickets_sent_at: dict[str, float] = field(default_factory=dict)
    vms_sent: tuple = ()
    vms_sent_at: float = -math.inf


@dataclass(slots=True, kw_only=True)
class NodeState:
    """All that one VM's process remembers.

    Args:
        identity: who it is.
        random: seeded generator for every random choice.
        now: time of the event being reduced, in seconds.
        clock: logical clock for the causal order of the time line.
        timers: what falls due.
        membership: state of `_membership`.
        config: state of `_tickets`.
        store_calls: purpose of each open store call by number.
        control_calls: purpose of each open status query or order by number.
        next_call: number of the next store or control call.
        health: state of `_health`.
        connections: state of `_connections`.
        pools: state of `_pools`.
        scheduling: state of `_stragglers`, `_admission` and `_retries`.
        confirmation: state of `_confirmation`.
        sessions: state of `_sessions`.
        failover: state of `_failover`, `_attempts` and `_promotion`.
        reconciled_versions: versions of membership and config last reconciled with.
        reconcile_after: earliest time of a reconciliation with the view alone.
        reconcile_scheduled: whether a timer for it is set.
        shutting_down: whether a graceful shutdown is under way.
        shutdown_began: when it began.
    """

    identity: Identity
    random: random.Random
    now: float = 0.0
    clock: int = 0
    timers: Timers = field(default_factory=Timers)
    membership: MembershipState = field(default_factory=MembershipState)
    config: ConfigState = field(default_factory=ConfigState)
    store_calls: dict[int, object] = field(default_factory=dict)
    control_calls: dict[int, object] = field(default_factory=dict)
    next_call: int = 1
    health: HealthState = field(default_factory=HealthState)
    connections: ConnectionsState = field(default_factory=ConnectionsState)
    pools: PoolsState = field(default_factory=PoolsState)
    scheduling: SchedulingState = field(default_factory=SchedulingState)
    confirmation: ConfirmationState = field(default_factory=ConfirmationState)
    sessions: SessionsState = field(default_factory=SessionsState)
    failover: FailoverState = field(default_factory=FailoverState)
    reconciled_versions: tuple[int, int] = (0, 0)
    reconcile_after: float = 0.0
    reconcile_scheduled: bool = False
    shutting_down: bool = False
    shutdown_began: float = 0.0

    def open_store_call(self, purpose: object) -> int:
        """Return a new call number whose answer is handled by `purpose`'s type."""
        number = self.next_call
        self.next_call += 1
        self.store_calls[number] = purpose
        return number

    def open_control_call(self, purpose: object) -> int:
        """Return a new control call number, likewise."""
        number = self.next_call
        self.next_call += 1
        self.control_calls[number] = purpose
        return number


def record(out: Effects, name: str, **fields: object) -> None:
    """Append a time-line record to the effects; `fields` are `Record`'s."""
    out.append(Record(name=name, **fields))
