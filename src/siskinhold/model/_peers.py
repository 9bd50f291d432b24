"""VM addresses and membership state, as exchanged between VMs."""

import enum

from msgspec import Struct


class VmState(enum.Enum):
    """Membership state of a VM in the view of another VM.

    `LEAVING` VMs are being drained: they finish their requests and get no new ones.
    `GONE` VMs are regarded as lost or removed.
    """

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmAddress(Struct, frozen=True, kw_only=True, array_like=True):
    """Name, location and ports of a VM.

    Encoded as an array, because each heartbeat carries several addresses and field
    names would double their size.

    Args:
        name: unique name.
        host: IP address.
        peer_port: TCP port for messages of other VMs.
        operator_port: TCP port of the operator interface; 0 for none.
        region: region name.
        availability_zone: availability zone name.
    """

    name: str
    host: str
    peer_port: int
    operator_port: int = 0
    region: str
    availability_zone: str


class VmView(Struct, frozen=True, kw_only=True, array_like=True):
    """State of one VM, as carried by a heartbeat; encoded as an array.

    Args:
        address: address of the VM.
        incarnation: number that increases with each start of the VM's process.
        state: its membership state in the sender's view.
        beat: counter that the VM increases with each of its heartbeats.
        ticket: highest change ticket number in force on the VM
            (`ConfigState.applied` there).
        terms: progress of the term records that the VM knows
            (`ConfigState.progress` there): a sum that increases with each term
            reserved or finished.
    """

    address: VmAddress
    incarnation: int
    state: VmState
    beat: int
    ticket: int
    terms: int = 0
