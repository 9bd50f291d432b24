"""Connections of callers over the line protocol."""

import asyncio
import contextlib
import functools
import logging
import socket
from collections.abc import Callable

from ..direct import (
    AcceptCaller,
    CallerLimits,
    CloseCaller,
    CloseRelays,
    Event,
    HoldersUnavailable,
    RefuseCaller,
    RelayCaller,
    ReplyCaller,
    VmEntry,
    compute_caller_limits,
    find_silent_holders,
)
from ..listener import BACKLOG, open_listener
from ._caller_protocol import CallerProtocol
from ._clock import read_clock
from ._codec import LineCodec
from ._memory import MemoryAccount
from ._reachability import is_reachable

FIRST_LINE_TIMEOUT = 5.0
"""Seconds within which a caller must send its first line; callers give up after 2 s."""

SILENCE_CHECK_INTERVAL = 1.0
"""Seconds between two searches for callers that have not sent one."""

RELAY_CHECK_INTERVAL = 0.2
"""Seconds between two searches for holders that owe an answer."""

EXIT_PERIOD = 0.2
"""Seconds that callers have to take what was written before the process ends."""

CLOSE_PERIOD = 0.05
"""Seconds that callers then have to close their connections."""

EXIT_CHECK_INTERVAL = 0.01
"""Seconds between two checks whether they have."""

_log = logging.getLogger(__name__)

Emit = Callable[[Event], None]


class LineCallers:
    """Listens for callers; parses their lines to events and encodes the replies.

    Args:
        host: IP address to listen on.
        port: port to listen on.
        relay_port: port for callers that other VMs relay, 0 for none.
        codec: parses callers' lines and encodes replies.
        limit: maximum number of file descriptors for callers. A caller takes one, and
            one that is relayed takes two.
        listener: socket that already listens on the port; by default one is opened.
        limits: limits on what callers make the process hold.
        observe: called with the name, the value and the label of a metric.
        memory: account of what the process holds; by default one is created.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        relay_port: int,
        codec: LineCodec,
        limit: int,
        listener: socket.socket | None = None,
        limits: CallerLimits = compute_caller_limits(),
        observe: Callable[[str, float, str], None] | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._relay_port = relay_port
        self._listener = listener
        self.codec = codec
        self.limit = limit
        self.limits = limits
        self._observe = observe
        if memory is None:
            memory = MemoryAccount(limit=limits.memory, observe=self.observe)
        self.memory = memory
        self.connections: dict[int, CallerProtocol] = {}
        self.open: set[CallerProtocol] = set()
        self.relayed = 0
        self.refusing = False
        self._next = 1
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task] = set()
        self.emit: Emit | None = None

    async def start(self, emit: Emit) -> None:
        """Start listening.

        Args:
            emit: takes the events of all connections.

        Raises:
            OSError: if an address can't be bound.
        """
        self.emit = emit
        if self._listener is None:
            self._listener = open_listener(self._host, self._port)
        await self._serve(self._listener, relayed=False)
        if self._relay_port:
            listener = open_listener(self._host, self._relay_port)
            await self._serve(listener, relayed=True)

    async def _serve(self, listener: socket.socket, *, relayed: bool) -> None:
        """Accept connections on a listening socket."""
        server = await asyncio.get_running_loop().create_server(
            functools.partial(CallerProtocol, callers=self, relayed=relayed),
            sock=listener,
            backlog=BACKLOG,
        )
        self._servers.append(server)

    def allocate_session(self) -> int:
        """Return an unused session number."""
        number = self._next
        self._next += 1
        return number

    @property
    def is_full(self) -> bool:
        """Whether no descriptor is left for a further caller."""
        return len(self.open) + self.relayed >= self.limit

    def observe(self, metric: str, value: float = 1, label: str = "") -> None:
        """Add a value to a metric."""
        if self._observe is not None:
            self._observe(metric, value, label)

    async def watch_silent_callers(self) -> None:
        """Close connections whose caller has stopped; never returns.

        They take descriptors that other callers need.
        """
        while True:
            await asyncio.sleep(SILENCE_CHECK_INTERVAL)
            now = read_clock()
            silent = []
            for connection in self.open:
                if connection.awaits_first_line(now - FIRST_LINE_TIMEOUT):
                    silent.append(connection)
            for connection in silent:
                connection.close()
            if silent:
                _log.warning("event=silent_callers_closed count=%d", len(silent))
            self._close_stalled(now)
            self.observe("held_bytes", self.memory.total)

    def _close_stalled(self, now: float) -> None:
        """Close connections whose caller has stopped in the middle of something."""
        closed: dict[str, list[str]] = {}
        for connection in list(self.open):
            reason = connection.find_stall(now)
            if not reason:
                continue
            closed.setdefault(reason, []).append(connection.peer)
            self.observe("stalled_callers_total", 1, reason)
            connection.abort()
        for reason, peers in closed.items():
            _log.warning(
                "event=stalled_callers_closed reason=%s count=%d first=%s",
                reason,
                len(peers),
                peers[0],
            )

    def accept(self, effect: AcceptCaller) -> None:
        """Accept a caller's connection."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.accept(effect.version)

    def relay(self, effect: RelayCaller) -> None:
        """Start to relay a caller's connection to a connection holder."""
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        task = asyncio.get_running_loop().create_task(connection.relay(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_relays(self, effect: CloseRelays) -> None:
        """Close relays for a shutdown."""
        for connection in list(self.connections.values()):
            connection.close_relay(effect.closing)

    async def watch_relays(self) -> None:
        """Give up the relays of holders that don't answer; never returns."""
        while True:
            await asyncio.sleep(RELAY_CHECK_INTERVAL)
            relays = []
            for connection in self.connections.values():
                if connection.relay_connection is not None:
                    relays.append(connection.relay_connection)
            holders = {relay.holder.name: relay.holder for relay in relays}
            activities = [relay.activity for relay in relays]
            silent = find_silent_holders(activities, read_clock())
            checks = [self._check_holder(holders[name]) for name in silent]
            await asyncio.gather(*checks)

    async def _check_holder(self, holder: VmEntry) -> None:
        """Give up the relays of a silent holder if its machine can't be reached."""
        if await is_reachable(holder):
            return
        self.emit(HoldersUnavailable(at=read_clock(), silent=(holder.name,)))
        ended = kept = 0
        for connection in list(self.connections.values()):
            relay = connection.relay_connection
            if relay is None or relay.holder.name != holder.name:
                continue
            if relay.give_up():
                ended += 1
            else:
                kept += 1
        _log.warning(
            "event=relays_given_up holder=%s ended=%d kept=%d", holder.name, ended, kept
        )

    def refuse_callers(self) -> None:
        """Listen no more, and refuse the callers that have not named a database."""
        self.refusing = True
        for server in self._servers:
            server.close()

    def stop_accepting_relays(self) -> None:
        """Accept no more callers that other VMs relay."""
        for server in self._servers[1:]:
            server.close()

    def refuse(self, effect: RefuseCaller) -> None:
        """Refuse a caller's connection and close it."""
        connection = self.connections.pop(effect.session, None)
        if connection is not None:
            connection.refuse(effect.refusal, effect.detail, effect.version)

    def reply(self, effect: ReplyCaller) -> None:
        """Answer a statement."""
        connection = self.connections.get(effect.session)
        if connection is not None:
            connection.answer(effect.answer, effect.held)

    def close(self, effect: CloseCaller) -> None:
        """End a caller's connection, as the effect demands."""
        connection = self.connections.get(effect.session)
        if connection is None:
            return
        if effect.unanswered:
            connection.finish()
        else:
            connection.finish_if_answered()

    async def stop(self) -> dict[str, int]:
        """Stop listening and end all connections.

        Callers have `EXIT_PERIOD` to take what was written, and `CLOSE_PERIOD` to close
        their side.

        Returns:
            what was cut off: connections that were still open, statements without a
            whole answer, and bytes that were not sent.
        """
        self.refuse_callers()
        for connection in list(self.open):
            connection.finish()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_PERIOD):
                while any(connection.unsent for connection in self.open):
                    await asyncio.sleep(EXIT_CHECK_INTERVAL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_PERIOD):
                while self.open:
                    await asyncio.sleep(EXIT_CHECK_INTERVAL)
        unanswered = unsent = 0
        for connection in self.open:
            unanswered += connection.unanswered
            unsent += connection.unsent
        still_open = list(self.open)
        for connection in still_open:
            connection.abort()
        return {
            "open": len(still_open),
            "unanswered": unanswered,
            "unsent_bytes": unsent,
        }
