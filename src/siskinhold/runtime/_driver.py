"""Driver that passes events to the reducer and its effects to the adapters.

The reducer, `core.reduce`, is the VM's whole decision logic as a synchronous function:
it updates the state for one event and returns the effects to carry out.
"""

import asyncio
from collections import deque

from .. import effects, events
from ..adapters import Backends, Callers, Peers, Recorder, Store
from ..core import NodeState, reduce
from ..effects import Effect
from ..events import Event
from ..messages import Envelope
from ..model import NotRun, NotRunReason, Outcome, RequestId, Unknown, UnknownReason


class AdapterFailed(OSError):
    """An adapter failed to start.

    Args:
        place: section of the settings that configures the adapter.
        error: cause of the failure.
    """

    def __init__(self, *, place: str, error: OSError) -> None:
        super().__init__(str(error))
        self.place = place


class Driver:
    """Runs one VM's reducer on the running event loop.

    Args:
        node: the VM's state; changed only by the driver and its reducer.
        callers: adapter for callers.
        backends: adapter for backend servers.
        store: adapter for the platform's store.
        peers: adapter for messages to other VMs.
        recorder: writes timeline records and metric values.
    """

    def __init__(
        self,
        *,
        node: NodeState,
        callers: Callers,
        backends: Backends,
        store: Store,
        peers: Peers,
        recorder: Recorder,
    ) -> None:
        self.node = node
        self._callers = callers
        self._backends = backends
        self._store = store
        self._peers = peers
        self._recorder = recorder
        self._pending: deque[Event] = deque()
        self._running = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = 0.0
        self._loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        self._handlers = self._build_handlers()

    def _build_handlers(self) -> dict:
        """Return the method that performs each kind of effect."""
        handlers = {
            effects.ReplyCaller: self._callers.reply,
            effects.CloseCaller: self._callers.close,
            effects.StopListening: lambda effect: self._callers.stop_listening(),
            effects.SendPeer: self._send_to_peer,
            effects.CallStore: self._store.call,
            effects.WatchStore: self._store.watch,
            effects.UnwatchStore: lambda effect: self._store.unwatch(),
            effects.ReadVmList: lambda effect: self._store.read_vm_list(),
            effects.Record: self._record,
            effects.Observe: self._recorder.observe,
            effects.Stop: lambda effect: self.stopped.set(),
        }
        for kind in (
            effects.OpenBackend,
            effects.RunStatement,
            effects.CloseBackend,
            effects.QueryStatus,
            effects.QueryActivity,
            effects.FenceServer,
            effects.PromoteServer,
            effects.FollowServer,
        ):
            handlers[kind] = self._backends.perform
        return handlers

    async def start(self) -> None:
        """Start the adapters, then emit `Started`.

        Raises:
            AdapterFailed: if an adapter can't be started, for example because its
                address can't be bound.
        """
        adapters = {
            "backends": self._backends,
            "store": self._store,
            "peers": self._peers,
            "callers": self._callers,
        }
        for place, adapter in adapters.items():
            try:
                await adapter.start(self.emit)
            except OSError as error:
                raise AdapterFailed(place=place, error=error) from error
        self.emit(events.Started(at=self._loop.time()))

    async def stop(self) -> None:
        """Stop the adapters; later events are discarded."""
        self.stopped.set()
        if self._timer is not None:
            self._timer.cancel()
        await self._callers.stop()
        await self._peers.stop()
        await self._store.stop()
        await self._backends.stop()

    def request_shutdown(self) -> None:
        """Start a graceful shutdown; `stopped` is set when it is complete."""
        self.emit(events.ShutdownRequested(at=self._loop.time()))

    def emit(self, event: Event) -> None:
        """Process an event, carry out its effects and set the timer.

        An event emitted by an effect is queued until the current one is processed.
        """
        self._pending.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._pending:
                self._handle_event(self._pending.popleft())
        finally:
            self._running = False
        self._set_timer()

    def _handle_event(self, event: Event) -> None:
        """Reduce an event and perform its effects; discards it after the stop.

        A statement of a caller that logged in during the stop is refused.
        """
        if self.stopped.is_set():
            if isinstance(event, events.StatementReceived):
                self._refuse(event)
            return
        for effect in reduce(self.node, event):
            self._perform(effect)

    def _refuse(self, event: events.StatementReceived) -> None:
        """Answer a statement that the reducer does not get: it did not run."""
        identity = self.node.identity
        outcome: Outcome = NotRun(reason=NotRunReason.SHUTDOWN)
        if event.marks.key:
            # An earlier request with the key may have run through another VM.
            outcome = Unknown(reason=UnknownReason.KEY_UNSETTLED)
        self._callers.reply(
            effects.ReplyCaller(
                session=event.session,
                request=RequestId(identity.name, identity.incarnation, 0),
                outcome=outcome,
                positions={},
            )
        )

    def _perform(self, effect: Effect) -> None:
        self._handlers[type(effect)](effect)

    def _send_to_peer(self, effect: effects.SendPeer) -> None:
        """Send a message to a VM; drops it if no address of the VM is known."""
        node = self.node
        peer = node.membership.peers.get(effect.vm)
        address = self._find_address(effect.vm)
        if address is None:
            return
        self._peers.set_address(effect.vm, address.host, address.peer_port)
        node.clock += 1
        envelope = Envelope(
            sender=node.identity.name,
            incarnation=node.identity.incarnation,
            receiver_incarnation=peer.view.incarnation if peer is not None else 0,
            clock=node.clock,
            message=effect.message,
        )
        self._peers.send(effect.vm, envelope)

    def _find_address(self, vm: str):
        """Return the address of a member or contact; None for any other VM."""
        peer = self.node.membership.peers.get(vm)
        if peer is not None:
            return peer.view.address
        return self.node.membership.contacts.get(vm)

    def _record(self, effect: effects.Record) -> None:
        """Advance the logical clock and write a timeline record with it."""
        self.node.clock += 1
        self._recorder.record(effect, clock=self.node.clock)

    def _set_timer(self) -> None:
        """Set the timer to the earliest due time.

        An earlier timer stays; it sets the next one when it fires.
        """
        due = self.node.timers.next_due()
        if due is None or self.stopped.is_set():
            return
        if self._timer is not None:
            if self._timer_due <= due:
                return
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._fire_timer)

    def _fire_timer(self) -> None:
        """Emit `TimeAdvanced` and set the next timer."""
        self._timer = None
        self.emit(events.TimeAdvanced(at=self._loop.time()))
        self._set_timer()
