"""Simulation of VMs with the direct core, backend servers and a store."""

import heapq
import random

from siskinhold.direct import (
    Answer,
    AskVms,
    BackendAnswered,
    BackendLost,
    BackendOpened,
    CallerClosed,
    CallerOpened,
    CallerStatement,
    CheckConfiguration,
    CloseBackend,
    CloseCaller,
    CommandKind,
    Configuration,
    ConfigurationChecked,
    ConfigurationConfirmed,
    ConfigurationRead,
    Consistency,
    CopySource,
    DirectState,
    LeaderRecordAnswered,
    LeaderState,
    ListSuspicions,
    ListVms,
    Log,
    LossReason,
    OpenBackend,
    OrderPromotion,
    ProbeVm,
    PromotionAnswered,
    PromotionOutcome,
    PublishSuspicion,
    ReadLeaderRecord,
    Refusal,
    RefuseCaller,
    RegisterVm,
    RemoveVm,
    ReplyCaller,
    Revision,
    Route,
    SendCommands,
    ServerEntry,
    ServerReport,
    ServersRead,
    ShutdownRequested,
    Statement,
    StatementKind,
    Stop,
    StoreEraBegan,
    StoreOutcome,
    SuspicionsAnswered,
    TimeAdvanced,
    TransactionState,
    VmEntry,
    VmProbed,
    VmsAsked,
    VmsRead,
    WriteLeaderRecord,
    compute_tick_delay,
    reduce,
)
from siskinhold.direct._lease import ATTEMPT_TIMEOUT, ORDER_LEASE as PRODUCT_LEASE
from siskinhold.direct.pools import find_control_connection
from siskinhold.model import Position

from .pool_checks import list_pool_faults

LATENCY = 0.001
"""Seconds from a VM to a server or the store, one way."""

PROMOTION_DELAY = 0.3
"""Seconds from a promotion order until it takes effect."""

ORDER_LEASE = 2.0
"""Seconds after a VM's last order of a promotion in which no other VM may order one of
the same database: the stated target."""

assert PRODUCT_LEASE >= ORDER_LEASE

REPORTING = (
    CommandKind.STATUS,
    CommandKind.STEP_DOWN,
    CommandKind.SUSPEND,
    CommandKind.RESUME,
)

ZONES = ("a", "b", "c")


class FakeServer:
    """A backend server of the database `db`.

    Args:
        slots: statements that it runs concurrently; further ones wait in order.
        statement_time: seconds that a statement takes.

    A status query or a suspension takes `status_time`. A replica applies what it
    receives before `applies_at` only then. Commands of the kinds in `refuses` are not
    run; a connection gets no more answers from one in `hangs_at` on. Connections of the
    VMs in `breaks_off_for` end with each statement.
    """

    def __init__(self, *, world, name, zone, leads, slots=4, statement_time=0.01):
        self.world = world
        self.name = name
        self.zone = zone
        self.leads = leads
        self.slots = slots
        self.statement_time = statement_time
        self.term = 1
        self.received = Position(1, 0)
        self.applied = Position(1, 0)
        self.lag = 0.002
        self.status_time = 0.0
        self.applies_at = 0.0
        self.replication_paused = False
        self.suspended_term = 0
        self.unreachable_from: set[str] = set()
        self.down = False
        self.isolated = False
        self.process_down = False
        self.state = "ready"
        self.listed = True
        self.started = 1
        self.port = 1 + sum(name.encode())
        self.free_at = [0.0] * slots
        self.ran: list[tuple[float, str, str]] = []
        self.ran_values: list[dict[str, str]] = []
        self.commits: list[tuple[float, int, int]] = []
        self.lose_answers = 0
        self.breaks_off_for: set[str] = set()
        self.fails_statements = False
        self.refuses: dict[CommandKind, Refusal] = {}
        self.hangs_at: set[CommandKind] = set()
        self.answer_busy = 0

    def reaches(self, vm: str) -> bool:
        """Return whether a VM's packets arrive."""
        return (
            not self.down and not self.process_down and vm not in self.unreachable_from
        )

    def entry(self) -> ServerEntry:
        """Return the server's entry in the store."""
        return ServerEntry(
            server=self.name,
            service="db",
            host="10.0.0.1",
            port=self.port,
            zone=self.zone,
            slots=self.slots,
            draining=self.state == "draining",
            leads=self.leads,
            started=self.started,
        )

    def occupy_slot(self, now: float, statement_time: float) -> float:
        """Occupy the next free slot and return when its statement ends."""
        index = min(range(self.slots), key=lambda i: self.free_at[i])
        end = max(now, self.free_at[index]) + statement_time
        self.free_at[index] = end
        return end

    def run(self, connection, command, now):
        """Run a command; return when its answer is ready, and the answer."""
        kind = command.kind
        end = now
        rows = ()
        refusal = None
        status = None
        after = command.after
        if kind in self.refuses:
            refusal = self.refuses[kind]
        elif after is not None and self.applied < after:
            refusal = Refusal.LAGGING
        elif kind is CommandKind.BEGIN:
            if self.leads:
                connection.open = "write"
            else:
                refusal = Refusal.READ_ONLY
        elif kind is CommandKind.BEGIN_READ:
            connection.open = "read"
        elif kind is CommandKind.ROLLBACK:
            connection.open = ""
            connection.wrote = False
        elif kind in REPORTING:
            if kind in (CommandKind.STATUS, CommandKind.SUSPEND):
                end = now + self.status_time
            if kind is CommandKind.STEP_DOWN and command.term > self.term:
                self.leads = False
            elif kind is CommandKind.SUSPEND and not self.leads:
                if command.term > self.term:
                    self.suspended_term = command.term
            elif kind is CommandKind.RESUME:
                self.suspended_term = 0
            status = ServerReport(
                leads=self.leads,
                term=self.term,
                received=self.received,
                suspended_term=self.suspended_term,
                backlog=0.0 if self.leads else max(0.0, self.applies_at - now),
            )
        elif kind is CommandKind.RESET:
            connection.values = {}
            connection.prepared = {}
        elif kind is CommandKind.SET:
            connection.values[command.name] = command.value
        elif kind is CommandKind.PREPARE:
            assert command.name.isalnum(), f"{command.name!r} is no name"
            connection.prepared[command.name] = command.value
            connection.writing[command.name] = command.writes
        elif kind is CommandKind.DEALLOCATE:
            if connection.prepared.pop(command.name, None) is None:
                refusal = Refusal.NO_STATEMENT
        elif kind in (CommandKind.RUN, CommandKind.EXECUTE):
            end, refusal, rows = self._run_statement(connection, command, now)
        open_state = TransactionState.OPEN if connection.open else TransactionState.NONE
        position = self.applied
        if refusal is None and connection.committed is not None:
            position = connection.committed
            connection.committed = None
        answer = Answer(
            rows=rows,
            signature=f"{self.name}:{command.request}",
            refusal=refusal,
            transaction=open_state,
            position=position,
            status=status,
        )
        return end, answer

    def _run_statement(self, connection, command, now):
        text = command.text
        if command.kind is CommandKind.EXECUTE:
            if command.name not in connection.prepared:
                return now, Refusal.NO_STATEMENT, ()
            mode = "WRITE" if connection.writing[command.name] else "READ"
            text = f"{mode} {connection.prepared[command.name]}"
        word = text.split(" ")[0]
        writes = word == "WRITE"
        if self.answer_busy:
            self.answer_busy -= 1
            return now, Refusal.BUSY, ()
        if writes and not self.leads:
            return now, Refusal.READ_ONLY, ()
        if self.fails_statements:
            return now, Refusal.FAILED, ()
        end = self.occupy_slot(now, self.statement_time)
        self.ran.append((now, command.request, text))
        self.ran_values.append(dict(connection.values))
        self.world.check_run(connection, command.request, text)
        if writes and connection.open:
            connection.wrote = True
        commits = writes and not connection.open or word == "COMMIT"
        if word == "COMMIT":
            commits = connection.wrote
            connection.open = ""
            connection.wrote = False
        if commits:
            position = Position(self.term, self.received.offset + 1)
            self.received = position
            self.applied = position
            connection.committed = position
            self.commits.append((now, position.term, position.offset))
            self.world.replicate(self, position)
        return end, None, ("row",)


class FakeConnection:
    """A connection of a VM to a server."""

    def __init__(self, *, vm, number, server):
        self.vm = vm
        self.number = number
        self.server = server
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.writing: dict[str, bool] = {}
        self.open = ""
        self.hangs = False
        self.wrote = False
        self.committed = None
        self.ready_at = 0.0


class World:
    """VMs, backend servers and a store on simulated time.

    Args:
        vms: number of VMs.
        statement_time: seconds that a statement takes.
    """

    def __init__(self, *, vms=3, statement_time=0.01, slots=4, seed=1):
        self.now = 100.0
        self.heap = []
        self.order = 0
        self.servers = {}
        for index, zone in enumerate(ZONES):
            name = f"s{index + 1}"
            self.servers[name] = FakeServer(
                world=self,
                name=name,
                zone=zone,
                leads=index == 0,
                slots=slots,
                statement_time=statement_time,
            )
        self.states = {}
        self.replies = {}
        self.logs = []
        self.closed = []
        self.stopped = set()
        self.paused = set()
        self.connections = {}
        self.records = {}
        self.revision = 10
        self.era = 0
        self.suspicions = {}
        self.store_down = set()
        self.store_delay = LATENCY
        self.record_delay = 0.0
        self.store_answers_lost = False
        self.unanswered = set()
        self.claims = {}
        self.orders = []
        self.suspended_at_order = []
        self.order_lost = 0
        self.orders_ignored = False
        self.effects_lost = False
        self.order_delays = []
        self.version = 1
        self.added_databases = set()
        self.checks = []
        self.timeout = 1.0
        self.timeouts = {}
        self.entries = []
        self.removed = []
        self.sides = {}
        self.cut_off = set()
        for index in range(vms):
            entry = VmEntry(
                name=f"vm{index + 1}",
                host=f"10.0.1.{index}",
                relay_port=1,
                zone=ZONES[index % 3],
                size=1000,
            )
            self.entries.append(entry)
        self.all_entries = {entry.name: entry for entry in self.entries}
        for index, entry in enumerate(self.entries):
            self.add_vm(entry.name, entry.zone, tuple(self.entries), seed + index)

    def add_vm(self, name, zone, names, seed, first_number=1):
        """Start a VM whose connections and calls have numbers from the given one on."""
        state = DirectState(
            vm=name,
            zone=zone,
            regions={"a": "east", "b": "east", "c": "west"},
            grace=6.0,
            random=random.Random(seed),
        )
        state.vms_known = True
        state.vms = names
        state.holders = list(names)
        state.now = self.now
        state.next_number = first_number
        self.states[name] = state
        self.dispatch(
            name, ConfigurationRead(at=self.now, configuration=self.configure())
        )
        confirmed = ConfigurationConfirmed(at=self.now, confirmed_at=self.now)
        self.dispatch(name, confirmed)
        self.at(self.now, lambda: self.tick(name))
        self.at(self.now, lambda: self.list_servers(name))

    def stop_process(self, vm):
        """End a VM's process, and with it its connections."""
        self.stopped.add(vm)
        for key in [key for key in self.connections if key[0] == vm]:
            del self.connections[key]

    def start_process(self, vm):
        """Start a VM's process again; it remembers nothing.

        Answers that are still under way to the ended process have numbers of its own.
        """
        self.stopped.discard(vm)
        old = self.states[vm]
        names = tuple(self.entries)
        self.add_vm(vm, old.zone, names, self.order, old.next_number)

    def register(self, vm):
        """Add a VM's entry to the list of VMs again."""
        if all(entry.name != vm for entry in self.entries):
            self.entries.append(self.all_entries[vm])

    def is_reachable(self, vm, other):
        """Return whether a VM's packets reach another VM and are answered."""
        if other in self.stopped or other in self.paused:
            return False
        return not self.cut_off & {vm, other}

    def ask_vms(self, vm, effect):
        """Answer whether other VMs reach the primary; those out of reach are silent."""
        leads = next(s for s in self.servers.values() if s.leads)
        reached, missed = [], []
        for entry in effect.vms:
            if self.sides.get(entry.name) != self.sides.get(vm):
                continue
            found = reached if leads.reaches(entry.name) else missed
            found.append(entry.name)
        event = VmsAsked(
            at=0, call=effect.call, reached=tuple(reached), missed=tuple(missed)
        )
        self.deliver(vm, self.now + 0.5, event)

    def configure(self):
        """Return a configuration with one route of each kind."""
        kinds = {
            "orders": (Consistency.PRIMARY, 1.5, 1),
            "views": (Consistency.BOUNDED_AGE, 1.5, 2),
            "crew": (Consistency.READ_YOUR_WRITES, 2.5, 2),
        }
        for name in self.added_databases:
            kinds[name] = (Consistency.PRIMARY, 1.5, 1)
        routes = {}
        for name, (consistency, staleness, priority) in kinds.items():
            routes[name] = Route(
                database=name,
                service="db",
                consistency=consistency,
                timeout=self.timeouts.get(name, self.timeout),
                target=0.4,
                priority=priority,
                staleness=staleness,
            )
        return Configuration(
            version=self.version,
            routes=routes,
            connections={"db": 34},
            idle_transaction=3.0,
        )

    def change_routes(self, *, added=(), removed=()):
        """Have the store accept a version that adds and removes routes of databases.

        Watches report it to the VMs that run and reach the store.
        """
        self.added_databases |= set(added)
        self.added_databases -= set(removed)
        self.version += 1
        for vm in self.states:
            self.at(self.now + LATENCY, lambda vm=vm: self.report_change(vm))

    def report_change(self, vm):
        """Have a watch report the newest configuration to a VM."""
        if vm in self.store_down:
            return
        read = ConfigurationRead(
            at=self.now, configuration=self.configure(), source=CopySource.WATCH
        )
        self.dispatch(vm, read)

    def at(self, time, action):
        """Run an action at a time."""
        self.order += 1
        heapq.heappush(self.heap, (time, self.order, action))

    def advance(self, seconds):
        """Advance the simulated time, running all actions that are due."""
        until = self.now + seconds
        while self.heap and self.heap[0][0] <= until:
            time, _, action = heapq.heappop(self.heap)
            self.now = max(self.now, time)
            action()
        self.now = until

    def tick(self, vm):
        """Send a VM its timer event, and schedule the next one."""
        if vm not in self.paused:
            self.dispatch(vm, TimeAdvanced(at=self.now))
        self.at(self.now + compute_tick_delay(self.states[vm]), lambda: self.tick(vm))

    def list_servers(self, vm):
        """Send a VM the list of servers, once a second."""
        if vm not in self.store_down and vm not in self.paused:
            self.show_era(vm, self.era)
            self.confirm_copy(vm)
            entries, read_at = self.read_entries(vm)
            self.dispatch(
                vm,
                ServersRead(
                    at=self.now,
                    revision=Revision(era=self.era, number=self.revision),
                    entries=entries,
                    read_at=read_at,
                ),
            )
        self.at(self.now + 1.0, lambda: self.list_servers(vm))

    def confirm_copy(self, vm):
        """Have a watch of a VM end without a change, but for one just reported."""
        confirmed_at = self.now - 2 * LATENCY
        confirmed = ConfigurationConfirmed(at=self.now, confirmed_at=confirmed_at)
        self.dispatch(vm, confirmed)

    def check_configuration(self, vm):
        """Answer a check of the configuration, as failed without the store."""
        self.checks.append((self.now, vm))
        sent_at = self.now
        if vm in self.store_down:
            failed = ConfigurationChecked(at=0, failed=True)
            self.deliver(vm, self.now + 0.4, failed)
            return

        def act():
            read = ConfigurationRead(at=self.now, configuration=self.configure())
            self.dispatch(vm, read)
            confirmed = ConfigurationConfirmed(at=self.now, confirmed_at=sent_at)
            self.dispatch(vm, confirmed)
            self.dispatch(vm, ConfigurationChecked(at=self.now, failed=False))

        self.at(self.now + 2 * self.store_delay, act)

    def read_entries(self, vm):
        """Return the entries that a VM reads, and the time for which they are valid."""
        return tuple(s.entry() for s in self.servers.values() if s.listed), self.now

    def dispatch(self, vm, event):
        """Have a VM reduce an event; a paused VM reduces it once it is resumed."""
        if vm in self.stopped:
            return
        if vm in self.paused:
            self.at(self.now + 0.01, lambda: self.dispatch_later(vm, event))
            return
        effects = reduce(self.states[vm], event)
        ticked = isinstance(event, TimeAdvanced)
        faults = list_pool_faults(self.states[vm], ticked=ticked)
        assert not faults, f"{vm} after {type(event).__name__}: {faults}"
        for effect in effects:
            self.perform(vm, effect)

    def dispatch_later(self, vm, event):
        """Dispatch an event that arrived while the VM was paused."""
        if vm in self.paused:
            self.at(self.now + 0.01, lambda: self.dispatch_later(vm, event))
            return
        event.at = self.now
        self.dispatch(vm, event)

    def perform(self, vm, effect):
        """Carry out an effect."""
        if isinstance(effect, ReplyCaller):
            self.replies.setdefault((vm, effect.session), []).append(
                (self.now, effect.answer)
            )
        elif isinstance(effect, RefuseCaller):
            self.closed.append((vm, effect.session, effect.refusal))
        elif isinstance(effect, CloseCaller):
            self.closed.append((vm, effect.session, None))
            self.at(self.now, lambda: self.disconnect(vm, effect.session))
        elif isinstance(effect, OpenBackend):
            self.open(vm, effect)
        elif isinstance(effect, SendCommands):
            for command in effect.commands:
                self.send(vm, effect.connection, command)
        elif isinstance(effect, CloseBackend):
            connection = self.connections.pop((vm, effect.connection), None)
            if connection is not None:
                connection.open = ""
        elif isinstance(effect, Log):
            self.logs.append((self.now, vm, effect.event, dict(effect.fields)))
        elif isinstance(effect, Stop):
            self.stopped.add(vm)
        else:
            self.call_store(vm, effect)

    def open(self, vm, effect):
        """Open a connection, or report a failure if the server is unreachable."""
        server = self.servers[effect.server]
        number = effect.connection
        if not server.reaches(vm):
            refused = server.process_down and vm not in server.unreachable_from
            reason = LossReason.REFUSED if refused else LossReason.SILENT
            lost = BackendLost(at=0, connection=number, reason=reason)
            self.deliver(vm, self.now + (0.002 if refused else 0.7), lost)
            return
        connection = FakeConnection(vm=vm, number=number, server=server)
        self.connections[vm, number] = connection
        answer = Answer(position=server.applied)
        opened = BackendOpened(at=0, connection=number, answer=answer)
        self.deliver(vm, self.now + 0.012, opened)

    def deliver(self, vm, time, event):
        """Schedule an event for a VM."""

        def act():
            event.at = self.now
            self.dispatch(vm, event)

        self.at(time, act)

    def send(self, vm, number, command):
        """Send a command to its server and return the answer to the VM."""
        connection = self.connections.get((vm, number))
        if connection is None:
            return
        server = connection.server

        def lose():
            if self.connections.pop((vm, number), None) is not None:
                reason = LossReason.SILENT
                self.deliver(
                    vm, self.now, BackendLost(at=0, connection=number, reason=reason)
                )

        def arrive():
            if (vm, number) not in self.connections:
                return
            if not server.reaches(vm):
                self.at(self.now + (0.001 if server.process_down else 0.8), lose)
                return
            if command.request and vm in server.breaks_off_for:
                del self.connections[vm, number]
                lost = BackendLost(at=0, connection=number, reason=LossReason.CLOSED)
                self.deliver(vm, self.now + LATENCY, lost)
                return
            connection.hangs |= command.kind in server.hangs_at
            if connection.hangs:
                return
            end, answer = server.run(connection, command, self.now)
            connection.ready_at = max(connection.ready_at, end)
            if command.request and server.lose_answers:
                server.lose_answers -= 1
                return
            self.respond_later(server, answer, connection.ready_at + LATENCY, respond)

        def respond(answer):
            if (vm, number) not in self.connections:
                return
            if not server.reaches(vm):
                self.at(self.now + 0.8, lose)
                return
            event = BackendAnswered(at=self.now, connection=number, answer=answer)
            self.dispatch(vm, event)

        self.at(self.now + LATENCY, arrive)

    def respond_later(self, server, answer, at, respond):
        """Answer a command at a time."""
        self.at(at, lambda: respond(answer))

    def check_run(self, connection, request, text):
        """Check what a server runs; campaigns with preparing callers do."""

    def is_control_busy(self, vm, server):
        """Return whether a VM's control connection to a server awaits an answer."""
        control = find_control_connection(self.states[vm].servers[server])
        return control is not None and bool(control.pending)

    def replicate(self, leader, position):
        """Send a commit to the replicas."""
        for server in self.servers.values():
            if server is leader:
                continue
            self.at(self.now + server.lag, lambda s=server: self.receive(s, position))

    def receive(self, server, position):
        """Receive and apply a commit on a replica."""
        if server.replication_paused or server.leads or position.term < server.term:
            return
        if server.suspended_term > position.term:
            return
        server.received = max(server.received, position)
        if self.now >= server.applies_at:
            server.applied = server.received
            return
        self.at(server.applies_at, lambda: self.apply_received(server))

    def apply_received(self, server):
        """Apply the received log once a replica no longer delays that."""
        if self.now >= server.applies_at:
            server.applied = server.received

    def promote(self, name):
        """Make a server the primary of the next term, which ends all suspensions.

        Log positions show the term only after its first commit.
        """
        server = self.servers[name]
        term = max(s.term for s in self.servers.values()) + 1
        server.term = term
        server.leads = True
        if self.now < server.applies_at:
            # A promoted server applies its backlog at once.
            server.applied = server.received
        server.suspended_term = 0
        for other in self.servers.values():
            if other is not server and not other.leads:
                other.suspended_term = 0
                self.follow(other, server)

    def follow(self, replica, primary):
        """Have a replica learn of a new primary."""
        if replica.leads or replica.term >= primary.term:
            return
        replica.term = primary.term
        replica.suspended_term = 0
        replica.received = min(replica.received, primary.received)
        replica.applied = min(replica.applied, primary.received)

    def crash(self, name):
        """End a server's process, which closes its connections at once."""
        self.servers[name].process_down = True
        for key, connection in list(self.connections.items()):
            if connection.server.name != name:
                continue
            del self.connections[key]
            lost = BackendLost(at=0, connection=key[1], reason=LossReason.CLOSED)
            self.deliver(key[0], self.now + LATENCY, lost)

    def rejoin(self, name):
        """Start a server again as a replica of the newest term."""
        server = self.servers[name]
        primary = max(self.servers.values(), key=lambda s: (s.term, s.leads))
        server.process_down = False
        server.leads = False
        server.term = primary.term
        server.suspended_term = 0
        server.received = server.applied = primary.applied

    def drain(self, name):
        """Have a server announce that it leaves, to all VMs at once."""
        self.servers[name].state = "draining"
        for vm in self.states:
            if vm in self.store_down or vm in self.paused:
                continue
            entries = tuple(s.entry() for s in self.servers.values() if s.listed)
            revision = Revision(era=self.era, number=self.revision)
            self.dispatch(
                vm,
                ServersRead(
                    at=self.now, revision=revision, entries=entries, read_at=self.now
                ),
            )

    @property
    def record(self):
        """The leader record of the store's era, None if there is none."""
        record, _ = self.records.get(self.era, (None, 0))
        return record

    def copy_store(self):
        """Return a copy of what the store holds, for `restore_store`."""
        return (
            self.revision,
            dict(self.records),
            dict(self.suspicions),
            list(self.entries),
        )

    def restore_store(self, copy):
        """Restore the store from a copy, which begins an era."""
        self.revision, records, suspicions, entries = copy
        self.records = dict(records)
        self.suspicions = dict(suspicions)
        self.entries = list(entries)
        self.era += 1

    def show_era(self, vm, era):
        """Report the era of an answer to a VM if it is newer than the known one."""
        if era > self.states[vm].store_era:
            self.dispatch(vm, StoreEraBegan(at=self.now, era=era))

    def answer(self, vm, event):
        """Deliver the answer to a store call that is carried out now.

        Answers about leader records to the VMs in `unanswered` are lost.
        """
        era = 0 if vm in self.store_down else self.era

        def act():
            if vm in self.unanswered and isinstance(event, LeaderRecordAnswered):
                return
            self.show_era(vm, era)
            event.at = self.now
            self.dispatch(vm, event)

        self.at(self.now + 2 * self.store_delay, act)

    def call_store(self, vm, effect):
        """Answer store calls and promotion orders."""
        down = vm in self.store_down
        if isinstance(effect, CheckConfiguration):
            self.check_configuration(vm)
        elif isinstance(effect, ListVms):
            if not down:
                self.answer(vm, VmsRead(at=0, vms=tuple(self.entries)))
        elif isinstance(effect, RegisterVm):
            if not down:
                self.register(vm)
        elif isinstance(effect, AskVms):
            self.ask_vms(vm, effect)
        elif isinstance(effect, ProbeVm):
            reached = self.is_reachable(vm, effect.vm.name)
            event = VmProbed(at=0, vm=effect.vm, reached=reached)
            self.deliver(vm, self.now + (LATENCY if reached else 0.5), event)
        elif isinstance(effect, RemoveVm):
            if not down:
                self.removed.append((self.now, vm, effect.vm.name))
                self.entries.remove(effect.vm)
        elif isinstance(effect, PublishSuspicion):
            if not down:
                self.suspicions[vm] = effect.suspicion
        elif isinstance(effect, ListSuspicions):
            found = None if down else tuple(self.suspicions.values())
            event = SuspicionsAnswered(at=0, call=effect.call, suspicions=found)
            self.answer(vm, event)
        elif isinstance(effect, (ReadLeaderRecord, WriteLeaderRecord)):
            self.at(self.now + self.record_delay, lambda: self.call_record(vm, effect))
        elif isinstance(effect, OrderPromotion):
            self.check_claim(vm, effect)
            delay = self.order_delays.pop(0) if self.order_delays else 0.0
            if not delay:
                self.receive_order(vm, effect)
                return
            unknown = PromotionAnswered(
                at=0, call=effect.call, outcome=PromotionOutcome.UNKNOWN
            )
            self.deliver(vm, effect.deadline, unknown)
            self.at(self.now + delay, lambda: self.receive_order(vm, effect))

    def receive_order(self, vm, order):
        """Carry out a promotion order, and answer it if its VM still waits."""
        self.check_lease(vm)
        self.orders.append((self.now, vm, order.server, order.token))
        newest = max(s.term for s in self.servers.values())
        suspended = [s.name for s in self.servers.values() if s.suspended_term > newest]
        self.suspended_at_order.append(suspended)
        outcome = PromotionOutcome.ACCEPTED
        if not self.orders_ignored and not self.effects_lost:
            self.at(self.now + PROMOTION_DELAY, lambda: self.promote(order.server))
        if self.orders_ignored:
            outcome = PromotionOutcome.UNKNOWN
        elif self.order_lost:
            self.order_lost -= 1
            outcome = PromotionOutcome.UNKNOWN
        event = PromotionAnswered(at=0, call=order.call, outcome=outcome)
        later = self.now + 2 * self.store_delay
        if later < order.deadline:
            self.deliver(vm, later, event)

    def check_claim(self, vm, order):
        """Fail unless an order follows from a claim of the VM that is still valid."""
        assert order.token in self.claims, f"{vm} ordered with token {order.token}"
        holder, claimed_at = self.claims[order.token]
        age = self.now - claimed_at
        assert holder == vm, f"{vm} ordered by the claim of {holder}"
        assert age <= ATTEMPT_TIMEOUT, f"{vm} ordered {age:.2f} s after its claim"

    def check_lease(self, vm):
        """Fail if a VM's order arrives within the lease of another VM's last order."""
        if not self.orders:
            return
        ordered_at, holder, _, _ = self.orders[-1]
        gap = self.now - ordered_at
        if holder == vm or gap >= ORDER_LEASE - 1e-6:
            return
        raise AssertionError(f"{vm} ordered {gap:.3f} s after {holder}")

    def call_record(self, vm, effect):
        """Carry out a call on a leader record, and answer it unless that is lost."""
        answer = self.answer_record(vm in self.store_down, effect)
        if not self.store_answers_lost:
            self.answer(vm, answer)

    def claims_of(self, vm):
        """Return the tokens of the claims of a VM, in order."""
        return [t for t, (holder, _) in self.claims.items() if holder == vm]

    def answer_record(self, down, effect):
        """Return the answer to a call on the leader record."""
        outcome = StoreOutcome.DONE
        if down:
            return LeaderRecordAnswered(
                at=0, call=effect.call, outcome=StoreOutcome.UNKNOWN
            )
        writes = isinstance(effect, WriteLeaderRecord)
        era = effect.revision.era if writes else effect.era
        record, number = self.records.get(era, (None, 0))
        if writes and effect.revision.number != number:
            outcome = StoreOutcome.CONFLICT
        elif writes:
            self.revision += 1
            record, number = effect.record, self.revision
            self.records[era] = (record, number)
            if record.state is LeaderState.PROMOTING and era == self.era:
                token = Revision(era=era, number=number).to_token()
                self.claims[token] = (record.vm, self.now)
        elif record is None:
            outcome = StoreOutcome.ABSENT
        if era != self.era:
            # The driver takes an answer of another era for none.
            outcome = StoreOutcome.UNKNOWN
        return LeaderRecordAnswered(
            at=0,
            call=effect.call,
            outcome=outcome,
            record=record,
            revision=Revision(era=self.era, number=number),
        )

    def connect(self, vm, session, database="orders"):
        """Open a caller's session."""
        self.dispatch(vm, CallerOpened(at=self.now, session=session, database=database))

    def send_statement(self, vm, session, text, request=None):
        """Have a caller send a statement."""
        self.order += 1
        request = request or f"r{self.order}"
        self.submit(vm, session, make_statement(request, text))
        return request

    def submit(self, vm, session, statement):
        """Send a statement to a VM, once it has decided about the caller."""
        if session in self.states[vm].pending_callers:
            self.at(self.now + 0.001, lambda: self.submit(vm, session, statement))
            return
        self.dispatch(
            vm, CallerStatement(at=self.now, session=session, statement=statement)
        )

    def execute(self, vm, session, text, wait=2.0):
        """Have a caller send a statement; return its answer, None after the wait."""
        before = len(self.replies.get((vm, session), ()))
        self.send_statement(vm, session, text)
        for _ in range(int(wait / 0.005)):
            self.advance(0.005)
            replies = self.replies.get((vm, session), ())
            if len(replies) > before:
                return replies[-1][1]
        return None

    def disconnect(self, vm, session):
        """End a caller's session."""
        self.dispatch(vm, CallerClosed(at=self.now, session=session))

    def shut_down(self, vm):
        """Request the graceful shutdown of a VM."""
        self.dispatch(vm, ShutdownRequested(at=self.now))

    def find_logs(self, event):
        """Return the log lines of an event."""
        return [entry for entry in self.logs if entry[2] == event]


def make_statement(request, text):
    """Return the statement that the codec would decode from a text."""
    word, _, rest = text.partition(" ")
    kind = {
        "BEGIN": StatementKind.BEGIN,
        "COMMIT": StatementKind.COMMIT,
        "ROLLBACK": StatementKind.ROLLBACK,
        "READ": StatementKind.READ,
        "WRITE": StatementKind.WRITE,
        "SET": StatementKind.SET,
        "PREPARE": StatementKind.PREPARE,
        "EXECUTE": StatementKind.EXECUTE,
        "DEALLOC": StatementKind.DEALLOCATE,
    }[word]
    name, _, value = rest.partition(" ")
    mode, shape = "", ""
    if kind is StatementKind.PREPARE:
        mode, _, shape = value.partition(" ")
    return Statement(
        request=request,
        kind=kind,
        text=text,
        name=name,
        value=value,
        shape=shape,
        writes="WRITE" in (word, mode),
        read_only=kind is StatementKind.BEGIN and rest == "READ",
    )
