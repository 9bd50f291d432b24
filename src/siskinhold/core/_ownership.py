"""Ownership of pools by rendezvous hashing over the live VMs, with a cache.

A cached lookup costs one dictionary access. After a change of the live VMs, a
cached owner is compared only with the VMs that joined. All live VMs are searched
only if the cached owner left or is older than the kept changes.
"""

import xxhash

from ..model import VmState
from ._state import NodeState, OwnerCache

MAX_CACHED_CHANGES = 64
"""Number of changes of the live VMs kept per region.

A cached owner that is older than these is searched among all live VMs.
"""

WATCHER_KEY = "#watcher"
"""Key that replaces the database name in the choice of a region's watcher."""


def find_owner(node: NodeState, database: str, region: str) -> str | None:
    """Return the VM that owns the pool of a database in a region.

    It is the VM with the highest rendezvous weight among the live VMs of the
    region, or of all regions if that one has none; None if no VM is live.
    """
    cache = _refresh(node)
    scope = region if cache.live.get(region) else None
    names = cache.live[scope]
    if not names:
        return None
    key = f"{database}/{region}/"
    count = cache.dropped.get(scope, 0) + len(cache.changes.get(scope, ()))
    entry = cache.owners.get((key, scope))
    if entry is not None and entry[2] == count:
        return entry[0]
    best, weight = _update_owner(cache, scope, key, entry)
    cache.owners[key, scope] = (best, weight, count)
    return best


def list_live(node: NodeState, region: str | None) -> tuple[str, ...]:
    """Return the names of the live VMs of a region, or of all regions for None.

    VMs that are leaving, by their own announcement or by the platform's list, are
    excluded, this VM included.
    """
    return _refresh(node).live.get(region, ())


def is_watcher(node: NodeState) -> bool:
    """Return whether this VM watches the store for its region."""
    region = node.identity.address.region
    return find_owner(node, WATCHER_KEY, region) == node.identity.name


def _update_owner(cache: OwnerCache, scope, key: str, entry) -> tuple[str, int]:
    """Return the owner of a pool and its weight, from the cached entry if possible."""
    dropped = cache.dropped.get(scope, 0)
    if entry is None or entry[2] < dropped:
        return _find_heaviest(key, cache.live[scope])
    best, weight, seen = entry
    candidates: set[str] = set()
    for joined, left in cache.changes[scope][seen - dropped :]:
        if best in left:
            return _find_heaviest(key, cache.live[scope])
        candidates |= joined
        candidates -= left
    return _find_heaviest(key, candidates, best, weight)


def _find_heaviest(
    key: str, names, best: str = "", best_weight: int = -1
) -> tuple[str, int]:
    """Return the name with the highest weight for a key, and that weight.

    Args:
        best: name to compare the others with; empty for none.
        best_weight: its weight.
    """
    digest = xxhash.xxh64_intdigest
    for name in names:
        weight = digest((key + name).encode())
        if weight > best_weight or (weight == best_weight and name < best):
            best, best_weight = name, weight
    return best, best_weight


def _refresh(node: NodeState) -> OwnerCache:
    """Return the cache, updated if the membership has changed."""
    cache = node.membership.owners
    if cache.version == node.membership.version:
        return cache
    live = _group_live(node)
    for region in live.keys() | cache.live.keys():
        _record_change(cache, region, live.get(region, ()))
    cache.live = live
    cache.version = node.membership.version
    return cache


def _record_change(cache: OwnerCache, region: str | None, names: tuple) -> None:
    """Store which live VMs of a region have joined and left."""
    before = frozenset(cache.live.get(region, ()))
    after = frozenset(names)
    if before == after:
        return
    changes = cache.changes.setdefault(region, [])
    changes.append((after - before, before - after))
    if len(changes) > MAX_CACHED_CHANGES:
        del changes[0]
        cache.dropped[region] = cache.dropped.get(region, 0) + 1


def _group_live(node: NodeState) -> dict[str | None, tuple[str, ...]]:
    """Return the sorted names of the live VMs by region, and of all under None."""
    membership = node.membership
    groups: dict[str | None, list[str]] = {None: []}
    me = node.identity.address
    if membership.state is VmState.LIVE and me.name not in membership.listed_leaving:
        groups[None].append(me.name)
        groups[me.region] = [me.name]
    for name, peer in membership.peers.items():
        if peer.view.state is not VmState.LIVE or name in membership.listed_leaving:
            continue
        groups[None].append(name)
        groups.setdefault(peer.view.address.region, []).append(name)
    return {region: tuple(sorted(names)) for region, names in groups.items()}
