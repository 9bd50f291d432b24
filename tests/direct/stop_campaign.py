"""Seeded campaign of shutdowns under callers that stay until the process has ended."""

import random

from siskinhold.direct import (
    AcceptCaller,
    CallerStatement,
    CloseCaller,
    CommandKind,
    Refusal,
    RefuseCaller,
    ReplyCaller,
    ShutdownRequested,
    StatementKind,
    Stop,
)
from siskinhold.direct.pools import find_control_connection

from .stop_callers import KINDS, Request
from .world import LATENCY, World

DURATION = 20.0
"""Seconds in which VMs are stopped and faults begin."""

GRACES = (2.0, 6.0, 10.0)
"""Grace periods in seconds."""

START_SHARE = 0.8
"""Share of the grace period after which nothing is sent for callers: the target."""

TOLERANCE = 1e-6
"""Seconds by which times may differ due to rounding."""

NOT_RUN = (
    Refusal.BUSY,
    Refusal.LAGGING,
    Refusal.READ_ONLY,
    Refusal.WRONG_SERVER,
    Refusal.OVERLOAD,
)
"""Refusals which state that a single statement was not run."""

COMMANDS = (
    CommandKind.SET,
    CommandKind.RESET,
    CommandKind.PREPARE,
    CommandKind.DEALLOCATE,
    CommandKind.ROLLBACK,
)
"""Commands that a server may refuse."""

BEGINS = (CommandKind.BEGIN, CommandKind.BEGIN_READ)


class StopWorld(World):
    """World that stops VMs under callers, and records what these got.

    Args:
        seed: seed of the callers, the faults and the VMs.
    """

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.grace = self.random.choice(GRACES)
        self.requests = {}
        self.pending = {}
        self.callers = {}
        self.transactions = {}
        self.prepared = {}
        self.values = {}
        self.violations = []
        self.stops = []
        self.committed = set()
        self.begun = {}
        self.next_session = 1000
        self.next_transaction = 0
        self.injecting = True
        slots = self.random.choice((4, 4, 40))
        super().__init__(vms=3, slots=slots, seed=seed)
        for name in ("orders", "views", "crew"):
            self.timeouts[name] = self.random.choice((0.5, 1.0, 3.0, 8.0))

    def add_vm(self, name, zone, names, seed, first_number=1):
        """Start a VM with the grace period of the play."""
        super().add_vm(name, zone, names, seed, first_number)
        self.states[name].grace = self.grace

    def after(self, seconds, action, *arguments):
        """Run an action after some seconds."""
        self.at(self.now + seconds, lambda: action(*arguments))

    def report(self, text):
        """Record a violation."""
        self.violations.append(f"{text}, at {self.now:.3f}")

    def allocate_request(self):
        """Return a new request id."""
        self.order += 1
        return f"r{self.order}"

    def open_session(self, caller):
        """Connect a caller; return its session."""
        self.next_session += 1
        session = self.next_session
        self.prepared[caller.vm, session] = {}
        self.values[caller.vm, session] = {}
        self.callers[caller.vm, session] = caller
        self.connect(caller.vm, session, caller.database)
        return session

    def leave(self, caller):
        """End a caller's connection, from its side."""
        key = caller.vm, caller.session
        if self.callers.pop(key, None) is None:
            return
        request = self.pending.pop(key, None)
        if request is not None:
            request.left = True
        self.disconnect(*key)

    def submit(self, caller, statement):
        """Have a caller send a statement, unless its connection has ended."""
        key = caller.vm, caller.session
        if key not in self.callers:
            return
        if statement.kind is StatementKind.BEGIN:
            self.next_transaction += 1
            self.transactions[key] = self.next_transaction
        request = Request(
            vm=caller.vm,
            session=caller.session,
            statement=statement,
            transaction=self.transactions.get(key, 0),
            at=self.now,
            text=self.prepared[key].get(statement.name, statement.text),
            values=dict(self.values[key]),
        )
        if statement.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self.transactions.pop(key, None)
        self.requests[statement.request] = request
        self.pending[key] = request
        event = CallerStatement(
            at=self.now, session=caller.session, statement=statement
        )
        self.dispatch(caller.vm, event)

    def perform(self, vm, effect):
        """Carry out an effect, and let callers know of it a moment later."""
        if isinstance(effect, AcceptCaller):
            self.notify(vm, effect.session, None)
        elif isinstance(effect, ReplyCaller):
            self.record_answer(vm, effect)
        elif isinstance(effect, RefuseCaller):
            self.end_session(vm, effect.session)
        elif isinstance(effect, CloseCaller):
            self.close_session(vm, effect.session)
        else:
            super().perform(vm, effect)
        if isinstance(effect, Stop):
            self.end_process(vm)

    def notify(self, vm, session, answer):
        """Let a caller go on."""
        caller = self.callers.get((vm, session))
        if caller is not None:
            self.after(LATENCY, caller.resume, session, answer)

    def record_answer(self, vm, effect):
        """Record the answer to the pending statement of a session."""
        key = vm, effect.session
        request = self.pending.pop(key, None)
        if request is None:
            if key in self.callers:
                self.report(f"surplus answer: {vm}, session {effect.session}")
            return
        request.answers.append(effect.answer)
        statement = request.statement
        if effect.answer.refusal is Refusal.NO_STATEMENT:
            self.report(f"is unknown: {request}")
        elif effect.answer.refusal is None:
            if statement.kind is StatementKind.SET:
                self.values[key][statement.name] = statement.value
            elif statement.kind is StatementKind.PREPARE:
                mode = "WRITE" if statement.writes else "READ"
                self.prepared[key][statement.name] = f"{mode} {statement.shape}"
        begins = request.statement.kind is StatementKind.BEGIN
        if begins and effect.answer.refusal is not None:
            self.transactions.pop(key, None)
        self.notify(vm, effect.session, effect.answer)

    def close_session(self, vm, session):
        """End a connection as its VM wishes, unless a statement has crossed with it."""
        request = self.pending.get((vm, session))
        if request is not None:
            self.report(f"closed early: {request}")
            return
        self.end_session(vm, session)
        self.at(self.now, lambda: self.disconnect(vm, session))

    def end_session(self, vm, session):
        """Let a caller know that its connection has ended."""
        caller = self.callers.pop((vm, session), None)
        if caller is not None:
            self.after(LATENCY, caller.handle_end, session)

    def end_process(self, vm):
        """End a VM's process with its connections, and start it again later."""
        state = self.states[vm]
        took = self.now - state.shutdown_at
        self.stops.append((self.now, vm, took))
        if took > self.grace:
            self.report(f"grace exceeded: {vm} took {took:.3f} s")
        self.stop_process(vm)
        for key in [key for key in self.callers if key[0] == vm]:
            request = self.pending.pop(key, None)
            if request is not None:
                self.report(f"no answer: {request}")
            self.end_session(*key)
        if self.injecting:
            self.after(self.random.choice((0.05, 0.5, 2.0)), self.start_process, vm)

    def shut_down(self, vm):
        """Request the graceful shutdown of a VM, and check when it has ended."""
        state = self.states[vm]
        if vm in self.stopped or state.shutdown_at is not None:
            return
        self.dispatch(vm, ShutdownRequested(at=self.now))
        self.after(self.grace + TOLERANCE, self.check_stopped, vm, state)

    def check_stopped(self, vm, state):
        """Report a VM that still runs after its grace period."""
        if self.states[vm] is state and vm not in self.stopped:
            self.report(f"grace exceeded: {vm} still runs")

    def send(self, vm, number, command):
        """Send a command, and check that it is not too late for that."""
        key = vm, number
        if command.kind in BEGINS:
            self.begun[key] = self.now
        elif command.kind is CommandKind.ROLLBACK:
            self.begun.pop(key, None)
        state = self.states[vm]
        if state.shutdown_at is not None:
            limit = state.shutdown_at + START_SHARE * self.grace + TOLERANCE
            if self.now > limit and not self.was_begun(key, command, limit):
                sent = f"{command.kind.value} {command.request} for {vm}"
                self.report(f"late send: {sent}, {self.now - limit:.3f} s late")
        super().send(vm, number, command)

    def was_begun(self, key, command, limit):
        """Return whether a command is for no caller, or for an earlier `BEGIN`.

        On the control connection no transaction of a caller runs.
        """
        if command.kind in BEGINS:
            return self.is_control(*key)
        request = self.requests.get(command.request)
        if request is None:
            return True
        begun = self.begun.get(key, limit)
        return bool(request.transaction) and max(begun, request.at) < limit

    def is_control(self, vm, number):
        """Return whether a connection is the control connection to its server."""
        connection = self.connections.get((vm, number))
        if connection is None:
            return False
        server = self.states[vm].servers[connection.server.name]
        control = find_control_connection(server)
        return control is not None and control.number == number

    def check_run(self, connection, request, text):
        """Report a run of another text, or with other values, than were set up."""
        sent = self.requests[request]
        if sent.text != text:
            self.report(f"ran {text[:40]!r}, set up {sent.text[:40]!r}: {sent}")
        if sent.values != connection.values:
            set_up, found = str(sent.values)[:80], str(connection.values)[:80]
            self.report(f"ran with {found}, set up {set_up}: {sent}")

    def replicate(self, leader, position):
        """Record the request that committed, and send its commit to the replicas."""
        self.committed.add(leader.ran[-1][1])
        super().replicate(leader, position)

    def check_lease(self, vm):
        """Check nothing: the campaign of promotions does."""

    def stop_vms(self):
        """Stop VMs one after the other, or at about the same time."""
        names = list(self.states)
        self.random.shuffle(names)
        gap = self.random.choice((0.0, 0.3, self.grace / 2, self.grace + 1.0))
        for index, vm in enumerate(names[: self.random.choice((1, 2, 3))]):
            self.after(index * gap, self.shut_down, vm)
        if self.injecting:
            self.after(self.random.uniform(0.5, self.grace), self.stop_vms)

    def fail_something(self):
        """Begin a fault, and the next one later."""
        if not self.injecting:
            return
        server = self.random.choice(list(self.servers.values()))
        fault = self.random.choice(
            (self.slow_down, self.slow_down, self.lose_answers, self.be_busy)
            + (
                self.refuse_commands,
                self.lag_behind,
                self.crash_server,
                self.drain_server,
                self.lose_store,
            )
        )
        fault(server)
        self.after(self.random.uniform(0.2, 3.0), self.fail_something)

    def slow_down(self, server):
        """Have a server, or all of them, run statements slowly for a while."""
        seconds = self.random.choice((0.05, 0.2, 0.7, 2.0, 9.0))
        period = self.random.uniform(0.3, 6.0)
        servers = [server]
        if self.random.random() < 0.3:
            servers = list(self.servers.values())
        for each in servers:
            each.statement_time = seconds
            self.after(period, setattr, each, "statement_time", 0.01)

    def lose_answers(self, server):
        """Lose some answers of a server."""
        server.lose_answers = self.random.choice((1, 5, 50))
        self.after(self.random.uniform(0.3, 4.0), setattr, server, "lose_answers", 0)

    def be_busy(self, server):
        """Have a server refuse statements for a while."""
        server.answer_busy = self.random.choice((1, 10, 1000))
        self.after(self.random.uniform(0.3, 4.0), setattr, server, "answer_busy", 0)

    def refuse_commands(self, server):
        """Have a server refuse some of the commands of VMs for a while."""
        for kind in self.random.sample(COMMANDS, self.random.choice((1, 2))):
            failed = kind is CommandKind.PREPARE and self.random.random() < 0.5
            server.refuses[kind] = Refusal.FAILED if failed else Refusal.BUSY
        self.after(self.random.uniform(0.1, 2.0), server.refuses.clear)

    def lag_behind(self, server):
        """Have a server receive commits late for a while."""
        server.lag = self.random.choice((0.1, 1.0, 3.0))
        self.after(self.random.uniform(0.5, 5.0), setattr, server, "lag", 0.002)

    def crash_server(self, server):
        """Crash a server if no other one fails; it is a replica once it is replaced."""
        if any(s.process_down or s.state != "ready" for s in self.servers.values()):
            return
        self.crash(server.name)
        self.after(self.random.uniform(0.5, 3.0), self.restore_server, server)

    def drain_server(self, server):
        """Have a server announce to leave; it comes back as another process."""
        if any(s.process_down or s.state != "ready" for s in self.servers.values()):
            return
        self.drain(server.name)
        self.after(self.random.uniform(1.0, 4.0), self.restore_server, server)

    def restore_server(self, server):
        """Start a server again."""
        if server.state != "ready":
            self.crash(server.name)
        server.started += 1
        server.state = "ready"
        newest = max(s.term for s in self.servers.values())
        if server.leads and server.term == newest:
            server.process_down = False
            return
        self.rejoin(server.name)

    def lose_store(self, server):
        """Cut a VM, or all of them, off from the store for a while."""
        names = list(self.states)
        for vm in self.random.choice((names[:1], names[1:2], names)):
            self.store_down.add(vm)
            self.after(self.random.uniform(0.3, 4.0), self.store_down.discard, vm)


def play(seed) -> StopWorld:
    """Play the shutdowns and faults of a seed, and return the world at the end."""
    world = StopWorld(seed=seed)
    world.advance(2.0)
    for vm in world.states:
        for kind in KINDS:
            database = world.random.choice(("orders", "views", "crew"))
            caller = kind(world=world, vm=vm, database=database, random=world.random)
            caller.connect()
    world.after(0.5, world.stop_vms)
    if seed % 4:
        world.fail_something()
    world.advance(DURATION)
    world.injecting = False
    for vm in world.states:
        world.shut_down(vm)
    world.advance(world.grace + 0.1)
    return world


def list_violations(world) -> list[str]:
    """Return what the shutdowns of a play violate."""
    found = list(world.violations)
    for event in ("cut", "event_failed"):
        for at, vm, _, fields in world.find_logs(event):
            found.append(f"log {event}: {vm} at {at:.3f}, {fields}")
    runs = {}
    for server in world.servers.values():
        for _, request, text in server.ran:
            if text.startswith("WRITE"):
                runs.setdefault(request, []).append(server.name)
    aborted = set()
    for name, request in world.requests.items():
        for answer in request.answers:
            if answer.refusal is Refusal.ABORTED and request.transaction:
                aborted.add(request.transaction)
            refused = answer.refusal in NOT_RUN
            if refused and not request.transaction and name in runs:
                found.append(f"ran though {answer.refusal.value}: {request}")
            told = answer.refusal in (None, Refusal.IN_DOUBT)
            if name in world.committed and not told:
                found.append(f"committed though {answer.refusal.value}: {request}")
    for name in world.committed:
        if world.requests[name].transaction in aborted:
            found.append(f"committed though aborted: {world.requests[name]}")
    return found
