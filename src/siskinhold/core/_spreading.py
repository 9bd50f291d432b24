"""How tickets, records of terms and the VM list get from VM to VM."""

import msgspec

from ..effects import SendPeer
from ..events import PeerReceived, VmListReported
from ..messages import TermsPushed, TermsWanted, TicketsPushed, TicketsWanted, VmsPushed
from ..model import ChangeTicket, TermRecord
from ._ownership import find_owner, is_watcher, list_live
from ._state import Effects, NodeState

PUSH_LIMIT = 16
"""VMs to which a watcher pushes a change; the others hear of it by gossip."""

RELAY_LIMIT = 6
"""VMs to which a VM of a large fleet passes on a new record of terms.

No heartbeat shows who lacks a record. With 6 random receivers each, all but
about 0.3 % of the VMs get it.
"""

PUSH_BYTES = 256 * 1024
"""Bytes of tickets or records in one message, unless one alone is larger."""

PUSH_MESSAGES = 8
"""Messages with which one request for tickets is answered."""

ASK_INTERVAL = 0.3
"""Seconds between two requests for missing tickets."""

TERMS_INTERVAL = 0.5
"""Seconds between two requests for records of terms."""

BEHIND_TIME = 1.0
"""Seconds after which tickets are pushed to a VM that did not ask for them.

Such a VM may be nobody's target of heartbeats and so hear of no ticket.
"""

VM_LIST_INTERVAL = 10.0
"""Seconds after which the watcher repeats the VM list without a change."""

VMS_PER_PUSH = 200
"""Addresses in one message with a part of the VM list."""


def ask_for_tickets(node: NodeState, vm: str, out: Effects) -> None:
    """Ask a VM for the tickets after the highest one in force here."""
    node.config.tickets_requested_at = node.now
    wanted = TicketsWanted(first=node.config.applied + 1)
    out.append(SendPeer(vm=vm, message=wanted))


def compare_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Compare a heartbeat's ticket number with the own one.

    A VM that is ahead is asked. One that stays behind is sent what it lacks.
    """
    mine = node.config
    sender = event.envelope.sender
    views = event.envelope.message.views
    if not views or views[0].address.name != sender:
        return
    _compare_terms(node, sender, views[0].terms, out)
    theirs = views[0].ticket
    if theirs > mine.applied and node.now - mine.tickets_requested_at >= ASK_INTERVAL:
        ask_for_tickets(node, sender, out)
    if theirs >= mine.applied or node.now - mine.applied_at < BEHIND_TIME:
        mine.tickets_sent_at.pop(sender, None)
        return
    if node.now - mine.tickets_sent_at.get(sender, mine.applied_at) < BEHIND_TIME:
        return
    mine.tickets_sent_at[sender] = node.now
    _send_tickets(node, sender, theirs + 1, out)


def _compare_terms(node: NodeState, vm: str, theirs: int, out: Effects) -> None:
    """Ask a VM that knows more of the records of terms for them.

    A pushed record can be lost, and a VM may start after it was pushed.
    """
    mine = node.config
    if theirs <= mine.progress or node.now - mine.terms_requested_at < TERMS_INTERVAL:
        return
    mine.terms_requested_at = node.now
    out.append(SendPeer(vm=vm, message=TermsWanted()))


def answer_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Send the tickets that a VM asks for; none if it has them all.

    A VM that is not informed itself stays silent, so that the other one asks on.
    """
    if not is_informed(node):
        return
    sender = event.envelope.sender
    _send_tickets(node, sender, event.envelope.message.first, out)


def answer_terms(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Send all records of terms, unless this VM is not informed itself."""
    if not is_informed(node):
        return
    records = [node.config.records[name] for name in sorted(node.config.records)]
    for part in _split(records) or [()]:
        message = TermsPushed(records=tuple(part))
        out.append(SendPeer(vm=event.envelope.sender, message=message))


def ask_at_start(node: NodeState, vms: list[str], out: Effects) -> None:
    """Ask VMs for the tickets and records of terms that were not sent yet."""
    for vm in vms:
        if not node.config.tickets_received:
            ask_for_tickets(node, vm, out)
        if not node.config.terms_received:
            out.append(SendPeer(vm=vm, message=TermsWanted()))


def is_informed(node: NodeState) -> bool:
    """Return whether this VM got all that is in force, from peers or the store."""
    return node.config.listed or (
        node.config.tickets_received and node.config.terms_received
    )


def push_tickets(node: NodeState, tickets: list[ChangeTicket], out: Effects) -> None:
    """Push new tickets to the VMs that this watcher serves."""
    if not tickets:
        return
    ordered = sorted(tickets, key=lambda ticket: ticket.number)
    for vm in _choose_receivers(node, PUSH_LIMIT):
        for part in _split(ordered):
            out.append(SendPeer(vm=vm, message=TicketsPushed(tickets=tuple(part))))


def push_records(
    node: NodeState,
    records: list[TermRecord],
    out: Effects,
    *,
    relay: bool = False,
) -> None:
    """Push new records of terms to the owners and to other VMs.

    Args:
        relay: whether they came from another VM; in a small fleet that one has
            pushed them to all already.
    """
    if not records:
        return
    served = _list_served(node)
    if relay and len(served) <= PUSH_LIMIT:
        return
    receivers = set(_choose_receivers(node, RELAY_LIMIT if relay else PUSH_LIMIT))
    if not relay:
        region = node.identity.address.region
        owners = {find_owner(node, item.database, region) for item in records}
        receivers |= owners - {None, node.identity.name}
    for vm in sorted(receivers):
        for part in _split(records):
            out.append(SendPeer(vm=vm, message=TermsPushed(records=tuple(part))))


def pass_vm_list(node: NodeState, event: VmListReported, out: Effects) -> None:
    """Pass the platform's list on from the watcher: to all VMs if they are few.

    In a large fleet only what changed is passed on, to a bounded number of VMs
    and to those that leave; the others hear of it by gossip.
    """
    mine = node.config
    if not is_watcher(node):
        return
    known = (frozenset(event.live), frozenset(event.leaving))
    changed = known != mine.vms_sent
    if not changed and node.now - mine.vms_sent_at < VM_LIST_INTERVAL:
        return
    receivers = set(_choose_receivers(node, PUSH_LIMIT))
    live = event.live
    if len(event.live) > VMS_PER_PUSH:
        before = mine.vms_sent[0] if mine.vms_sent else frozenset()
        live = tuple(vm for vm in event.live if vm not in before)[:VMS_PER_PUSH]
        receivers |= set(event.leaving) & node.membership.peers.keys()
    mine.vms_sent = known
    mine.vms_sent_at = node.now
    for vm in sorted(receivers - {node.identity.name}):
        message = VmsPushed(live=live, leaving=event.leaving)
        out.append(SendPeer(vm=vm, message=message))


def _list_served(node: NodeState) -> list[str]:
    """Return the VMs that hear from this region's watcher.

    They are those of its region and of regions without a live VM.
    """
    live = list_live(node, None)
    mine = node.identity.address.region
    names = []
    for name, peer in node.membership.peers.items():
        region = peer.view.address.region
        if region != mine and list_live(node, region):
            continue
        if peer.gone_at is None:
            names.append(name)
    return names if live else []


def _choose_receivers(node: NodeState, limit: int) -> list[str]:
    names = _list_served(node)
    if len(names) <= limit:
        return names
    return node.random.sample(names, limit)


def _send_tickets(node: NodeState, vm: str, first: int, out: Effects) -> None:
    tickets = []
    for number in range(max(first, 1), node.config.applied + 1):
        tickets.append(node.config.tickets[number])
    for part in (_split(tickets) or [()])[:PUSH_MESSAGES]:
        out.append(SendPeer(vm=vm, message=TicketsPushed(tickets=tuple(part))))


def _split(items) -> list[list]:
    """Split items into parts of bounded encoded size."""
    parts: list[list] = []
    size = 0
    for item in items:
        length = len(msgspec.msgpack.encode(item))
        if not parts or size + length > PUSH_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return parts
