"""Seeded campaign of unseen terms and of lists that lack servers, on simulated time.

Primaries are cut off from some of the VMs and from their replicas, new servers start
and old ones leave, lists of servers are seconds old or lack a server, and callers are
idle for a while. So a VM may miss a whole term, or not know the server that leads it.
"""

from .campaign import CampaignWorld, list_violations as list_order_violations
from .world import ZONES, FakeServer

DURATION = 40.0
"""Seconds that a play lasts, after its start."""

STATEMENT_INTERVAL = 0.05
"""Seconds between two callers at each VM that is not idle."""

STALENESS = 3.0
"""Age in seconds of the data that a stale read of the store may return."""

DRAIN_PERIOD = 7.0
"""Seconds from a server's announcement that it leaves until it ends."""


class MembershipWorld(CampaignWorld):
    """World whose VMs know different lists of servers.

    Args:
        seed: seed of the faults and of the VMs.
    """

    def __init__(self, *, seed):
        self.stale_vms = set()
        self.lists = []
        self.sent = {}
        self.idle_until = {}
        self.starts = []
        self.brought_back = []
        super().__init__(seed=seed)
        for vm in self.states:
            if self.random.random() < 0.5:
                self.stale_vms.add(vm)
        self.record_list()

    def record_list(self):
        """Record the present list of servers, for stale reads."""
        entries = tuple(s.entry() for s in self.servers.values() if s.listed)
        self.lists.append((self.now, entries))
        self.after(0.1, self.record_list)

    def read_entries(self, vm):
        """Return the entries that a VM reads, and the time for which they are valid."""
        if vm not in self.stale_vms or self.random.random() < 0.4:
            return super().read_entries(vm)
        found = self.lists[0][1]
        for at, entries in self.lists:
            if at <= self.now - STALENESS:
                found = entries
        return found, None

    def replicate(self, leader, position):
        """Send a commit to the replicas unless the primary is cut off from them."""
        if not leader.isolated:
            super().replicate(leader, position)

    def follow(self, replica, primary):
        """Have a replica learn of a new primary, some of them late."""
        if self.random.random() < 0.3:
            self.after(self.random.uniform(0.05, 3.0), super().follow, replica, primary)
        else:
            super().follow(replica, primary)

    def promote(self, name):
        """Make a server the primary; record commits that this brings back."""
        server = self.servers[name]
        for term, start in self.starts:
            if term > server.received.term and server.received > start:
                text = f"{name} at {server.received} is promoted, {term} began at"
                self.brought_back.append(f"{self.now:.3f} {text} {start}")
        super().promote(name)
        self.starts.append((server.term, server.received))

    def call(self, vm, session):
        """Have callers of a VM write or read, with idle times in between."""
        draw = self.random
        if draw.random() < 0.01:
            self.idle_until[vm] = self.now + draw.uniform(0.5, 6.0)
        busy = self.now >= self.idle_until.get(vm, 0.0)
        if busy and vm not in self.paused and vm not in self.stopped:
            self.connect(vm, session)
            text = f"WRITE x {session}" if draw.random() < 0.5 else "READ x"
            self.sent[self.send_statement(vm, session, text)] = (self.now, vm)
        self.after(STATEMENT_INTERVAL, self.call, vm, session + 1)

    def find_primary(self):
        """Return the primary of the newest term."""
        return max(self.servers.values(), key=lambda s: (s.leads, s.term))

    def trouble(self):
        """Choose the next faults."""
        draw = self.random
        faults = (
            self.cut_primary,
            self.release,
            self.cut_and_release,
            self.crash_primaries,
        )
        draw.choice(faults)()
        if draw.random() < 0.5:
            self.delay_replicas(draw.uniform(0.05, 1.0), draw.uniform(1.0, 8.0))
        if draw.random() < 0.3:
            self.hide(draw.choice(list(self.servers)))
        if draw.random() < 0.3:
            self.fail_vm(draw.choice(list(self.states)))
        self.after(draw.uniform(5.0, 12.0), self.trouble)

    def cut_primary(self):
        """Cut the primary off from some of the VMs, and perhaps from its replicas."""
        draw = self.random
        primary = self.find_primary()
        vms = sorted(self.states)
        count = max(1, round(draw.uniform(0.45, 0.7) * len(vms)))
        primary.unreachable_from = set(draw.sample(vms, count))
        primary.isolated = draw.random() < 0.6
        for vm in sorted(set(vms) - primary.unreachable_from):
            if draw.random() < 0.5:
                self.idle_until[vm] = self.now + draw.uniform(1.0, 5.0)
            if draw.random() < 0.2:
                self.store_down.add(vm)
                self.after(draw.uniform(1.0, 6.0), self.store_down.discard, vm)
        self.after(draw.uniform(5.0, 7.0), self.heal, primary)

    def delay_replicas(self, lag, seconds):
        """Have all replicas receive commits late for some seconds."""
        for server in self.servers.values():
            server.lag = lag
        self.after(seconds, self.end_delay)

    def end_delay(self):
        """Have all replicas receive commits without delay again."""
        for server in self.servers.values():
            server.lag = 0.002

    def crash_primaries(self):
        """Crash primaries one after the other while the replicas receive late."""
        draw = self.random
        self.delay_replicas(draw.uniform(0.3, 6.0), draw.uniform(1.0, 6.0))
        for number in range(draw.choice((1, 2, 2))):
            at = number * draw.uniform(1.8, 3.5) + draw.uniform(0.1, 0.8)
            self.after(at, self.crash_primary, draw.uniform(1.0, 5.0))

    def crash_primary(self, seconds):
        """Crash the primary; it comes back with its log after some seconds."""
        primary = self.find_primary()
        if not primary.process_down:
            self.crash(primary.name)
            self.after(seconds, self.come_back, primary)

    def come_back(self, server):
        """Start a server again, as a replica if another one was promoted."""
        server.process_down = False
        server.started += 1
        primary = self.find_primary()
        if primary is not server:
            server.leads = False
            if not primary.process_down:
                self.follow(server, primary)

    def heal(self, server):
        """Reach a server again; an old primary steps down a second later."""
        server.unreachable_from = set()
        server.isolated = False
        self.after(1.0, self.step_back, server)

    def step_back(self, server):
        """Have a primary that was replaced follow the new one."""
        primary = self.find_primary()
        if server.leads and server is not primary and not server.process_down:
            self.rejoin(server.name)

    def release(self):
        """Start a new server, then have one of the old ones leave."""
        draw = self.random
        ready = [s for s in self.servers.values() if s.state == "ready" and s.listed]
        if len(ready) > 4:
            return
        primary = self.find_primary()
        name = f"s{len(self.servers) + 1}"
        new = FakeServer(world=self, name=name, zone=draw.choice(ZONES), leads=False)
        new.term = primary.term
        new.received = new.applied = primary.applied
        self.servers[name] = new
        leaving = primary if draw.random() < 0.5 else draw.choice(ready)
        self.after(draw.uniform(0.1, 1.5), self.leave, leaving)

    def cut_and_release(self):
        """Release a server around the moment at which the primary is cut off."""
        self.after(self.random.uniform(0.0, 3.0), self.cut_primary)
        self.after(self.random.uniform(0.0, 3.0), self.release)

    def leave(self, server):
        """Have a server announce that it leaves, and end some time later."""
        if server.state == "ready":
            server.state = "draining"
            self.after(DRAIN_PERIOD, self.end_server, server)

    def end_server(self, server):
        """End a server that has announced it."""
        server.listed = False
        if not server.process_down:
            self.crash(server.name)

    def hide(self, name):
        """Have a server that works miss in the list for a while."""
        server = self.servers[name]
        if server.state != "ready" or server.process_down:
            return
        server.listed = False
        self.after(self.random.uniform(1.0, 12.0), self.show, server)

    def show(self, server):
        """List a server again."""
        if not server.process_down:
            server.listed = True


def play(seed) -> MembershipWorld:
    """Play the faults of a seed, and return the world at the end."""
    world = MembershipWorld(seed=seed)
    world.advance(2.0)
    for vm in sorted(world.states):
        world.call(vm, 1)
    world.trouble()
    world.advance(DURATION)
    return world


def list_violations(world) -> list[str]:
    """Return what the orders and the acknowledged statements of a play violate."""
    found = list_order_violations(world) + _list_stale_reads(world)
    return found + world.brought_back


def _list_stale_reads(world) -> list[str]:
    """Return the reads that ran in an older term than a write acknowledged before."""
    runs = {}
    for server in world.servers.values():
        for ran_at, request, text in server.ran:
            terms = [t for at, n, t in world.promotions if n == server.name]
            times = [at for at, n, t in world.promotions if n == server.name]
            term = 0
            for at, number in zip(times, terms, strict=True):
                if at <= ran_at:
                    term = number
            runs[f"{server.name}:{request}"] = (request, text, term)
    acknowledged = []
    for replies in world.replies.values():
        for at, answer in replies:
            if answer.refusal is None and answer.signature in runs:
                acknowledged.append((at, *runs[answer.signature]))
    acknowledged.sort()
    found = []
    for _, request, text, term in acknowledged:
        if text.startswith("WRITE"):
            continue
        sent_at, vm = world.sent[request]
        for at, _, other, newer in acknowledged:
            if at > sent_at:
                break
            if other.startswith("WRITE") and newer > term:
                found.append(
                    f"{vm} read in term {term} at {sent_at:.3f}, after {newer}"
                )
                break
    return found
