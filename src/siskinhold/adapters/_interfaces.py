"""Interfaces between the runtime and its adapters.

An adapter carries out effects and reports events through the `emit` function that it
is started with. It raises no exception from an effect: a failure is reported as an
event, or logged if the reducer does not wait for a result.
"""

import abc
from collections.abc import Callable

from .. import effects
from ..events import Event
from ..messages import Envelope

Emit = Callable[[Event], None]


class Callers(abc.ABC):
    """Accepts callers, emits their events and sends them replies."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """

    @abc.abstractmethod
    def reply(self, effect: effects.ReplyCaller) -> None:
        """Send a statement's reply to its caller."""

    @abc.abstractmethod
    def close(self, effect: effects.CloseCaller) -> None:
        """Close a caller's connection."""

    @abc.abstractmethod
    def stop_listening(self) -> None:
        """Stop accepting callers; existing connections stay open."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop listening and close all connections."""


class Backends(abc.ABC):
    """Statement connections and control connections to backend servers."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Get ready to carry out effects."""

    @abc.abstractmethod
    def perform(
        self,
        effect: (
            effects.OpenBackend
            | effects.RunStatement
            | effects.CloseBackend
            | effects.QueryStatus
            | effects.QueryActivity
            | effects.FenceServer
            | effects.PromoteServer
            | effects.FollowServer
        ),
    ) -> None:
        """Start an effect without waiting; its result is emitted as an event."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Store(abc.ABC):
    """The platform's object store and its list of VMs."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Get ready to carry out effects."""

    @abc.abstractmethod
    def call(self, effect: effects.CallStore) -> None:
        """Start a call; its result is emitted as a `StoreAnswered` event."""

    @abc.abstractmethod
    def watch(self, effect: effects.WatchStore) -> None:
        """Start a watch, replacing the current one."""

    @abc.abstractmethod
    def unwatch(self) -> None:
        """End the watch, if there is one."""

    @abc.abstractmethod
    def read_vm_list(self) -> None:
        """Read the list of VMs; emits a `VmListReported` event on success."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Peers(abc.ABC):
    """Sends messages between VMs. Messages may be lost but not altered."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """

    @abc.abstractmethod
    def set_address(self, vm: str, host: str, port: int) -> None:
        """Set the address of a VM, replacing an earlier one."""

    @abc.abstractmethod
    def send(self, vm: str, envelope: Envelope) -> None:
        """Send without waiting; a message that can't be sent is dropped."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Recorder(abc.ABC):
    """Writes timeline records and metric values."""

    @abc.abstractmethod
    def record(self, effect: effects.Record, *, clock: int) -> None:
        """Append a timeline record with the VM's logical clock."""

    @abc.abstractmethod
    def observe(self, effect: effects.Observe) -> None:
        """Add a value to a metric."""
