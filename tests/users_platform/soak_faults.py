"""Faults of the soak: signals, pauses, links, the store, crashes and drains."""

import asyncio
import random
import signal
import time

from .soak_processes import Link, VmProcess
from .standins import Deployment, Instance

DRAIN_PERIOD = 7.0
"""Seconds after which a draining instance must get no more statements."""

GRACE = 6.0
"""Seconds that a VM may take to end after SIGTERM."""

COMMANDS = ("SET", "RESET", "PREPARE", "DEALLOC", "ROLLBACK")
"""Commands that an instance may refuse."""

SERVICE_TIME = 0.002
"""Usual seconds that an instance takes for a statement."""


class Faults:
    """Injects faults into a deployment, chosen at random.

    Args:
        random: decides the faults and their times.
        restores: whether the store is restored from older copies, and instances leave.
        stops: whether VMs are stopped in series and at once, and seldom killed.
        refusals: whether instances refuse commands for seconds.
        routes: whether VMs stand still for longer, some at the same moment, and the
            store answers with older data.

    Attributes:
        violations: texts about checks that failed.
        counts: numbers of events, for the report.
    """

    def __init__(
        self,
        *,
        random: random.Random,
        deployment: Deployment,
        vms: list[VmProcess],
        links: list[Link],
        store_links: list[Link],
        restores: bool,
        stops: bool,
        refusals: bool = False,
        routes: bool = False,
    ) -> None:
        self._random = random
        self.deployment = deployment
        self.vms = vms
        self.links = links
        self.store_links = store_links
        self.restores = restores
        self.stops = stops
        self.refusals = refusals
        self.routes = routes
        self.injecting = True
        self.violations: list[str] = []
        self.counts = {"faults": 0}
        self._checks: set[asyncio.Task] = set()

    async def inject(self) -> None:
        """Begin a fault from time to time until the task is cancelled."""
        faults = (
            self._signal_vm,
            self._signal_vm,
            self._pause_vm,
            self._disturb_link,
            self._disturb_link,
            self._disturb_store,
            self._crash_instance,
        )
        if self.stops:
            faults = tuple(fault for fault in faults if fault != self._pause_vm)
            faults += (self._slow_down, self._reload)
        if self.restores:
            faults += (
                self.restore_store,
                self._drain_instance,
                self._delay_writes,
                self._crash_primary,
            )
        if self.routes:
            faults += (self._stand_still, self._cut_off_store, self._age_reads)
        if self.deployment.group.sync:
            faults += (self._deafen, self._deafen)
            faults += (self._end_in_series, self._end_in_series, self._end_in_series)
        if self.refusals:
            faults += (self._refuse_commands, self._refuse_commands)
        running: set[asyncio.Task] = set()
        if self.deployment.group.sync:
            running.add(asyncio.create_task(self._deafen()))
            running.add(asyncio.create_task(self._end_in_series(always_two=True)))
        if self.stops:
            running.add(asyncio.create_task(self._keep_stopping()))
        try:
            while True:
                fault = self._random.choice(faults)
                self.counts["faults"] += 1
                running.add(asyncio.create_task(fault()))
                await asyncio.sleep(self._random.uniform(0.3, 2.5))
        finally:
            for task in running:
                task.cancel()

    async def _signal_vm(self) -> None:
        numbers = (signal.SIGKILL, signal.SIGTERM, signal.SIGHUP)
        vm = self._random.choice(self.vms)
        vm.disturb(0)
        vm.send(self._random.choice(numbers))

    async def _pause_vm(self) -> None:
        vm = self._random.choice(self.vms)
        vm.send(signal.SIGSTOP)
        seconds = self._random.uniform(0.2, 4.0)
        vm.disturb(seconds)
        vm.break_off(seconds)
        try:
            await asyncio.sleep(seconds)
        finally:
            vm.send(signal.SIGCONT)

    async def _stand_still(self) -> None:
        """Pause some VMs for longer than a configuration may take."""
        count = self._random.randint(1, max(1, len(self.vms) // 2))
        vms = self._random.sample(self.vms, count)
        seconds = self._random.uniform(3.0, 7.0)
        for vm in vms:
            vm.send(signal.SIGSTOP)
            vm.disturb(seconds)
            vm.break_off(seconds)
        try:
            await asyncio.sleep(seconds)
        finally:
            for vm in vms:
                vm.send(signal.SIGCONT)

    async def _cut_off_store(self) -> None:
        """Cut some VMs off from the store."""
        count = self._random.randint(1, max(1, len(self.vms) // 2))
        places = self._random.sample(range(len(self.vms)), count)
        seconds = self._random.uniform(3.0, 8.0)
        for place in places:
            self.vms[place].disturb(seconds)
            self.store_links[place].blocked = {"up": True, "down": True}
        try:
            await asyncio.sleep(seconds)
        finally:
            for place in places:
                self.store_links[place].heal()

    async def _age_reads(self) -> None:
        """Have the store answer stale reads with older data, and few others."""
        store = self.deployment.store
        store.stale_age = self._random.uniform(1.0, 5.0)
        store.refuses_fresh = self._random.random() < 0.5
        seconds = self._random.uniform(1.0, 5.0)
        for vm in self.vms:
            vm.disturb(seconds if store.refuses_fresh else 0.0)
        try:
            await asyncio.sleep(seconds)
        finally:
            store.stale_age = 0.0
            store.refuses_fresh = False

    async def _disturb_link(self) -> None:
        await self._disturb(self._random.choice(self.links), ())

    async def _disturb_store(self) -> None:
        index = self._random.randrange(len(self.vms))
        await self._disturb(self.store_links[index], (self.vms[index],))

    async def _disturb(self, link: Link, vms: tuple[VmProcess, ...]) -> None:
        way = self._random.choice(("delay", "reset", "up", "down", "both", "refuse"))
        if way == "reset":
            link.reset()
            return
        if way == "delay":
            link.delay = self._random.uniform(0.01, 0.3)
        elif way == "refuse":
            link.refuse = True
            link.reset()
        else:
            for each in ("up", "down") if way == "both" else (way,):
                link.blocked[each] = True
        seconds = self._random.uniform(0.5, 5.0)
        for vm in vms:
            vm.disturb(seconds)
        await asyncio.sleep(seconds)
        link.heal()

    async def _crash_instance(self) -> None:
        await self._crash(self._random.choice(self.deployment.instances))

    async def _crash_primary(self) -> None:
        await self._crash(self.deployment.group.leader)

    async def _crash(self, instance: Instance) -> None:
        if not instance.running:
            return
        await instance.stop()
        try:
            await asyncio.sleep(self._random.uniform(0.5, 5.0))
        finally:
            if not instance.running:
                await instance.start()

    async def restore_store(self) -> None:
        """Restore the store from an older copy, after a time without it."""
        store = self.deployment.store
        if store.down:
            return
        seconds, delay = self._random.uniform(0.1, 2.0), self._random.uniform(0, 1.5)
        for vm in self.vms:
            vm.disturb(seconds + delay)
        store.down = True
        try:
            await asyncio.sleep(seconds)
        finally:
            store.restore(self._random.uniform(0.5, 12.0), delay=delay)
            store.down = False

    async def _delay_writes(self) -> None:
        store = self.deployment.store
        store.write_delay = self._random.uniform(0.5, 6.0)
        seconds = self._random.uniform(0.2, 2.0)
        for vm in self.vms:
            vm.disturb(seconds)
        try:
            await asyncio.sleep(seconds)
        finally:
            store.write_delay = None

    async def _drain_instance(self) -> None:
        await self.drain(self._random.choice(self.deployment.instances))

    async def drain(self, instance: Instance) -> None:
        """Have an instance announce that it leaves, and check how long it is used.

        It then ends, and starts again.
        """
        states = {i.state for i in self.deployment.instances if i.running}
        if self.deployment.store.down or states != {"ready"} or not instance.running:
            return
        instance.state = "draining"
        self.deployment.store.refresh()
        injecting = self.injecting
        try:
            await asyncio.sleep(DRAIN_PERIOD)
            executed = len(instance.executed)
            await asyncio.sleep(1)
            if len(instance.executed) > executed and not injecting:
                self.violations.append(f"{instance.name}: still used while draining")
        finally:
            instance.state = "ready"
            if instance.running:
                await instance.stop()
                await instance.start()

    async def _deafen(self) -> None:
        """Have an instance receive nothing for a while."""
        group = self.deployment.group
        name = self._random.choice(self.deployment.instances).name
        group.deaf.add(name)
        try:
            await asyncio.sleep(self._random.uniform(1.0, 10.0))
        finally:
            group.hear(name)

    async def _end_in_series(self, *, always_two: bool = False) -> None:
        """Have one or two instances drain, end and return, the primary among them."""
        instances = self.deployment.instances
        if any(i.state != "ready" or not i.running for i in instances):
            return
        leaving = [self.deployment.group.leader]
        if always_two or self._random.random() < 0.7:
            leaving.append(self._random.choice([i for i in instances if not i.leads]))
        self._random.shuffle(leaving)
        gap = self._random.choice((0.0, 1.0, 3.0))
        ends = [self._end(i, gap * place) for place, i in enumerate(leaving)]
        await asyncio.gather(*ends)

    async def _end(self, instance: Instance, delay: float) -> None:
        """Have an instance drain, end and return with its log."""
        await asyncio.sleep(delay)
        instance.state = "draining"
        self.counts["ends"] = self.counts.get("ends", 0) + 1
        try:
            self.deployment.store.refresh()
            await asyncio.sleep(DRAIN_PERIOD + self._random.uniform(0.1, 3.0))
            if instance.running:
                await instance.stop()
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
        finally:
            instance.state = "ready"
            if not instance.running:
                await instance.start()

    async def _keep_stopping(self) -> None:
        """Stop each VM once, then some of them again and again."""
        for vm in self.vms:
            while vm.process.returncode is not None:
                await asyncio.sleep(0.1)
            await self._stop_vm(vm)
            await asyncio.sleep(self._random.uniform(0.0, 1.0))
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            await self._stop_vms()

    async def _stop_vms(self) -> None:
        """Stop VMs, one after the other or at about the same time."""
        vms = self._random.sample(self.vms, self._random.randint(1, len(self.vms)))
        gap = self._random.choice((0.0, 0.3, 3.0, GRACE + 1.0))
        for vm in vms:
            await self._stop_vm(vm)
            if self._random.random() < 0.3:
                # Stopped again right after its start.
                asyncio.get_running_loop().call_later(
                    GRACE + self._random.uniform(0, 1), vm.send, signal.SIGTERM
                )
            await asyncio.sleep(gap)

    async def _stop_vm(self, vm: VmProcess) -> None:
        """Stop a VM, and check that its process ends within the grace period."""
        if vm.process.returncode is not None:
            return
        process, sent_at = vm.process, time.monotonic()
        vm.disturb(0)
        vm.send(signal.SIGTERM)
        self.counts["stops"] = self.counts.get("stops", 0) + 1

        async def check() -> None:
            await asyncio.sleep(GRACE)
            ended_at = time.monotonic()
            if process.returncode is None and not vm.was_broken(sent_at, ended_at):
                self.violations.append(f"{vm.name}: runs after its grace period")

        self._checks.add(asyncio.create_task(check()))

    async def _reload(self) -> None:
        self._random.choice(self.vms).send(signal.SIGHUP)

    async def _refuse_commands(self) -> None:
        """Have an instance refuse some of the commands of VMs for a while."""
        instance = self._random.choice(self.deployment.instances)
        for word in self._random.sample(COMMANDS, self._random.randint(1, 3)):
            failed = word == "PREPARE" and self._random.random() < 0.5
            instance.refuses[word] = "FAILED" if failed else "BUSY"
        try:
            await asyncio.sleep(self._random.uniform(0.5, 4.0))
        finally:
            instance.refuses.clear()

    async def _slow_down(self) -> None:
        """Have an instance run statements slowly for a while."""
        instance = self._random.choice(self.deployment.instances)
        instance.service_time = self._random.choice((0.1, 0.7, 3.0, 9.0))
        try:
            await asyncio.sleep(self._random.uniform(0.5, 6.0))
        finally:
            instance.service_time = SERVICE_TIME
