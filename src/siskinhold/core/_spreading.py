"""Distribution of tickets, term records and the VM list among VMs."""

import msgspec

from ..effects import SendPeer
from ..events import PeerReceived, VmListReported
from ..messages import TermsPushed, TermsWanted, TicketsPushed, TicketsWanted, VmsPushed
from ..model import ChangeTicket, TermRecord
from ._ownership import find_owner, is_watcher, list_live
from ._state import Effects, NodeState

MAX_PUSH_RECEIVERS = 16
"""Maximum number of VMs to which a change is pushed; the others get it by gossip."""

MAX_RELAY_RECEIVERS = 6
"""Maximum number of VMs to which a VM relays a new term record in a large fleet.

Heartbeats don't show which record a VM lacks. With 6 random receivers per VM, all
but about 0.3 % of the VMs get the record.
"""

MAX_PUSH_BYTES = 256 * 1024
"""Maximum bytes of tickets or records in one message, unless one is larger."""

MAX_PUSH_MESSAGES = 8
"""Maximum number of messages that answer one request for tickets."""

TICKET_REQUEST_INTERVAL = 0.3
"""Minimum seconds between two requests for missing tickets."""

TERM_REQUEST_INTERVAL = 0.5
"""Minimum seconds between two requests for term records."""

UNREQUESTED_PUSH_DELAY = 1.0
"""Seconds after which missing tickets are pushed to a VM that did not request them.

Such a VM may not be a heartbeat target of any VM that has them.
"""

VM_LIST_INTERVAL = 10.0
"""Seconds after which the watcher repeats the VM list without a change."""

MAX_VMS_PER_PUSH = 200
"""Maximum number of addresses in one message with a part of the VM list."""


def request_tickets(node: NodeState, vm: str, out: Effects) -> None:
    """Request from a VM the tickets after the highest one in force here."""
    node.config.tickets_requested_at = node.now
    wanted = TicketsWanted(first=node.config.applied + 1)
    out.append(SendPeer(vm=vm, message=wanted))


def compare_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Compare the highest ticket of a heartbeat's sender with this VM's.

    If the sender is ahead, the missing tickets are requested from it. If it stays
    behind, it is sent the tickets that it lacks. Newer term records of the sender
    are requested as well.
    """
    config = node.config
    sender = event.envelope.sender
    views = event.envelope.message.views
    if not views or views[0].address.name != sender:
        return
    _compare_terms(node, sender, views[0].terms, out)
    theirs = views[0].ticket
    if (
        theirs > config.applied
        and node.now - config.tickets_requested_at >= TICKET_REQUEST_INTERVAL
    ):
        request_tickets(node, sender, out)
    if (
        theirs >= config.applied
        or node.now - config.applied_at < UNREQUESTED_PUSH_DELAY
    ):
        config.tickets_sent_at.pop(sender, None)
        return
    if (
        node.now - config.tickets_sent_at.get(sender, config.applied_at)
        < UNREQUESTED_PUSH_DELAY
    ):
        return
    config.tickets_sent_at[sender] = node.now
    _send_tickets(node, sender, theirs + 1, out)


def _compare_terms(node: NodeState, vm: str, theirs: int, out: Effects) -> None:
    """Request the term records of a VM whose records are newer.

    A pushed record can be lost, and a VM may start after it was pushed.
    """
    config = node.config
    if (
        theirs <= config.progress
        or node.now - config.terms_requested_at < TERM_REQUEST_INTERVAL
    ):
        return
    config.terms_requested_at = node.now
    out.append(SendPeer(vm=vm, message=TermsWanted()))


def answer_tickets(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Send the tickets that a VM requests, or an empty message if it has all.

    A VM without the initial configuration does not answer, so that the sender
    requests the tickets from other VMs.
    """
    if not has_initial_config(node):
        return
    sender = event.envelope.sender
    _send_tickets(node, sender, event.envelope.message.first, out)


def answer_terms(node: NodeState, event: PeerReceived, out: Effects) -> None:
    """Send all term records if this VM has the initial configuration."""
    if not has_initial_config(node):
        return
    records = [node.config.records[name] for name in sorted(node.config.records)]
    for part in _split(records) or [()]:
        message = TermsPushed(records=tuple(part))
        out.append(SendPeer(vm=event.envelope.sender, message=message))


def request_initial_config(node: NodeState, vms: list[str], out: Effects) -> None:
    """Request tickets and term records from VMs, unless a peer already sent them."""
    for vm in vms:
        if not node.config.tickets_received:
            request_tickets(node, vm, out)
        if not node.config.terms_received:
            out.append(SendPeer(vm=vm, message=TermsWanted()))


def has_initial_config(node: NodeState) -> bool:
    """Return whether this VM has got its tickets and term records since its start.

    They come from peers or from a list of the store.
    """
    return node.config.listed or (
        node.config.tickets_received and node.config.terms_received
    )


def push_tickets(node: NodeState, tickets: list[ChangeTicket], out: Effects) -> None:
    """Push new tickets from the watcher to the VMs that it serves."""
    if not tickets:
        return
    ordered = sorted(tickets, key=lambda ticket: ticket.number)
    for vm in _choose_receivers(node, MAX_PUSH_RECEIVERS):
        for part in _split(ordered):
            out.append(SendPeer(vm=vm, message=TicketsPushed(tickets=tuple(part))))


def push_term_records(
    node: NodeState,
    records: list[TermRecord],
    out: Effects,
    *,
    relay: bool = False,
) -> None:
    """Push new term records to the owners of their pools and to other VMs.

    The owners are those of this VM's region. Relayed records are not sent to them
    specifically.

    Args:
        relay: whether the records came from another VM. In a small fleet they are
            not relayed, because that VM has pushed them to all VMs.
    """
    if not records:
        return
    served = _list_served(node)
    if relay and len(served) <= MAX_PUSH_RECEIVERS:
        return
    receivers = set(
        _choose_receivers(node, MAX_RELAY_RECEIVERS if relay else MAX_PUSH_RECEIVERS)
    )
    if not relay:
        region = node.identity.address.region
        owners = {find_owner(node, item.database, region) for item in records}
        receivers |= owners - {None, node.identity.name}
    for vm in sorted(receivers):
        for part in _split(records):
            out.append(SendPeer(vm=vm, message=TermsPushed(records=tuple(part))))


def relay_vm_list(node: NodeState, event: VmListReported, out: Effects) -> None:
    """Relay the platform's VM list, if this VM is the watcher.

    A bounded number of VMs get the list, which are all of a small fleet. Of a list
    above `MAX_VMS_PER_PUSH` only the added and leaving VMs are sent, to the leaving
    VMs as well. The other VMs learn of changes by gossip.
    """
    config = node.config
    if not is_watcher(node):
        return
    known = (frozenset(event.live), frozenset(event.leaving))
    changed = known != config.vms_sent
    if not changed and node.now - config.vms_sent_at < VM_LIST_INTERVAL:
        return
    receivers = set(_choose_receivers(node, MAX_PUSH_RECEIVERS))
    live = event.live
    if len(event.live) > MAX_VMS_PER_PUSH:
        before = config.vms_sent[0] if config.vms_sent else frozenset()
        live = tuple(vm for vm in event.live if vm not in before)[:MAX_VMS_PER_PUSH]
        receivers |= set(event.leaving) & node.membership.peers.keys()
    config.vms_sent = known
    config.vms_sent_at = node.now
    for vm in sorted(receivers - {node.identity.name}):
        message = VmsPushed(live=live, leaving=event.leaving)
        out.append(SendPeer(vm=vm, message=message))


def _list_served(node: NodeState) -> list[str]:
    """Return the VMs that this region's watcher serves.

    They are the VMs of its region and of regions without a live VM.
    """
    live = list_live(node, None)
    own_region = node.identity.address.region
    names = []
    for name, peer in node.membership.peers.items():
        region = peer.view.address.region
        if region != own_region and list_live(node, region):
            continue
        if peer.gone_at is None:
            names.append(name)
    return names if live else []


def _choose_receivers(node: NodeState, limit: int) -> list[str]:
    """Return the VMs that this VM serves, at most `limit` chosen at random."""
    names = _list_served(node)
    if len(names) <= limit:
        return names
    return node.random.sample(names, limit)


def _send_tickets(node: NodeState, vm: str, first: int, out: Effects) -> None:
    """Send the tickets in force from number `first` on, in a few messages at most."""
    tickets = []
    for number in range(max(first, 1), node.config.applied + 1):
        tickets.append(node.config.tickets[number])
    for part in (_split(tickets) or [()])[:MAX_PUSH_MESSAGES]:
        out.append(SendPeer(vm=vm, message=TicketsPushed(tickets=tuple(part))))


def _split(items) -> list[list]:
    """Split items into parts of bounded encoded size."""
    parts: list[list] = []
    size = 0
    for item in items:
        length = len(msgspec.msgpack.encode(item))
        if not parts or size + length > MAX_PUSH_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(item)
        size += length
    return parts
