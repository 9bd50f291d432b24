"""The VMs of the system as they see one another."""

import enum

from msgspec import Struct


class VmState(enum.Enum):
    """How a VM is seen. `LEAVING` VMs finish their work and get nothing new."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmAddress(Struct, frozen=True, kw_only=True, array_like=True):
    """A VM and where to reach it.

    Encoded as an array: heartbeats carry several, and field names would double
    their size.

    Args:
        name: unique name.
        host: IP address.
        peer_port: TCP port for other VMs.
        operator_port: TCP port for operators; 0 for none.
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
    """What a heartbeat tells of one VM; encoded as an array.

    Args:
        address: the VM.
        incarnation: grows with each start of the process.
        state: its state in the sender's view.
        beat: counter that the VM itself raises with each heartbeat.
        ticket: highest change ticket number in force on it.
        terms: progress of the records of terms it knows; grows with each one.
    """

    address: VmAddress
    incarnation: int
    state: VmState
    beat: int
    ticket: int
    terms: int = 0
