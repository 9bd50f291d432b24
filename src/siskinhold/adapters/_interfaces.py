"""Interfaces between the runtime and the outside.

An adapter carries out effects and reports events through the `emit` function
it is given. It never raises out of an effect: failures are events.
"""

import abc
from collections.abc import Callable

from .. import effects
from ..events import Event
from ..messages import Envelope

Emit = Callable[[Event], None]


class Callers(abc.ABC):
    """Listens for callers; emits their events and carries replies to them."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Start to listen.

        Raises:
            OSError: if the address can't be bound.
        """

    @abc.abstractmethod
    def reply(self, effect: effects.ReplyCaller) -> None:
        """Answer a statement."""

    @abc.abstractmethod
    def close(self, effect: effects.CloseCaller) -> None:
        """Close a caller's connection."""

    @abc.abstractmethod
    def stop_listening(self) -> None:
        """Take no new callers; connected ones stay."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Stop to listen and close all connections."""


class Backends(abc.ABC):
    """Work and control connections to backend servers."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Prepare to carry out effects."""

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
        """Begin to carry out an effect; its result is an event."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Store(abc.ABC):
    """The platform's object store and its list of VMs."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Prepare to carry out effects."""

    @abc.abstractmethod
    def call(self, effect: effects.CallStore) -> None:
        """Begin a call; its result is a `StoreAnswered` event."""

    @abc.abstractmethod
    def watch(self, effect: effects.WatchStore) -> None:
        """Begin a watch, in place of any other."""

    @abc.abstractmethod
    def unwatch(self) -> None:
        """End the watch, if there is one."""

    @abc.abstractmethod
    def read_vm_list(self) -> None:
        """Read the list of VMs; its result is a `VmListReported` event."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Peers(abc.ABC):
    """Carries messages between VMs. Messages may be lost, never altered."""

    @abc.abstractmethod
    async def start(self, emit: Emit) -> None:
        """Start to listen.

        Raises:
            OSError: if the address can't be bound.
        """

    @abc.abstractmethod
    def set_address(self, vm: str, host: str, port: int) -> None:
        """Note where a VM is reached; replaces what was known of it."""

    @abc.abstractmethod
    def send(self, vm: str, envelope: Envelope) -> None:
        """Send without waiting; drops the message if the VM is not known."""

    @abc.abstractmethod
    async def stop(self) -> None:
        """Close all connections."""


class Recorder(abc.ABC):
    """Takes time-line records and metric values."""

    @abc.abstractmethod
    def record(self, effect: effects.Record, *, clock: int) -> None:
        """Append a time-line record with the VM's logical clock."""

    @abc.abstractmethod
    def observe(self, effect: effects.Observe) -> None:
        """Add a value to a metric."""
