"""Callers of routes that are added and removed while VMs stand still or are cut off."""

import asyncio
import contextlib
import random
import time

from .soak_processes import VmProcess
from .standins import ROUTES, Client, Deployment

CONFIGURATION_PERIOD = 3.0
"""Seconds after which a configuration must be in force."""

REVERT_PERIOD = 0.25
"""Seconds after a VM has shown a version in which it may still show an older one."""

CHANGE_PAUSES = (0.1, 0.4, 2.0)
"""Seconds between two changes."""

ASKING_PAUSE = 0.03
"""Seconds between two callers of one VM."""

MAX_ADDED = 4
"""Added routes that exist at the same time."""


class RouteCallers:
    """Adds and removes routes, and has callers ask each VM for them.

    Two things are checked of VMs that are in touch: that a version is in force in time,
    and that none goes back to an older one.

    Attributes:
        violations: texts about checks that failed.
        counts: numbers of callers by their first answer.
        clients: those that sent a statement.
    """

    def __init__(
        self, *, random: random.Random, deployment: Deployment, vms: list[VmProcess]
    ) -> None:
        self._random = random
        self._deployment = deployment
        self._vms = vms
        self._version = 1
        self._number = 0
        # When each route was added, and removed.
        self._added: dict[str, float] = {}
        self._removed: dict[str, float] = {}
        self._shown: dict[tuple[str, str], float] = {}
        self.violations: list[str] = []
        self.clients: list[Client] = []
        self.counts = {"asked": 0, "served": 0, "unknown": 0}

    def start(self) -> list[asyncio.Task]:
        """Start to change routes and to ask for them."""
        tasks = [asyncio.create_task(self._change())]
        for vm in self._vms:
            tasks.append(asyncio.create_task(self._ask(vm)))
        return tasks

    async def _change(self) -> None:
        while True:
            await asyncio.sleep(self._random.choice(CHANGE_PAUSES))
            if self._deployment.store.down:
                continue
            present = [name for name in self._added if name not in self._removed]
            now = time.monotonic()
            if len(present) >= MAX_ADDED:
                self._removed[present[0]] = now
                present.pop(0)
            else:
                self._number += 1
                present.append(f"n{self._number}")
                self._added[present[-1]] = now
            self._version += 1
            routes = {**ROUTES, **{name: "primary" for name in present}}
            configuration = self._deployment.configure(self._version, routes)
            self._deployment.store.put("config", "main", configuration)

    async def _ask(self, vm: VmProcess) -> None:
        while True:
            await asyncio.sleep(ASKING_PAUSE)
            known = list(self._added)[-2 * MAX_ADDED :]
            if not known or not vm.in_touch:
                continue
            with contextlib.suppress(OSError, TimeoutError):
                await self._ask_once(vm, self._random.choice(known))

    async def _ask_once(self, vm: VmProcess, name: str) -> None:
        began = time.monotonic()
        client, first_line = await Client.connect(vm.ports[0], name)
        answered = time.monotonic()
        try:
            self.counts["asked"] += 1
            if first_line.startswith("READY"):
                self.counts["served"] += 1
                await self._check_served(client, vm, name, began, answered)
            elif first_line.startswith("ERROR NODB"):
                self.counts["unknown"] += 1
                self._check_unknown(vm, name, began)
        finally:
            client.close()

    async def _check_served(self, client, vm, name, began, answered) -> None:
        removed = self._removed.get(name)
        if removed is not None and began - removed > CONFIGURATION_PERIOD:
            self.clients.append(client)
            lines = await client.execute("READ k")
            if lines and not lines[0].startswith("ERROR") and vm.in_touch:
                late = began - removed
                self.violations.append(
                    f"{vm.name}: {name} runs {late:.2f} s after its removal"
                )
        self._shown.setdefault((vm.name, name), answered)

    def _check_unknown(self, vm: VmProcess, name: str, began: float) -> None:
        if name in self._removed or not vm.in_touch:
            return
        late = began - self._added[name]
        if late > CONFIGURATION_PERIOD:
            self.violations.append(
                f"{vm.name}: {name} is unknown {late:.2f} s after it was added"
            )
        shown = self._shown.get((vm.name, name))
        if shown is not None and began - shown > REVERT_PERIOD:
            self.violations.append(
                f"{vm.name}: {name} is unknown {began - shown:.2f} s after it was "
                "served"
            )
