"""Reports of connection holders to each other that they run, as datagrams."""

import asyncio
import logging
from collections.abc import Callable

import msgspec

from ..direct import DirectState, Event, PresenceHeard, ReportPresence
from ._clock import read_clock

MAX_REPORT = 4096
"""Bytes of the longest report that is read."""

_log = logging.getLogger(__name__)


class PresenceReport(msgspec.Struct, kw_only=True, frozen=True):
    """A holder's report that it runs.

    Args:
        vm: its name.
        serving: whether it serves client accounts.
        demands: operations a second that callers ask of it, by account.
        heard: names of the holders whose reports it receives.
    """

    vm: str
    serving: bool
    demands: dict[str, float] = {}
    heard: tuple[str, ...] = ()


class PresencePort(asyncio.DatagramProtocol):
    """Sends this VM's reports and emits those of other VMs.

    A report counts only if it comes from the address under which its VM is registered.

    Args:
        host: IP address to listen on.
        port: UDP port to listen on, 0 for none; the others use the same one.
        state: the core's state, which is only read.
        emit: takes the events.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        state: DirectState,
        emit: Callable[[Event], None],
    ) -> None:
        self._host = host
        self._port = port
        self._state = state
        self._emit = emit
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: if the address can't be bound.
        """
        if not self._port:
            return
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )

    def stop(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def send(self, effect: ReportPresence) -> None:
        """Send a report; one that is lost is replaced by the next."""
        if self._transport is None:
            return
        report = PresenceReport(
            vm=self._state.vm,
            serving=effect.serving,
            demands=effect.demands,
            heard=effect.heard,
        )
        data = msgspec.json.encode(report)
        for vm in effect.vms:
            self._transport.sendto(data, (vm.host, vm.information_port))

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Emit a report; ignore what is no report of a registered VM."""
        if len(data) > MAX_REPORT:
            return
        try:
            report = msgspec.json.decode(data, type=PresenceReport)
        except msgspec.DecodeError:
            return
        for vm in self._state.vms:
            if vm.name == report.vm and vm.host == address[0]:
                event = PresenceHeard(
                    at=read_clock(),
                    vm=report.vm,
                    serving=report.serving,
                    demands=report.demands,
                    heard=report.heard,
                )
                self._emit(event)
                return

    def error_received(self, error: Exception) -> None:
        """Log that a report could not be sent; its VM may be down."""
        _log.debug("event=report_unsent error=%r", error)
