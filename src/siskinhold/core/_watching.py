"""The start of a VM's knowledge and the watcher's duty at the store."""

from dataclasses import dataclass

from ..effects import CallStore, ReadVmList, SendPeer, UnwatchStore, WatchStore
from ..events import Started
from ..messages import TermsWanted
from ..model import VmState
from ..store import TERM_PREFIX, TICKET_PREFIX, ListObjects, StoreResult
from ._ownership import WATCHER_KEY, find_owner, is_watcher
from ._spreading import ask_at_start, is_informed
from ._state import Effects, NodeState, record
from ._targets import choose_targets
from ._timers import TimerAction

CATCH_UP_INTERVAL = 0.5
"""Seconds between two checks of what this VM lacks and of its duty."""

START_WAIT = 1.0
"""Seconds that peers have to answer a starting VM before it lists the store.

It also keeps a VM that knows no other yet from taking itself as the watcher.
"""

ASK_AT_START = 2
"""Peers asked at a time by a starting VM."""

TERMS_INTERVAL = 30.0
"""Seconds between two comparisons of the records of terms with the watcher's."""

TERMS_COMPARED = 300
"""Most records that are compared; more would cost too many bytes."""

LONE_WAIT = 5.0
"""Seconds without an informed peer after which any VM lists the store."""

LONE_RETRY_LIMIT = 60.0
"""Most seconds between two lists of a VM that is not the watcher.

All VMs of a fleet that starts during an outage of the store list it.
"""

LIST_RETRY = 0.5
"""Seconds before a failed list is repeated; doubled with each failure."""

LIST_RETRY_LIMIT = 8.0
"""Most seconds between two lists of the watcher."""

LIST_TIMEOUT = 5.0
"""Seconds that the store has to answer a list."""

GAP_LIST_INTERVAL = 5.0
"""Least seconds between two lists of a watcher that misses a ticket."""

VM_LIST_READ_INTERVAL = 1.0
"""Seconds between two reads of the platform's VM list by a watcher."""

WATCH_PREFIX = "t"
"""Prefix of the keys of tickets and of records of terms."""


@dataclass(slots=True, frozen=True)
class CatchUpDue(TimerAction):
    """The next check of what this VM lacks is due."""


@dataclass(slots=True, frozen=True)
class VmListDue(TimerAction):
    """The watcher's next read of the VM list is due."""


@dataclass(slots=True, frozen=True)
class ListPurpose:
    """A list of the store's objects under a prefix."""

    prefix: str


def start(node: NodeState, event: Started, out: Effects) -> None:
    """Ask peers for what is in force."""
    node.config.started_at = node.now
    contacts = [seed.name for seed in node.identity.seeds]
    contacts = [name for name in contacts if name != node.identity.name]
    _ask_some(node, contacts, out)
    node.timers.schedule(node.now + CATCH_UP_INTERVAL, CatchUpDue())
    node.timers.schedule(node.now, VmListDue())


def catch_up(node: NodeState, action: CatchUpDue, out: Effects) -> None:
    """Repeat unanswered questions, and take up or lay down the watch."""
    mine = node.config
    jitter = node.random.uniform(0.9, 1.1)
    node.timers.schedule(node.now + CATCH_UP_INTERVAL * jitter, CatchUpDue())
    if not is_informed(node):
        _ask_some(node, choose_targets(node) or list(node.membership.contacts), out)
    if node.now - mine.started_at < START_WAIT:
        return
    if not is_watcher(node):
        _end_watch(node, out)
        if not is_informed(node) and node.now - mine.started_at >= LONE_WAIT:
            _list_store(node, out)
        _compare_terms(node, out)
        return
    if not mine.watching:
        _list_store(node, out)
    elif max(mine.tickets, default=0) > mine.applied:
        _list_store(node, out)
        mine.list_after = max(mine.list_after, node.now + GAP_LIST_INTERVAL)


def read_vm_list(node: NodeState, action: VmListDue, out: Effects) -> None:
    """Read the platform's list, if this VM is the watcher."""
    node.timers.schedule(node.now + VM_LIST_READ_INTERVAL, VmListDue())
    if is_watcher(node):
        out.append(ReadVmList())


def take_list_answer(
    node: NodeState, purpose: ListPurpose, result: StoreResult, out: Effects
) -> bool:
    """Note the answer to a list, and start the watch after the last one.

    Returns:
        Whether the list succeeded.
    """
    mine = node.config
    mine.listing.discard(purpose.prefix)
    if result.failure is not None:
        _note_failure(node, result, out)
        return False
    revision = result.revision
    if mine.list_revision is not None:
        revision = min(mine.list_revision, revision)
    mine.list_revision = revision
    if mine.listing or mine.list_failed:
        return True
    mine.listed = True
    mine.list_failures = 0
    if is_watcher(node) and not mine.watching:
        mine.watching = True
        out.append(WatchStore(prefix=WATCH_PREFIX, after=revision))
        detail = (("after", revision),)
        record(out, "watch_started", cause="watcher of the region", detail=detail)
    return True


def _compare_terms(node: NodeState, out: Effects) -> None:
    """Ask a peer for its records from time to time, as a push may be lost."""
    mine = node.config
    if node.now < mine.compare_terms_at or len(mine.records) > TERMS_COMPARED:
        return
    mine.compare_terms_at = node.now + TERMS_INTERVAL * node.random.uniform(0.8, 1.2)
    region = node.identity.address.region
    watcher = find_owner(node, WATCHER_KEY, region)
    if watcher is not None:
        out.append(SendPeer(vm=watcher, message=TermsWanted()))


def _list_store(node: NodeState, out: Effects) -> None:
    mine = node.config
    if mine.listing or node.now < mine.list_after:
        return
    mine.list_revision = None
    mine.list_failed = False
    for prefix in (TICKET_PREFIX, TERM_PREFIX):
        mine.listing.add(prefix)
        call = node.open_store_call(ListPurpose(prefix))
        operation = ListObjects(prefix=prefix)
        effect = CallStore(call=call, operation=operation, timeout=LIST_TIMEOUT)
        out.append(effect)


def _note_failure(node: NodeState, result: StoreResult, out: Effects) -> None:
    mine = node.config
    if mine.list_failed:
        return
    mine.list_failed = True
    limit = LIST_RETRY_LIMIT if is_watcher(node) else LONE_RETRY_LIMIT
    delay = min(LIST_RETRY * 2**mine.list_failures, limit)
    mine.list_failures = min(mine.list_failures + 1, 10)
    mine.list_after = node.now + delay * node.random.uniform(0.5, 1.0)
    retry = round(mine.list_after - node.now, 3)
    detail = (("failure", result.failure.value), ("retry_s", retry))
    record(out, "store_list_failed", cause="store", detail=detail)


def _end_watch(node: NodeState, out: Effects) -> None:
    if not node.config.watching:
        return
    node.config.watching = False
    out.append(UnwatchStore())
    record(out, "watch_ended", cause="another VM watches")


def _ask_some(node: NodeState, names: list[str], out: Effects) -> None:
    peers = node.membership.peers
    names = [
        name
        for name in names
        if name not in peers or peers[name].view.state is not VmState.GONE
    ]
    if len(names) > ASK_AT_START:
        names = node.random.sample(names, ASK_AT_START)
    ask_at_start(node, names, out)
