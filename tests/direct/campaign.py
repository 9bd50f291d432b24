"""Seeded campaign of faults around promotion orders, on simulated time."""

import random

from .world import ORDER_LEASE, World

DURATION = 30.0
"""Seconds that a play lasts, after its start."""

WRITE_INTERVAL = 0.1
"""Seconds between two callers at each VM."""


class CampaignWorld(World):
    """World that records orders, promotions and acknowledged writes.

    Args:
        seed: seed of the faults and of the VMs.
    """

    def __init__(self, *, seed):
        self.random = random.Random(seed)
        self.gaps = []
        self.promotions = [(0.0, "s1", 1)]
        super().__init__(vms=self.random.choice((3, 4, 5)), seed=seed)

    def check_lease(self, vm):
        """Record the seconds since another VM's last order."""
        if self.orders and self.orders[-1][1] != vm:
            self.gaps.append(round(self.now - self.orders[-1][0], 6))

    def receive_order(self, vm, order):
        """Carry out an order, and choose the faults that follow it."""
        super().receive_order(vm, order)
        self.fail_after_order(vm, order.server)

    def promote(self, name):
        """Make a server the primary, and record when."""
        super().promote(name)
        self.promotions.append((self.now, name, self.servers[name].term))

    def after(self, seconds, action, *arguments):
        """Run an action after some seconds."""
        self.at(self.now + seconds, lambda: action(*arguments))

    def write(self, vm, session):
        """Have callers of a VM write, one after the other."""
        if vm not in self.paused and vm not in self.stopped:
            self.connect(vm, session)
            self.send_statement(vm, session, f"WRITE x {session}")
        self.after(WRITE_INTERVAL, self.write, vm, session + 1)

    def fail_after_order(self, vm, promoted):
        """Choose faults of the promoted server, the VMs and the store."""
        draw = self.random
        if draw.random() < 0.8:
            self.after(0.3 + draw.uniform(0.0, 0.8), self.fail_server, promoted)
        if draw.random() < 0.5:
            self.after(draw.uniform(0.0, 1.0), self.fail_vm, vm)
        others = [name for name in self.states if name != vm]
        if draw.random() < 0.5:
            self.after(draw.uniform(0.0, 1.0), self.fail_vm, draw.choice(others))
        if draw.random() < 0.2:
            self.slow_store(draw.uniform(0.02, 0.3), draw.uniform(0.5, 3.0))
        if draw.random() < 0.2:
            self.order_lost = 1
        if draw.random() < 0.2:
            self.order_delays = [draw.uniform(0.1, 0.9)]

    def fail_server(self, name):
        """Crash, drain or isolate a server for some seconds, if no other one fails."""
        for server in self.servers.values():
            if server.process_down or server.down or server.state != "ready":
                return
        kind = self.random.choice(("crash", "crash", "drain", "isolate"))
        if kind == "crash":
            self.crash(name)
        elif kind == "drain":
            self.drain(name)
        else:
            self.servers[name].down = True
        self.after(self.random.uniform(0.8, 2.5), self.restore_server, name)

    def restore_server(self, name):
        """End a server's fault; one that was replaced is a replica from then on.

        A server that announced to leave comes back as another process.
        """
        server = self.servers[name]
        if server.state == "draining":
            self.crash(name)
        if server.process_down:
            server.started += 1
        server.state = "ready"
        server.down = False
        newest = max(s.term for s in self.servers.values())
        if server.leads and server.term == newest:
            server.process_down = False
            return
        self.rejoin(name)

    def fail_vm(self, vm):
        """Kill, pause or restart a VM, or cut it off from the store."""
        if vm in self.stopped or vm in self.paused or vm in self.store_down:
            return
        seconds = self.random.uniform(0.1, 3.0)
        kind = self.random.choice(("kill", "restart", "pause", "cut off", "lose"))
        if kind in ("kill", "restart"):
            self.stop_process(vm)
            if kind == "restart":
                seconds = self.random.uniform(0.05, 0.5)
            self.after(seconds, self.start_process, vm)
        elif kind == "pause":
            self.paused.add(vm)
            self.after(seconds, self.paused.discard, vm)
        elif kind == "cut off":
            self.store_down.add(vm)
            self.after(seconds, self.store_down.discard, vm)
        else:
            self.unanswered.add(vm)
            self.after(seconds, self.unanswered.discard, vm)

    def slow_store(self, delay, seconds):
        """Slow the store down for some seconds."""
        before = self.store_delay, self.record_delay
        self.store_delay, self.record_delay = delay, delay

        def end():
            self.store_delay, self.record_delay = before

        if before[1] == 0.0:
            self.after(seconds, end)

    def fail_primary(self):
        """Have the primary fail again and again."""
        newest = max(self.servers.values(), key=lambda s: (s.term, s.leads))
        self.fail_server(newest.name)
        self.after(self.random.uniform(2.0, 6.0), self.fail_primary)


def play(seed) -> CampaignWorld:
    """Play the faults of a seed, and return the world at the end."""
    world = CampaignWorld(seed=seed)
    world.advance(2.0)
    for vm in world.states:
        world.write(vm, 1)
    world.fail_primary()
    world.advance(DURATION)
    return world


def list_violations(world) -> list[str]:
    """Return what the orders and the acknowledged writes of a play violate."""
    found = []
    for gap in world.gaps:
        if gap < ORDER_LEASE:
            found.append(f"orders of two VMs {gap:.3f} s apart")
    holders = {}
    newest = 0
    for _, vm, _, token in world.orders:
        if token < newest:
            found.append(f"token {token} after {newest}")
        newest = max(newest, token)
        if holders.setdefault(token, vm) != vm:
            found.append(f"token {token} of {holders[token]} and {vm}")
    for at, vm, _, fields in world.find_logs("event_failed"):
        found.append(f"{vm} failed at {at:.3f}: {fields}")
    return found + _list_replaced_writes(world)


def _list_replaced_writes(world) -> list[str]:
    """Return the acknowledged writes that ran at a replaced primary."""
    runs = {}
    for server in world.servers.values():
        for ran_at, request, text in server.ran:
            if text.startswith("WRITE"):
                runs[f"{server.name}:{request}"] = (ran_at, server.name)
    found = []
    for (vm, _), replies in world.replies.items():
        for _, answer in replies:
            if answer.refusal is not None or answer.signature not in runs:
                continue
            ran_at, name = runs[answer.signature]
            primary = [p for at, p, _ in world.promotions if at < ran_at][-1]
            if primary != name:
                text = f"{vm} acknowledged a write at {name}, {primary} led"
                found.append(f"{text} at {ran_at:.3f}")
    return found
