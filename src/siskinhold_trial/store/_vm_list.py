"""The platform's list of VMs, which shows changes after a lag."""

import enum
from collections import deque

from msgspec import Struct

from siskinhold.model import VmAddress


class VmPresence(enum.Enum):
    """The state of a VM in the platform's list; a gone VM is no longer listed."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class VmListing(Struct, frozen=True, kw_only=True):
    """The list as the platform shows it.

    Args:
        live: the VMs in service, leaving ones included.
        leaving: names of the VMs that will be removed soon.
    """

    live: tuple[VmAddress, ...] = ()
    leaving: tuple[str, ...] = ()


class VmList:
    """Accepts changes immediately and shows each of them after a lag.

    Args:
        lag: seconds until a change shows; a new value applies to later changes.

    >>> vms = VmList(lag=2.0)
    >>> vm = VmAddress(
    ...     name="a", host="127.0.0.1", peer_port=1, region="r", availability_zone="z"
    ... )
    >>> vms.register(vm, now=0.0)
    >>> len(vms.read(now=1.9).live), len(vms.read(now=2.0).live)
    (0, 1)
    """

    def __init__(self, *, lag: float = 0.0) -> None:
        self.lag = lag
        self._registered: dict[str, VmAddress] = {}
        self._pending: deque[tuple[float, str, VmAddress, VmPresence]] = deque()
        self._visible: dict[str, tuple[VmAddress, VmPresence]] = {}

    def register(self, address: VmAddress, *, now: float) -> None:
        """Add a VM to the list as live."""
        self._registered[address.name] = address
        self._change(address, VmPresence.LIVE, now)

    def set_presence(self, name: str, presence: VmPresence, *, now: float) -> bool:
        """Change a registered VM's presence; return False for an unknown one."""
        address = self._registered.get(name)
        if address is None:
            return False
        self._change(address, presence, now)
        return True

    def read(self, *, now: float) -> VmListing:
        """Return the list as shown at time `now`."""
        while self._pending and self._pending[0][0] <= now:
            _, name, address, presence = self._pending.popleft()
            if presence is VmPresence.GONE:
                self._visible.pop(name, None)
                continue
            self._visible[name] = (address, presence)
        live = tuple(address for address, _ in self._visible.values())
        leaving = tuple(
            name
            for name, (_, presence) in self._visible.items()
            if presence is VmPresence.LEAVING
        )
        return VmListing(live=live, leaving=leaving)

    def _change(self, address: VmAddress, presence: VmPresence, now: float) -> None:
        due = now + self.lag
        if self._pending:
            # After the lag was lowered, a change must not overtake an older one.
            due = max(due, self._pending[-1][0])
        self._pending.append((due, address.name, address, presence))
