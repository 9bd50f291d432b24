"""The simulation of `world` with client accounts, relayed callers and reports."""

import dataclasses

from siskinhold.direct import (
    AcceptCaller,
    Account,
    AccountBounds,
    CallerMoved,
    CallerOpened,
    CloseCaller,
    ConfigurationConfirmed,
    ConfigurationRead,
    HoldersUnavailable,
    PresenceHeard,
    Refusal,
    RefuseCaller,
    RelayCaller,
    ReportPresence,
)

from .world import LATENCY, World

BOUNDS = AccountBounds(withdrawal=5.0, window=5.0, excess=0.1, slack=20.0)


class AccountsWorld(World):
    """VMs whose callers have keys: `k1` of the account `acme`, `k2` of `birch`.

    Args:
        rate: operations of `acme` in a second, None for no limit.
        burst: its burst, by default as many as in a second.

    Attributes:
        sent: requests that were sent to servers, with the account of the connection.
        unheard: pairs of VMs of which the second does not hear the first.
        places: VM and session that serve a caller, by its VM and session.
    """

    def __init__(self, *, rate=None, burst=None, vms=3, **options):
        self.keys = {"k1": "acme", "k2": "birch"}
        self.rate = rate
        self.burst = rate if burst is None else burst
        self.anonymous = set()
        self.unheard = set()
        self.places = {}
        self.origins = {}
        self.users = {}
        self.relays = []
        self.sent = []
        super().__init__(vms=vms, **options)

    def configure(self):
        """Return a configuration with accounts."""
        plain = super().configure()
        routes = {}
        for name, route in plain.routes.items():
            anonymous = name in self.anonymous
            routes[name] = dataclasses.replace(route, anonymous=anonymous)
        acme = Account(name="acme", rate=self.rate, burst=self.burst or 0.0)
        accounts = {"acme": acme, "birch": Account(name="birch")}
        return dataclasses.replace(
            plain, routes=routes, accounts=accounts, keys=dict(self.keys)
        )

    def add_vm(self, name, zone, names, seed, first_number=1):
        """Start a VM that also confirms its configuration."""
        super().add_vm(name, zone, names, seed, first_number)
        state = self.states[name]
        state.accounts.bounds = BOUNDS
        # As in the deployment with accounts.
        state.copy.bound = BOUNDS.withdrawal
        self.at(self.now, lambda: self.confirm(name, state))

    def confirm(self, vm, state):
        """Send a VM the newest configuration, twice a second while it can."""
        if state is not self.states[vm]:
            return
        if vm not in self.store_down and vm not in self.paused:
            now = self.now
            read = ConfigurationRead(at=now, configuration=self.configure())
            self.dispatch(vm, read)
            self.dispatch(vm, ConfigurationConfirmed(at=now, confirmed_at=now))
        self.at(self.now + 0.5, lambda: self.confirm(vm, state))

    def change(self, **values):
        """Publish a configuration with other keys, routes or limits."""
        for name, value in values.items():
            setattr(self, name, value)
        self.version += 1
        for vm in set(self.states) - self.store_down - self.paused:
            read = ConfigurationRead(at=self.now, configuration=self.configure())
            self.dispatch(vm, read)

    def send(self, vm, number, command):
        """Send a command to its server, and record the account of its connection."""
        if command.request:
            self.sent.append((self.users[vm, number], command.request))
        super().send(vm, number, command)

    def open(self, vm, effect):
        """Open a connection, and record the account for which it was."""
        self.users[vm, effect.connection] = effect.account
        super().open(vm, effect)

    def perform(self, vm, effect):
        """Carry out an effect."""
        if isinstance(effect, ReportPresence):
            for other in effect.vms:
                if (vm, other.name) in self.unheard:
                    continue
                heard = PresenceHeard(
                    at=0,
                    vm=vm,
                    serving=effect.serving,
                    heard=effect.heard,
                    demands=effect.demands,
                )
                self.deliver(other.name, self.now + LATENCY, heard)
        elif isinstance(effect, RelayCaller):
            self.relays.append((vm, effect.holders[0].name))
            self.at(self.now + LATENCY, lambda: self.relay(vm, effect))
        elif isinstance(effect, AcceptCaller):
            origin = self.origins.get((vm, effect.session), (vm, effect.session))
            self.places[origin] = vm, effect.session
        elif isinstance(effect, RefuseCaller) and (vm, effect.session) in self.origins:
            self.answer_relay(vm, effect)
        else:
            if isinstance(effect, CloseCaller):
                origin = self.origins.get((vm, effect.session), (vm, effect.session))
                self.places.pop(origin, None)
            super().perform(vm, effect)

    def relay(self, vm, effect):
        """Relay a caller to the first holder that runs."""
        caller = self.states[vm].relayed.get(effect.session)
        lost = []
        for holder in effect.holders:
            if holder.name in self.stopped | self.paused:
                lost.append(holder.name)
                continue
            self.order += 1
            self.origins[holder.name, self.order] = vm, effect.session
            opened = CallerOpened(
                at=self.now,
                session=self.order,
                database=caller.database,
                relayed=True,
                key=caller.key,
            )
            self.dispatch(holder.name, opened)
            break
        if lost:
            session = effect.session if len(lost) == len(effect.holders) else 0
            gone = HoldersUnavailable(
                at=0, silent=tuple(lost), refused=(), session=session
            )
            self.deliver(vm, self.now + LATENCY, gone)

    def answer_relay(self, holder, effect):
        """Tell a relaying VM that a holder did not take its caller."""
        vm, session = self.origins[holder, effect.session]
        if effect.refusal is Refusal.MOVED:
            vms = tuple(effect.detail.split(","))
            moved = CallerMoved(at=0, session=session, vms=vms)
            self.deliver(vm, self.now + LATENCY, moved)
        else:
            self.closed.append((vm, session, effect.refusal))

    def open_caller(self, vm, key, database="views", wait=2.0):
        """Connect a caller; return what serves it, or the refusal, None for neither."""
        self.order += 1
        session = self.order
        opened = CallerOpened(at=self.now, session=session, database=database, key=key)
        self.dispatch(vm, opened)
        for _ in range(int(wait / 0.01)):
            if (vm, session) in self.places:
                return self.places[vm, session]
            for closed in self.closed:
                if closed[:2] == (vm, session):
                    return closed[2]
            self.advance(0.01)
        return None

    def press(self, seconds, callers=4):
        """Have callers of `acme` send reads at every VM without a pause."""
        until = self.now + seconds
        live = {}
        while self.now < until:
            for vm in self.states:
                if vm in self.stopped | self.paused:
                    continue
                for number in range(callers):
                    self.press_once(live, (vm, number))
            self.advance(0.02)

    def press_once(self, live, caller):
        """Have a caller send its next read, or connect again."""
        vm, number = caller
        session, asked = live.get(caller, (0, 0))
        place = self.places.get((vm, session))
        if place is None or place[0] in self.stopped:
            self.order += 1
            live[caller] = self.order, 0
            opened = CallerOpened(
                at=self.now, session=self.order, database="views", key="k1"
            )
            self.dispatch(vm, opened)
            return
        answered = len(self.replies.get(place, ()))
        if answered >= asked and place[0] not in self.paused:
            live[caller] = session, answered + 1
            self.send_statement(*place, "READ x")

    def count_most(self, window=5.0, since=0.0):
        """Return the most reads that the servers ran in a window."""
        times = []
        for server in self.servers.values():
            for at, request, _ in server.ran:
                if request and at >= since:
                    times.append(at)
        times.sort()
        most = first = 0
        for index, time in enumerate(times):
            while times[first] <= time - window:
                first += 1
            most = max(most, index + 1 - first)
        return most
