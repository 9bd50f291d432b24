"""Seeded campaign of servers that end, crash, return and receive nothing."""

from .logs_world import DRAIN_PERIOD, LogsWorld

DURATION = 40.0
"""Seconds in which faults begin."""

HEALING = 25.0
"""Seconds after the faults in which writes have to go on."""


class LogsCampaign(LogsWorld):
    """World whose faults a seed chooses; at most one server crashes at a time."""

    def __init__(self, *, seed):
        servers, acknowledging = ((3, 1), (3, 2), (5, 1), (5, 2))[seed % 4]
        super().__init__(servers=servers, acknowledging=acknowledging, seed=seed)
        self.ends_at = self.now + 2.0 + DURATION
        self.holders = []

    def trouble(self):
        """Begin some faults, and choose when the next ones begin."""
        draw = self.random
        if self.now >= self.ends_at:
            return
        faults = (self.end_in_series, self.fail, self.lose_reach, self.restart_vms)
        if draw.random() < 0.8:
            self.separate_holders()
        self.at(self.now + draw.uniform(0.2, 1.5), draw.choice(faults))
        self.at(self.now + draw.uniform(5.0, 14.0), self.trouble)

    def separate_holders(self):
        """Have only as many replicas receive as have to acknowledge, for a while."""
        draw = self.random
        replicas = [name for name in self.list_ready() if name != self.primary.name]
        draw.shuffle(replicas)
        self.holders = replicas[: self.acknowledging]
        for name in replicas[self.acknowledging :]:
            self.deaf.add(name)
            until = self.now + draw.uniform(2.0, 12.0)
            self.at(until, lambda name=name: self.hear(name))

    def list_ready(self):
        """Return the names of the servers that run and stay."""
        found = []
        for name, server in sorted(self.servers.items()):
            if not server.process_down and server.state == "ready" and server.listed:
                found.append(name)
        return found

    def end_in_series(self):
        """Have the primary drain and end, and perhaps another server beside it."""
        draw = self.random
        ready = self.list_ready()
        if len(ready) < 3 or self.primary.name not in ready:
            return
        others = [name for name in ready if name != self.primary.name]
        leaving = [self.primary.name]
        if draw.random() < 0.7:
            held = [name for name in self.holders if name in others]
            leaving.append(draw.choice(held or others))
        draw.shuffle(leaving)
        gap = draw.choice((0.0, 1.0, 3.0))
        replaced = draw.random() < 0.3
        for place, name in enumerate(leaving):
            back = draw.uniform(0.5, 4.0)

            def leave(name=name, back=back):
                if name in self.list_ready():
                    self.leave(name, returns=back, replaced=replaced)

            self.at(self.now + gap * place, leave)

    def fail(self):
        """Crash a server, the primary more often; it returns with its log."""
        draw = self.random
        if any(server.process_down for server in self.servers.values()):
            return
        ready = self.list_ready()
        name = self.primary.name if draw.random() < 0.6 else draw.choice(ready)
        if name not in ready:
            return
        self.crash(name)
        if draw.random() < 0.5:
            self.servers[name].listed = False
        if draw.random() < 0.5:
            for holder in self.holders:
                self.lose_reach(holder, all_vms=True)
        self.at(self.now + draw.uniform(1.0, 10.0), lambda: self.come_back(name))

    def lose_reach(self, name="", *, all_vms=False):
        """Have VMs lose a server; its entry may expire meanwhile."""
        draw = self.random
        server = self.servers[name or draw.choice(sorted(self.servers))]
        vms = sorted(self.states)
        count = len(vms) if all_vms else draw.randint(1, len(vms))
        server.unreachable_from = set(draw.sample(vms, count))
        expires = draw.random() < 0.5 and server.state == "ready"
        if expires:
            server.listed = False

        def heal():
            server.unreachable_from = set()
            if expires and not server.process_down:
                server.listed = True

        self.at(self.now + draw.uniform(1.0, 8.0), heal)

    def restart_vms(self):
        """Start some of the VMs again, or all of them."""
        vms = sorted(self.states)
        for vm in self.random.sample(vms, self.random.randint(1, len(vms))):
            self.stop_process(vm)
            self.start_process(vm)


def play(seed) -> LogsCampaign:
    """Play the faults of a seed, and return the world at the end."""
    world = LogsCampaign(seed=seed)
    world.advance(2.0)
    for vm in sorted(world.states):
        world.write(vm)
    world.trouble()
    world.advance(DURATION + DRAIN_PERIOD + HEALING)
    return world
