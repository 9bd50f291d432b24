"""The state of one VM's process: the sum of the states of its subjects.

Each subject's module owns its part of the state and is the only one that
changes it. Other modules read it or call that module's functions.
"""

import random
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
        heard_at: when its beat last grew, directly or through others.
        suspected_at: when it was first suspected, None if it is not.
    """

    view: VmView
    heard_at: float
    suspected_at: float | None = None


@dataclass(slots=True, kw_only=True)
class MembershipState:
    """State of `_membership`.

    Args:
        peers: the other VMs by name.
        state: this VM's own state, as it announces it.
        beat: counter of own heartbeats.
        version: grows when the set of live VMs changes.
    """

    peers: dict[str, Peer] = field(default_factory=dict)
    state: VmState = VmState.LIVE
    beat: int = 0
    version: int = 0


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
    shutting_down: bool = False

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
