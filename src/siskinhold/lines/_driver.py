"""Feeds events to the direct core and carries out its effects."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable

from ..direct import (
    AcceptCaller,
    AnnounceReadiness,
    AskVms,
    CheckConfiguration,
    CloseBackend,
    CloseCaller,
    CloseRelays,
    DirectState,
    Effect,
    Event,
    LeaderRecordAnswered,
    ListSuspicions,
    ListVms,
    Log,
    Observe,
    OpenBackend,
    OrderPromotion,
    ProbeVm,
    PromotionAnswered,
    PublishConnections,
    PublishSuspicion,
    ReadLeaderRecord,
    RefuseCaller,
    RegisterVm,
    RelayCaller,
    RemoveVm,
    ReplyCaller,
    ReportPresence,
    SendCommands,
    ShutdownRequested,
    Stop,
    StoreEraBegan,
    StoreOutcome,
    Suspicion,
    SuspicionsAnswered,
    TimeAdvanced,
    VmEntry,
    VmProbed,
    VmsAsked,
    VmsRead,
    WriteLeaderRecord,
    compute_tick_delay,
    reduce,
)
from ..observability import Metrics
from ._backends import LineBackends
from ._callers import LineCallers
from ._client import LeaderResult, PlatformClient, StoreUnavailable
from ._clock import read_clock
from ._inquiries import ask_vms
from ._log import DecisionLog
from ._presence import PresencePort
from ._probe import ProbeServer
from ._reachability import is_reachable
from ._supervision import log_failure

PUBLISH_RETRY_DELAY = 0.2
"""Seconds until a suspicion that could not be published is published again."""

MAX_PUBLISH_ATTEMPTS = 50
"""Failed attempts in a row after which a suspicion is given up; the store has then been
away for longer than a suspicion matters."""

STUCK_READ_PERIOD = 1.0
"""Seconds after which a read of the suspicions is no longer waited for: the core
repeats an unanswered call after that time."""

_log = logging.getLogger(__name__)


class DirectDriver:
    """Runs the direct core on the running event loop.

    Args:
        entry: this VM's entry in the list of VMs.
        state: the core's state; only the driver changes it, through the reducer.
        callers: connections of callers.
        backends: connections to backend servers.
        client: client of the platform's services.
        probe: server of the readiness probe.
        log: takes the log lines of the core.
        metrics: take the values that the core observes.
    """

    def __init__(
        self,
        *,
        entry: VmEntry,
        state: DirectState,
        callers: LineCallers,
        backends: LineBackends,
        client: PlatformClient,
        probe: ProbeServer,
        log: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.state = state
        self._entry = entry
        self._client = client
        self._probe = probe
        self._log = log
        self._metrics = metrics
        self._pending: deque[Event] = deque()
        self._running = False
        self._callers = callers
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._suspicions: dict[str, Suspicion] = {}
        self.presence: PresencePort | None = None
        self.check_configuration: Callable[[], Awaitable] | None = None
        self._awaited_suspicions: list[ListSuspicions] = []
        self._suspicion_readers = 0
        self._suspicions_read_at = 0.0
        self.stopped = asyncio.Event()
        self._handlers = {
            AcceptCaller: callers.accept,
            RelayCaller: callers.relay,
            CheckConfiguration: self._check_configuration,
            ReportPresence: self._report_presence,
            CloseRelays: callers.close_relays,
            RefuseCaller: callers.refuse,
            ReplyCaller: callers.reply,
            CloseCaller: callers.close,
            OpenBackend: backends.open,
            SendCommands: backends.send,
            CloseBackend: backends.close,
            ReadLeaderRecord: self._read_leader,
            WriteLeaderRecord: self._write_leader,
            PublishSuspicion: self._publish_suspicion,
            ListSuspicions: self._list_suspicions,
            ListVms: self._list_vms,
            RegisterVm: self._register_vm,
            ProbeVm: self._probe_vm,
            AskVms: self._ask_vms,
            RemoveVm: self._remove_vm,
            PublishConnections: self._publish_connections,
            OrderPromotion: self._order_promotion,
            AnnounceReadiness: self._set_readiness,
            Log: self._write_line,
            Observe: self._observe,
            Stop: self._stop,
        }

    def start(self) -> None:
        """Start the periodic `TimeAdvanced` events."""
        self._tick()

    def stop(self) -> None:
        """Stop the timer and cancel all running calls."""
        self.stopped.set()
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()

    def report_era(self, era: int) -> None:
        """Report a newer era of the store to the core."""
        self.emit(StoreEraBegan(at=read_clock(), era=era))

    def request_shutdown(self, requested_at: float | None = None) -> None:
        """Begin a graceful shutdown; `stopped` is set when it is complete.

        Args:
            requested_at: when it was requested, now by default.
        """
        self._callers.stop_accepting_relays()
        self.emit(ShutdownRequested(at=read_clock(), requested_at=requested_at))

    def emit(self, event: Event) -> None:
        """Reduce an event and carry out its effects.

        An event that is emitted meanwhile is queued and reduced afterwards.
        """
        self._pending.append(event)
        if self._running:
            return
        self._running = True
        try:
            while self._pending and not self.stopped.is_set():
                for effect in reduce(self.state, self._pending.popleft()):
                    self._perform(effect)
        finally:
            self._running = False

    def _perform(self, effect: Effect) -> None:
        """Carry out an effect; an unexpected error is logged and ends only this one."""
        try:
            self._handlers[type(effect)](effect)
        except Exception as error:
            _log.error(
                "event=effect_failed kind=%s error=%r", type(effect).__name__, error
            )

    def _tick(self) -> None:
        """Emit a `TimeAdvanced` event and schedule the next one."""
        if self.stopped.is_set():
            return
        try:
            self.emit(TimeAdvanced(at=read_clock()))
        finally:
            delay = compute_tick_delay(self.state)
            self._timer = self._loop.call_later(delay, self._tick)

    def _spawn(self, coroutine) -> None:
        """Run a coroutine as a task that `stop` cancels."""
        task = self._loop.create_task(log_failure(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _read_leader(self, effect: ReadLeaderRecord) -> None:
        """Start to read a leader record."""
        self._spawn(
            self._report_leader(
                effect.call,
                effect.era,
                self._client.read_leader(
                    effect.service, effect.era, fresh=effect.fresh
                ),
            )
        )

    def _write_leader(self, effect: WriteLeaderRecord) -> None:
        """Start to write a leader record."""
        call = self._client.write_leader(effect.service, effect.record, effect.revision)
        self._spawn(self._report_leader(effect.call, effect.revision.era, call))

    async def _report_leader(self, number: int, era: int, call) -> None:
        """Wait for a call on a leader record and emit its result.

        An answer of another era than the call's counts as none: the record is that of a
        store without what was written since the copy that it was restored from.
        """
        result = await call
        if result.revision.era != era:
            result = LeaderResult(outcome=StoreOutcome.UNKNOWN)
        self.emit(
            LeaderRecordAnswered(
                at=read_clock(),
                call=number,
                outcome=result.outcome,
                record=result.record,
                revision=result.revision,
            )
        )

    def _publish_suspicion(self, effect: PublishSuspicion) -> None:
        """Publish a suspicion once the one before of the same database is settled."""
        service = effect.suspicion.service
        publishing = service in self._suspicions
        self._suspicions[service] = effect.suspicion
        if not publishing:
            self._spawn(self._publish_newest(service))

    async def _publish_newest(self, service: str) -> None:
        """Publish this VM's newest suspicion of a database; retry while it is newest.

        One call at a time is under way. A withdrawal that is overtaken by an older
        call, or lost, would leave a vote against a primary that this VM reaches.
        """
        published = None
        attempts = 0
        try:
            while attempts < MAX_PUBLISH_ATTEMPTS:
                suspicion = self._suspicions[service]
                if suspicion is published:
                    break
                attempts += 1
                try:
                    await self._client.publish_suspicion(suspicion)
                    published = suspicion
                    attempts = 0
                except StoreUnavailable as error:
                    self._write_failure("suspicion_unpublished", error)
                    await asyncio.sleep(PUBLISH_RETRY_DELAY)
        finally:
            del self._suspicions[service]

    def _list_suspicions(self, effect: ListSuspicions) -> None:
        """Read the suspicions of a database with the next read of all of them.

        One read at a time is under way, unless it is stuck, and the next one serves all
        databases that asked meanwhile. The loss of an availability zone concerns many
        databases, and as many reads of all suspicions would exceed this VM's memory.
        """
        self._awaited_suspicions.append(effect)
        stuck = read_clock() - self._suspicions_read_at >= STUCK_READ_PERIOD
        if not self._suspicion_readers or stuck:
            self._spawn(self._report_suspicions())

    async def _report_suspicions(self) -> None:
        """Read all suspicions while any are awaited, and emit those of each database.

        After a failed read each answer is None.
        """
        self._suspicion_readers += 1
        try:
            while self._awaited_suspicions:
                self._suspicions_read_at = read_clock()
                effects, self._awaited_suspicions = self._awaited_suspicions, []
                found = await self._read_suspicions()
                for effect in effects:
                    suspicions = None
                    if found is not None:
                        suspicions = found.get(effect.service, ())
                    self.emit(
                        SuspicionsAnswered(
                            at=read_clock(), call=effect.call, suspicions=suspicions
                        )
                    )
        finally:
            self._suspicion_readers -= 1

    async def _read_suspicions(self) -> dict[str, tuple[Suspicion, ...]] | None:
        """Return the suspicions by database, None after a failure, which is logged."""
        try:
            suspicions = await self._client.list_suspicions()
        except StoreUnavailable as error:
            self._write_failure("suspicions_unread", error)
            return None
        found: dict[str, tuple[Suspicion, ...]] = {}
        for suspicion in suspicions:
            others = found.get(suspicion.service, ())
            found[suspicion.service] = (*others, suspicion)
        return found

    def _report_presence(self, effect: ReportPresence) -> None:
        """Report this VM's presence to other holders."""
        if self.presence is not None:
            self.presence.send(effect)

    def _check_configuration(self, effect: CheckConfiguration) -> None:
        """Start to check the configuration."""
        if self.check_configuration is not None:
            self._spawn(self.check_configuration())

    def _list_vms(self, effect: ListVms) -> None:
        """Start to read the list of VMs."""
        self._spawn(self._report_vms(effect.fresh))

    async def _report_vms(self, fresh: bool) -> None:
        """Read the list of VMs and emit it; log a failure."""
        try:
            vms, connections = await self._client.list_vms(fresh=fresh)
        except StoreUnavailable as error:
            self._write_failure("vms_unread", error)
            return
        self.emit(VmsRead(at=read_clock(), vms=vms, connections=connections))

    def _register_vm(self, effect: RegisterVm) -> None:
        """Start to add this VM to the list again; a failure shows in the next list."""
        # A stale read could show the entry that was removed.
        call = self._client.register_vm(self._entry, fresh=True)
        self._spawn(self._change_list("vm_unregistered", call))

    def _remove_vm(self, effect: RemoveVm) -> None:
        """Start to remove a VM from the list; after a failure it is probed again."""
        call = self._client.remove_vm(effect.vm)
        self._spawn(self._change_list("vm_unremoved", call))

    async def _change_list(self, event: str, call) -> None:
        """Wait for a change of the list of VMs, and log a failure."""
        try:
            await call
        except StoreUnavailable as error:
            self._write_failure(event, error)

    def _probe_vm(self, effect: ProbeVm) -> None:
        """Start to probe another VM."""
        self._spawn(self._report_probe(effect.vm))

    async def _report_probe(self, vm: VmEntry) -> None:
        """Probe another VM and emit the result."""
        reached = await is_reachable(vm)
        self.emit(VmProbed(at=read_clock(), vm=vm, reached=reached))

    def _ask_vms(self, effect: AskVms) -> None:
        """Start to ask other VMs whether they reach a backend server."""
        self._spawn(self._report_inquiry(effect))

    async def _report_inquiry(self, effect: AskVms) -> None:
        """Ask the VMs and emit their answers."""
        reached, missed = await ask_vms(effect.vms, effect.host, effect.port)
        self.emit(
            VmsAsked(at=read_clock(), call=effect.call, reached=reached, missed=missed)
        )

    def _publish_connections(self, effect: PublishConnections) -> None:
        """Start to publish the servers' connection limit."""
        self._spawn(self._try_publish_connections(effect))

    async def _try_publish_connections(self, effect: PublishConnections) -> None:
        """Publish the servers' connection limit once, and log a failure."""
        try:
            await self._client.publish_connections(effect.connections)
        except StoreUnavailable as error:
            self._write_failure("connections_unpublished", error)

    def _order_promotion(self, effect: OrderPromotion) -> None:
        """Start to order a promotion."""
        self._spawn(self._report_promotion(effect))

    async def _report_promotion(self, effect: OrderPromotion) -> None:
        """Order a promotion and emit the platform's answer.

        Nothing is sent after the deadline, even if this VM was suspended in between:
        another VM may have claimed the promotion by then.
        """
        outcome = await self._client.order_promotion(
            effect.service,
            effect.server,
            vm=self.state.vm,
            token=effect.token,
            deadline=effect.deadline,
        )
        self.emit(PromotionAnswered(at=read_clock(), call=effect.call, outcome=outcome))

    def _stop(self, effect: Stop) -> None:
        """End the work of the core; nothing that arrives later is answered by it."""
        self.stopped.set()
        self._callers.refuse_callers()

    def _set_readiness(self, effect: AnnounceReadiness) -> None:
        """Set the answer to readiness probes."""
        self._probe.ready = effect.ready

    def _write_line(self, effect: Log) -> None:
        """Write a log line of the core."""
        self._log.write(effect, read_clock())

    def _write_failure(self, event: str, error: Exception) -> None:
        """Log a failed store call."""
        self._log.write(
            Log(event=event, fields=(("error", str(error)),), essential=True),
            read_clock(),
        )

    def _observe(self, effect: Observe) -> None:
        """Add a value that the core observed to a metric."""
        self._metrics.observe(effect.metric, effect.value, effect.label)
