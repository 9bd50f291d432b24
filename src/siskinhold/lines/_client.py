"""Interface to the services of the platform that the direct core needs."""

import abc
from dataclasses import dataclass

from ..direct import (
    Configuration,
    LeaderRecord,
    PromotionOutcome,
    ServerEntry,
    StoreOutcome,
    Suspicion,
    VmEntry,
)


class StoreUnavailable(Exception):
    """A call to the store had no usable answer; a change may still have been made."""


class HistoryGone(Exception):
    """The store no longer has the history from a revision on."""


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaderResult:
    """The result of a call on a leader record.

    Args:
        record: the record in the store, None if there is none.
        revision: its revision, 0 if there is none.
    """

    outcome: StoreOutcome
    record: LeaderRecord | None = None
    revision: int = 0


class PlatformClient(abc.ABC):
    """Calls of the platform. None decides, repeats or remembers anything."""

    @abc.abstractmethod
    async def read_configuration(
        self, *, fresh: bool
    ) -> tuple[int, Configuration | None]:
        """Return the store's revision and the configuration, None if there is none.

        Args:
            fresh: whether it must be up to date; if not, it costs less.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def watch_configuration(
        self, revision: int, wait: float
    ) -> tuple[int, Configuration | None]:
        """Wait for a configuration newer than a revision.

        Args:
            wait: greatest time to wait, in seconds.

        Returns:
            The revision to go on from, and the configuration if one came.

        Raises:
            StoreUnavailable: without a usable answer.
            HistoryGone: if the configuration must be read anew.
        """

    @abc.abstractmethod
    async def list_servers(self, *, fresh: bool) -> tuple[int, tuple[ServerEntry, ...]]:
        """Return the store's revision and the readable entries of backend servers.

        Args:
            fresh: whether the list must be up to date; if not, it costs less.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def read_leader(self, service: str) -> LeaderResult:
        """Return the up-to-date leader record of a database."""

    @abc.abstractmethod
    async def write_leader(
        self, service: str, record: LeaderRecord, revision: int
    ) -> LeaderResult:
        """Write a leader record if its revision is the expected one, 0 for none."""

    @abc.abstractmethod
    async def publish_suspicion(self, suspicion: Suspicion) -> None:
        """Write a suspicion, in place of this VM's older one.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def list_suspicions(self, service: str) -> tuple[Suspicion, ...]:
        """Return the suspicions of a database.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def register_vm(self, entry: VmEntry) -> None:
        """Enter a VM in the list of VMs.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def list_vms(self, *, fresh: bool) -> tuple[tuple[VmEntry, ...], int]:
        """Return the registered VMs and the published number of connections.

        The number is 0 if none was published.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def publish_connections(self, connections: int) -> None:
        """Write the least number of connections that a server takes, for all VMs.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def order_promotion(
        self, service: str, server: str, *, vm: str, token: int, timeout: float
    ) -> PromotionOutcome:
        """Have a server promoted.

        Args:
            vm: the VM that gives the order.
            token: fence token.
            timeout: greatest time until the answer, in seconds.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
