"""Which VMs are live, and which of them owns what."""

import xxhash

from ..model import VmState
from ._state import NodeState


def find_owner(node: NodeState, database: str, region: str) -> str | None:
    """Return the VM that owns the pool of a database in a region.

    It is the VM with the highest rendezvous weight among the live VMs of the
    region, or of all regions if that one has none; None if no VM is live.
    """
    names = _list_live(node, region) or _list_live(node, None)
    best = None
    best_weight = -1
    for name in names:
        weight = xxhash.xxh64_intdigest(f"{database}/{region}/{name}")
        if weight > best_weight:
            best, best_weight = name, weight
    return best


def _list_live(node: NodeState, region: str | None) -> list[str]:
    names = []
    me = node.identity.address
    if node.membership.state is VmState.LIVE and region in (None, me.region):
        names.append(me.name)
    for name, peer in node.membership.peers.items():
        if peer.view.state is not VmState.LIVE:
            continue
        if region is not None and peer.view.address.region != region:
            continue
        names.append(name)
    return names


EVENTS: dict = {}
MESSAGES: dict = {}
TIMERS: dict = {}
STORE_ANSWERS: dict = {}
CONTROL_ANSWERS: dict = {}
