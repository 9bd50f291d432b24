"""In-memory stand-in for the platform's object store and its list of VMs."""

from ._engine import MAX_VALUE_BYTES, StoreCopy, StoreEngine
from ._faults import Outage, StoreFaults
from ._server import StoreServer
from ._vm_list import VmList, VmListing, VmPresence

__all__ = [
    "Outage",
    "MAX_VALUE_BYTES",
    "StoreCopy",
    "StoreEngine",
    "StoreFaults",
    "StoreServer",
    "VmList",
    "VmListing",
    "VmPresence",
]
