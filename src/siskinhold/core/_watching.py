"""Initial tickets and term records of a VM, and the watcher's reads of the store."""

from dataclasses import dataclass

from ..effects import CallStore, ReadVmList, SendPeer, UnwatchStore, WatchStore
from ..events import Started, StoreRestored
from ..messages import TermsWanted
from ..model import VmState
from ..store import TERM_PREFIX, TICKET_PREFIX, ListObjects, StoreResult
from ._ownership import WATCHER_KEY, find_owner, is_watcher
from ._spreading import has_initial_config, request_initial_config
from ._state import Effects, NodeState, record
from ._targets import choose_targets
from ._timers import TimerAction

CATCH_UP_INTERVAL = 0.5
"""Average seconds between two checks for missing data and for the watcher's role."""

START_DELAY = 1.0
"""Seconds during which a starting VM waits for peers before it lists the store.

The delay also prevents a VM that knows no other VM yet from acting as the watcher.
"""

MAX_REQUESTED_PEERS = 2
"""Maximum number of peers from which a starting VM requests data at a time."""

TERM_COMPARISON_INTERVAL = 30.0
"""Average seconds between two requests for the watcher's term records."""

MAX_COMPARED_RECORDS = 300
"""Number of records above which they are not requested; the answer would be large."""

FALLBACK_LIST_DELAY = 5.0
"""Seconds after the start at which a VM without initial data lists the store."""

MAX_FALLBACK_LIST_DELAY = 60.0
"""Maximum seconds between two list attempts of a VM that is not the watcher.

Longer than for the watcher, because all VMs of a fleet that starts during an
outage of the store list it.
"""

LIST_RETRY_DELAY = 0.5
"""Maximum seconds before a failed list is retried; doubled with each failure."""

MAX_LIST_RETRY_DELAY = 8.0
"""Maximum seconds between two list attempts of the watcher."""

LIST_TIMEOUT = 5.0
"""Timeout of a list in seconds."""

MIN_GAP_LIST_INTERVAL = 5.0
"""Minimum seconds between two lists of a watcher with a gap in its tickets."""

VM_LIST_READ_INTERVAL = 1.0
"""Seconds between two reads of the platform's VM list by a watcher."""

WATCH_PREFIX = "t"
"""Common prefix of the keys of tickets and term records."""


@dataclass(slots=True, frozen=True)
class CatchUpDue(TimerAction):
    """The next check for missing data and for the watcher's role is due."""


@dataclass(slots=True, frozen=True)
class VmListDue(TimerAction):
    """The watcher's next read of the VM list is due."""


@dataclass(slots=True, frozen=True)
class ListCall:
    """Purpose of a store call: list the objects under a prefix."""

    prefix: str


def handle_start(node: NodeState, event: Started, out: Effects) -> None:
    """Request tickets and term records from seed VMs, and start the timers."""
    node.config.started_at = node.now
    contacts = [seed.name for seed in node.identity.seeds]
    contacts = [name for name in contacts if name != node.identity.name]
    _request_from_peers(node, contacts, out)
    node.timers.schedule(node.now + CATCH_UP_INTERVAL, CatchUpDue())
    node.timers.schedule(node.now, VmListDue())


def catch_up(node: NodeState, action: CatchUpDue, out: Effects) -> None:
    """Repeat unanswered requests, and start or end the watch of the store.

    The watcher lists the store before it watches it, and again while a ticket is
    missing here or an object may be missing there. Any other VM lists it only if it
    has no initial data after `FALLBACK_LIST_DELAY`.
    """
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
    elif config.list_again or max(config.tickets, default=0) > config.applied:
        _list_store(node, out)
        config.list_after = max(config.list_after, node.now + MIN_GAP_LIST_INTERVAL)


def read_vm_list(node: NodeState, action: VmListDue, out: Effects) -> None:
    """Read the platform's VM list, if this VM is the watcher."""
    node.timers.schedule(node.now + VM_LIST_READ_INTERVAL, VmListDue())
    if is_watcher(node):
        out.append(ReadVmList())


def handle_list_answer(
    node: NodeState, purpose: ListCall, result: StoreResult, out: Effects
) -> bool:
    """Record the result of a list; after the last one, the watcher starts its watch.

    Returns:
        Whether the list succeeded.
    """
    config = node.config
    config.listing.discard(purpose.prefix)
    if result.failure is not None:
        _record_list_failure(node, result, out)
        return False
    revision = result.revision
    if config.list_revision is None:
        config.list_era = result.era
    else:
        revision = min(config.list_revision, revision)
    config.list_revision = revision
    if result.era != config.list_era:
        # The store was restored between the answers, so no watch can follow on both.
        config.list_failed = True
    if config.listing or config.list_failed:
        return True
    config.listed = True
    config.list_failures = 0
    if is_watcher(node) and not config.watching:
        config.watching = True
        out.append(WatchStore(prefix=WATCH_PREFIX, after=revision, era=result.era))
        detail = (("after", revision), ("era", result.era))
        record(out, "watch_started", cause="watcher of the region", detail=detail)
    return True


def note_era(node: NodeState, era: int) -> bool:
    """Discard the known versions if the store was restored since they were read.

    Returns:
        Whether versions of this era can be compared with the known ones.
    """
    config = node.config
    if era > config.era:
        config.era = era
        config.record_versions.clear()
    return era == config.era


def handle_restored_store(node: NodeState, event: StoreRestored, out: Effects) -> None:
    """List the restored store again, as the watch's revision means nothing there."""
    config = node.config
    config.era = max(config.era, event.era)
    config.record_versions.clear()
    config.watching = False
    config.list_after = node.now
    record(out, "store_restored", cause="store", detail=(("era", event.era),))
    if is_watcher(node):
        _list_store(node, out)


def _request_term_records(node: NodeState, out: Effects) -> None:
    """Request the watcher's term records periodically, as a push may be lost."""
    config = node.config
    if node.now < config.compare_terms_at or len(config.records) > MAX_COMPARED_RECORDS:
        return
    config.compare_terms_at = node.now + TERM_COMPARISON_INTERVAL * node.random.uniform(
        0.8, 1.2
    )
    region = node.identity.address.region
    watcher = find_owner(node, WATCHER_KEY, region)
    if watcher is not None:
        out.append(SendPeer(vm=watcher, message=TermsWanted()))


def _list_store(node: NodeState, out: Effects) -> None:
    """List the tickets and term records, unless a list is in progress or not due."""
    config = node.config
    if config.listing or node.now < config.list_after:
        return
    config.list_revision = None
    config.list_failed = False
    config.list_again = False
    for prefix in (TICKET_PREFIX, TERM_PREFIX):
        config.listing.add(prefix)
        call = node.open_store_call(ListCall(prefix))
        operation = ListObjects(prefix=prefix)
        effect = CallStore(call=call, operation=operation, timeout=LIST_TIMEOUT)
        out.append(effect)


def _record_list_failure(node: NodeState, result: StoreResult, out: Effects) -> None:
    """Delay the next list, more with each consecutive failure."""
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
    """End the watch of the store, as another VM is the watcher."""
    if not node.config.watching:
        return
    node.config.watching = False
    out.append(UnwatchStore())
    record(out, "watch_ended", cause="another VM watches")


def _request_from_peers(node: NodeState, names: list[str], out: Effects) -> None:
    """Request missing initial data from a few of the VMs that are not gone."""
    peers = node.membership.peers
    names = [
        name
        for name in names
        if name not in peers or peers[name].view.state is not VmState.GONE
    ]
    if len(names) > MAX_REQUESTED_PEERS:
        names = node.random.sample(names, MAX_REQUESTED_PEERS)
    request_initial_config(node, names, out)
