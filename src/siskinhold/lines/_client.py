"""Interface to the platform's services that the direct core uses."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from ..direct import (
    Configuration,
    LeaderRecord,
    PromotionOutcome,
    Revision,
    ServerEntry,
    StoreOutcome,
    Suspicion,
    VmEntry,
)


class StoreUnavailable(Exception):
    """A call to the store had no usable answer; its change may still have been made."""


class HistoryGone(Exception):
    """The store lacks the changes since a revision, or was restored since then."""


@dataclass(slots=True, kw_only=True, frozen=True)
class LeaderResult:
    """The result of a read or write of a leader record.

    Args:
        outcome: how the call ended.
        record: the record in the store, None if there is none.
        revision: its revision, with the number 0 if there is none, in the era of the
            answer.
    """

    outcome: StoreOutcome
    record: LeaderRecord | None = None
    revision: Revision = Revision()


class PlatformClient(abc.ABC):
    """Calls to the platform's services, without retries or decisions.

    The store's era is a number that rises whenever the store is restored from a copy.
    """

    @abc.abstractmethod
    def follow_era(self, report: Callable[[int], None]) -> None:
        """Report each newer era that an answer of the store shows.

        Args:
            report: takes the era, before the result of that call is returned.
        """

    @abc.abstractmethod
    async def read_configuration(
        self, *, fresh: bool
    ) -> tuple[Revision, Configuration | None]:
        """Return the store's revision and the configuration, None if there is none.

        Args:
            fresh: whether the answer must be up to date; a stale read costs less.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def watch_configuration(
        self, revision: Revision, wait: float
    ) -> tuple[Revision, Configuration | None]:
        """Wait for a configuration newer than a revision.

        Args:
            revision: store revision after which changes are reported.
            wait: maximum time to wait, in seconds.

        Returns:
            The revision to continue from, and the new configuration, None if the wait
            ended without one.

        Raises:
            StoreUnavailable: without a usable answer.
            HistoryGone: if the revision is too old or of another era, and the
                configuration must be read.
        """

    @abc.abstractmethod
    async def list_servers(
        self, *, fresh: bool
    ) -> tuple[Revision, tuple[ServerEntry, ...]]:
        """Return the store's revision and the readable entries of backend servers.

        Args:
            fresh: whether the list must be up to date; a stale read costs less.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def read_leader(
        self, service: str, era: int, *, fresh: bool = True
    ) -> LeaderResult:
        """Return the leader record of a database in one era of the store.

        Args:
            fresh: whether a record that is seconds old is not allowed.
        """

    @abc.abstractmethod
    async def write_leader(
        self, service: str, record: LeaderRecord, revision: Revision
    ) -> LeaderResult:
        """Write the leader record of an era if the stored revision matches.

        Args:
            revision: expected revision, with the number 0 for no record; its era
                selects the record. One of another era is never replaced, even if the
                store carries out the call after it was restored.
        """

    @abc.abstractmethod
    async def publish_suspicion(self, suspicion: Suspicion) -> None:
        """Write a suspicion, replacing this VM's older one of the same database.

        A call that is carried out late does not replace a newer one.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def list_suspicions(self) -> tuple[Suspicion, ...]:
        """Return the suspicions of all databases.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def register_vm(self, entry: VmEntry, *, fresh: bool) -> None:
        """Add a VM to the list of VMs, or replace its entry if it differs.

        Args:
            fresh: whether the present entry may not be read from stale data.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def remove_vm(self, entry: VmEntry) -> None:
        """Remove a VM from the list of VMs, unless its entry differs by now.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def list_vms(self, *, fresh: bool) -> tuple[tuple[VmEntry, ...], int]:
        """Return the registered VMs and the published connection limit.

        The limit is 0 if none was published.

        Args:
            fresh: whether the list must be up to date; a stale read costs less.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def publish_connections(self, connections: int) -> None:
        """Publish the lowest connection limit of any backend server to all VMs.

        Args:
            connections: the limit.

        Raises:
            StoreUnavailable: without a usable answer.
        """

    @abc.abstractmethod
    async def order_promotion(
        self, service: str, server: str, *, vm: str, token: int, deadline: float
    ) -> PromotionOutcome:
        """Request the promotion of a server.

        Args:
            vm: the VM that requests it.
            token: fence token.
            deadline: time of the runtime's clock after which nothing may be sent.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
