"""The start of a VM's knowledge and the watcher's duty at the store."""

from dataclasses import dataclass

from ..effects import CallStore, ReadVmList, SendPeer, UnwatchStore, WatchStore
from ..events import Started
from ..messages import TermsWanted
from ..model import VmState
from ..store import TERM_PREFIX, TICKET_PREFIX, ListObjects, StoreResult
from ._ownership import WATCHER_KEY, find_owner, is_watcher
from ._spreading import has_initial_config, request_initial_config
from ._state import Effects, NodeState, record
from ._targets import choose_targets
from ._timers import TimerAction

CATCH_UP_INTERVAL = 0.5
"""Seconds between two checks of what this VM lacks and of its duty."""

START_DELAY = 1.0
"""Seconds that peers have to answer a starting VM before it lists the store.

It also keeps a VM that knows no other yet from taking itself as the watcher.
"""

MAX_REQUESTED_PEERS = 2
"""Peers asked at a time by a starting VM."""

TERM_COMPARISON_INTERVAL = 30.0
"""Seconds between two comparisons of the records of terms with the watcher's."""

MAX_COMPARED_RECORDS = 300
"""Most records that are compared; more would cost too many bytes."""

FALLBACK_LIST_DELAY = 5.0
"""Seconds without an informed peer after which any VM lists the store."""

MAX_FALLBACK_LIST_DELAY = 60.0
"""Most seconds between two lists of a VM that is not the watcher.

All VMs of a fleet that starts during an outage of the store list it.
"""

LIST_RETRY_DELAY = 0.5
"""Seconds before a failed list is repeated; doubled with each failure."""

MAX_LIST_RETRY_DELAY = 8.0
"""Most seconds between two lists of the watcher."""

LIST_TIMEOUT = 5.0
"""Seconds that the store has to answer a list."""

MIN_GAP_LIST_INTERVAL = 5.0
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
class ListCall:
    """A list of the store's objects under a prefix."""

    prefix: str


def start(node: NodeState, event: Started, out: Effects) -> None:
    """Ask peers for what is in force."""
    node.config.started_at = node.now
    contacts = [seed.name for seed in node.identity.seeds]
    contacts = [name for name in contacts if name != node.identity.name]
    _request_from_peers(node, contacts, out)
    node.timers.schedule(node.now + CATCH_UP_INTERVAL, CatchUpDue())
    node.timers.schedule(node.now, VmListDue())


def catch_up(node: NodeState, action: CatchUpDue, out: Effects) -> None:
    """Repeat unanswered questions, and take up or lay down the watch."""
    config = node.config
    jitter = node.random.uniform(0.9, 1.1)
    node.timers.schedule(node.now + CATCH_UP_INTERVAL * jitter, CatchUpDue())
    if not has_initial_config(node):
        _request_from_peers(
            node, choose_targets(node) or list(node.membership.contacts), out
        )
    if node.now - config.started_at < START_DELAY:
        return
    if not is_watcher(node):
        _end_watch(node, out)
        if (
            not has_initial_config(node)
            and node.now - config.started_at >= FALLBACK_LIST_DELAY
        ):
            _list_store(node, out)
        _request_term_records(node, out)
        return
    if not config.watching:
        _list_store(node, out)
    elif max(config.tickets, default=0) > config.applied:
        _list_store(node, out)
        config.list_after = max(config.list_after, node.now + MIN_GAP_LIST_INTERVAL)


def read_vm_list(node: NodeState, action: VmListDue, out: Effects) -> None:
    """Read the platform's list, if this VM is the watcher."""
    node.timers.schedule(node.now + VM_LIST_READ_INTERVAL, VmListDue())
    if is_watcher(node):
        out.append(ReadVmList())


def handle_list_answer(
    node: NodeState, purpose: ListCall, result: StoreResult, out: Effects
) -> bool:
    """Note the answer to a list, and start the watch after the last one.

    Returns:
        Whether the list succeeded.
    """
    config = node.config
    config.listing.discard(purpose.prefix)
    if result.failure is not None:
        _record_list_failure(node, result, out)
        return False
    revision = result.revision
    if config.list_revision is not None:
        revision = min(config.list_revision, revision)
    config.list_revision = revision
    if config.listing or config.list_failed:
        return True
    config.listed = True
    config.list_failures = 0
    if is_watcher(node) and not config.watching:
        config.watching = True
        out.append(WatchStore(prefix=WATCH_PREFIX, after=revision))
        detail = (("after", revision),)
        record(out, "watch_started", cause="watcher of the region", detail=detail)
    return True


def _request_term_records(node: NodeState, out: Effects) -> None:
    """Ask a peer for its records from time to time, as a push may be lost."""
    config = node.config
    if node.now < config.terms_at or len(config.records) > MAX_COMPARED_RECORDS:
        return
    config.terms_at = node.now + TERM_COMPARISON_INTERVAL * node.random.uniform(
        0.8, 1.2
    )
    region = node.identity.address.region
    watcher = find_owner(node, WATCHER_KEY, region)
    if watcher is not None:
        out.append(SendPeer(vm=watcher, message=TermsWanted()))


def _list_store(node: NodeState, out: Effects) -> None:
    config = node.config
    if config.listing or node.now < config.list_after:
        return
    config.list_revision = None
    config.list_failed = False
    for prefix in (TICKET_PREFIX, TERM_PREFIX):
        config.listing.add(prefix)
        call = node.open_store_call(ListCall(prefix))
        operation = ListObjects(prefix=prefix)
        effect = CallStore(call=call, operation=operation, timeout=LIST_TIMEOUT)
        out.append(effect)


def _record_list_failure(node: NodeState, result: StoreResult, out: Effects) -> None:
    config = node.config
    if config.list_failed:
        return
    config.list_failed = True
    limit = MAX_LIST_RETRY_DELAY if is_watcher(node) else MAX_FALLBACK_LIST_DELAY
    delay = min(LIST_RETRY_DELAY * 2**config.list_failures, limit)
    config.list_failures = min(config.list_failures + 1, 10)
    config.list_after = node.now + delay * node.random.uniform(0.5, 1.0)
    retry = round(config.list_after - node.now, 3)
    detail = (("failure", result.failure.value), ("retry_s", retry))
    record(out, "store_list_failed", cause="store", detail=detail)


def _end_watch(node: NodeState, out: Effects) -> None:
    if not node.config.watching:
        return
    node.config.watching = False
    out.append(UnwatchStore())
    record(out, "watch_ended", cause="another VM watches")


def _request_from_peers(node: NodeState, names: list[str], out: Effects) -> None:
    peers = node.membership.peers
    names = [
        name
        for name in names
        if name not in peers or peers[name].view.state is not VmState.GONE
    ]
    if len(names) > MAX_REQUESTED_PEERS:
        names = node.random.sample(names, MAX_REQUESTED_PEERS)
    request_initial_config(node, names, out)
