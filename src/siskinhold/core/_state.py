"""The state of one VM's process, made up of the states of its components.

Each part of the state belongs to one component, whose modules its class names. The
modules of other components read it, and change it through their functions as a rule.
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
    """The identity of this process.

    Args:
        address: the VM and its ports.
        incarnation: increases with each start of the process on this VM.
        seeds: addresses of VMs to contact at the start; may be empty.
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
    """What this VM knows about another one.

    Args:
        view: the newest view of it.
        heard_at: the latest time at which it is known to have run, from its own
            messages or through other VMs.
        suspected_at: when it was first suspected, None if it is not.
        gone_at: when it was declared gone, None if it was not.
        message_at: when a message from it last arrived here.
        probed_at: when it was last probed because no such messages arrived.
        watched_at: start of the measurement of its silence, unless it was heard
            later.
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
    """Cache of `_ownership`, whose results depend only on the set of live VMs.

    Args:
        version: the membership version that it reflects.
        live: live VMs by region; None stands for all regions.
        changes: changes of the live VMs by region, each as (joined, left).
        dropped: number of older changes that were discarded, by region.
        owners: by hash key of the pool and region of the candidates: the owner, its
            rendezvous weight, and how many changes of the live VMs it reflects,
            discarded changes included.
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
    """State of `_membership`, `_gossip`, `_suspicion`, `_targets` and `_ownership`.

    Args:
        peers: the other VMs by name.
        state: this VM's own state, as it announces it.
        beat: number of the last own heartbeat.
        version: increases when the set of live VMs changes or one restarts.
        beat_at: when the last own heartbeat was sent.
        contacts: addresses from seeds and the platform's list, by VM name.
        listed_leaving: VMs that the platform's list names as leaving.
        watched: peers whose silence is measured, in order of insertion.
        changes: remaining transmissions of each changed view, the next one to
            send first.
        rotation: VMs whose views are still to be repeated in the space that
            changed views leave in heartbeats.
        neighbours: targets of heartbeats in a fleet too large to send to all.
        rotate_at: when the next neighbour is replaced.
        probe_at: when the next VM is probed at random.
        sequence: number of the last probe.
        probe_requests: for each suspected VM, the VMs that requested a probe of it,
            with the numbers of their probes.
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
    probe_requests: dict[str, dict[str, int]] = field(default_factory=dict)
    owners: OwnerCache = field(default_factory=OwnerCache)


@dataclass(slots=True, kw_only=True)
class ConfigState:
    """State of `_tickets`, `_spreading` and `_watching`.

    It holds the accepted tickets, the resulting configuration and the term records.

    Args:
        tickets: accepted tickets by number, including those after a gap.
        applied: highest number in force; all lower ones are in force too.
        applied_at: when that ticket came into force on this VM.
        groups: groups in force by name.
        databases: databases in force with their group, by database name.
        records: term records by database name.
        record_versions: store version of each term record, in the era `era`.
        era: highest era of the store known here.
        watching: whether this VM watches the store.
        version: increases when `groups` or `records` change.
        progress: sum of the reserved and the finished terms of all records; VMs
            compare it to find out which of them has newer records.
        terms_requested_at: when term records were last requested from a VM.
        started_at: when the process started.
        tickets_received: whether a peer has sent its tickets since the start.
        terms_received: whether a peer has sent its term records since the start.
        compare_terms_at: next time to compare the term records with a peer's.
        listed: whether the store has been listed since the start.
        listing: prefixes whose lists are in progress.
        list_after: earliest time of the next list.
        list_failures: consecutive failed lists.
        list_failed: whether one of the lists in progress failed.
        list_revision: lowest store revision of the lists in progress.
        list_again: whether the store may still lack objects that are known here.
        list_era: the store's era in the first answer to the lists in progress.
        tickets_requested_at: when tickets were last requested from a peer.
        tickets_sent_at: when tickets were last pushed to a VM that lagged behind,
            by VM name.
        vms_sent: content of the platform's list when it was last passed on.
        vms_sent_at: when the list was last passed on.
    """

    tickets: dict[int, ChangeTicket] = field(default_factory=dict)
    applied: int = 0
    applied_at: float = 0.0
    groups: dict[str, DatabaseGroup] = field(default_factory=dict)
    databases: dict[str, tuple[DatabaseGroup, Database]] = field(default_factory=dict)
    records: dict[str, TermRecord] = field(default_factory=dict)
    record_versions: dict[str, int] = field(default_factory=dict)
    era: int = 0
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
    list_era: int = 0
    list_again: bool = False
    tickets_requested_at: float = -math.inf
    tickets_sent_at: dict[str, float] = field(default_factory=dict)
    vms_sent: tuple = ()
    vms_sent_at: float = -math.inf


@dataclass(slots=True, kw_only=True)
class NodeState:
    """The whole state of one VM's process.

    Args:
        identity: its identity.
        random: seeded generator for every random choice.
        now: time of the event being reduced, in seconds.
        clock: logical clock for the causal order of the timeline.
        timers: scheduled actions.
        membership: state of `_membership` and its helper modules.
        config: state of `_tickets`, `_spreading` and `_watching`.
        store_calls: purpose of each unanswered store call, by call number.
        control_calls: purpose of each unanswered status query or control command,
            by call number.
        next_call: number of the next store or control call.
        health: state of `_health`.
        connections: state of `_connections` and `_unresponsive`.
        pools: state of `_pools`, `_answers` and `_owners`.
        scheduling: state of `_stragglers`, `_admission` and `_retries`.
        confirmation: state of `_confirmation`.
        sessions: state of `_sessions`, `_entries` and `_routes`.
        failover: state of `_failover`, `_attempts` and `_promotion`.
        reconciled_versions: versions of membership and config at the last
            reconciliation.
        reconcile_after: earliest time of the next reconciliation if only the
            membership changes.
        reconcile_scheduled: whether a timer for it is set.
        shutting_down: whether a graceful shutdown is in progress.
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
        """Register a store call and return its number.

        Args:
            purpose: its type selects the handler of the answer.
        """
        number = self.next_call
        self.next_call += 1
        self.store_calls[number] = purpose
        return number

    def open_control_call(self, purpose: object) -> int:
        """Register a control call and return its number.

        Args:
            purpose: its type selects the handler of the answer.
        """
        number = self.next_call
        self.next_call += 1
        self.control_calls[number] = purpose
        return number


def record(out: Effects, name: str, **fields: object) -> None:
    """Append a timeline record to the effects.

    Args:
        fields: the other fields of `Record`.
    """
    out.append(Record(name=name, **fields))
