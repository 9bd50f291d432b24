"""Fault soak: VM processes and stand-ins under injected faults, with checks."""

import asyncio
import contextlib
import random
import signal
import time
from pathlib import Path

import yaml

from .prepared_callers import Expected, PreparingCallers
from .soak_callers import StayingCallers
from .soak_faults import Faults
from .soak_kept import KeptChecks
from .soak_processes import CONTACT_PERIOD, Link, VmProcess
from .soak_routes import RouteCallers
from .standins import CONNECTIONS, ROUTES, Client, Deployment, find_ports

NOT_RUN = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
"""Error codes which state that the statement has no lasting effect."""

TEXT_CALLERS = 6
"""Number of callers that prepare and set odd texts."""

TEXT_PAUSES = (0.0, 0.0, 0.01, 0.05)
"""Seconds between their statements."""

KEYS = 6
"""Number of keys; each has one writer."""

LONE_ENDS = ("", "", "\n", "\r", "\n\r", "\r\r")
"""Texts around keys and numbers: a line ends at CR LF only."""

CONFIGURATION_PERIOD = 3.0
"""Seconds after which a configuration must be in force."""


class Soak:
    """One seeded run.

    Args:
        seed: decides the faults and their times.
        vms: number of VM processes.
        folder: directory for settings files and logs.
        restores: whether the store is restored from older copies, while instances
            leave and the configuration changes.
        stops: whether VMs are stopped in series and at once, under callers that stay.
        texts: share of long ones among odd texts that callers prepare and set, while
            what servers keep and the memory of the VMs are checked; None for no texts.
        refusals: whether instances refuse commands that VMs send for themselves.
        routes: whether routes come and go while VMs stand still or lose the store.
        sync: replicas that acknowledge a commit; if it is not 0, instances leave in
            series while others receive nothing.
        connections: number of connections that each instance accepts; if it is below
            three for each VM, some VMs relay their callers.
    """

    ACCOUNTS = ()
    """Names of accounts, under which VMs connect to instances."""

    def __init__(
        self,
        *,
        seed: int,
        vms: int,
        folder: Path,
        restores: bool = False,
        stops: bool = False,
        texts: float | None = None,
        refusals: bool = False,
        routes: bool = False,
        sync: int = 0,
        connections: int = CONNECTIONS,
    ) -> None:
        self._random = random.Random(seed)
        self._texts = texts is not None
        self._ports: list[int] = []
        self._preparing = PreparingCallers(
            random=self._random,
            ports=self._ports,
            long_share=texts or 0.0,
            pauses=TEXT_PAUSES,
        )
        self._folder = folder
        self._deployment = Deployment(connections=connections, sync=sync)
        self._count = vms
        self._restores = restores
        self._vms: list[VmProcess] = []
        self._links: list[Link] = []
        self._store_links: list[Link] = []
        self._faults = Faults(
            random=self._random,
            deployment=self._deployment,
            vms=self._vms,
            links=self._links,
            store_links=self._store_links,
            restores=restores,
            stops=stops,
            refusals=refusals,
            routes=routes,
        )
        self._routes = routes
        self._route_callers = RouteCallers(
            random=self._random, deployment=self._deployment, vms=self._vms
        )
        self._kept_checks = KeptChecks(
            instances=self._deployment.instances, vms=self._vms, faults=self._faults
        )
        self._staying = StayingCallers(random=self._random, vms=self._vms)
        self._stops = stops
        self._running = True
        self._acknowledged: dict[str, int] = {}
        self._kept: dict[str, int] = {}
        self._promoted_at = 0.0
        self._next = [0] * KEYS
        self._keys = []
        for index in range(KEYS):
            before, after = self._random.choices(LONE_ENDS, k=2)
            self._keys.append(f"{before}k{index}{after}")
        self._clients: list[Client] = []
        self.violations: list[str] = []
        self.counts = {"done": 0, "refused": 0, "in_doubt": 0, "read_late": 0}
        self._reported_not_run: dict[tuple[str, int], str] = {}
        self._in_doubt: set[tuple[str, int]] = set()

    async def run(self, seconds: float) -> str:
        """Inject faults for some seconds, then check; return a line with counts."""
        await self._start()
        tasks = [asyncio.create_task(self._write(i)) for i in range(KEYS)]
        tasks += [asyncio.create_task(self._read(i)) for i in range(KEYS)]
        tasks.append(asyncio.create_task(self._restart_exited_vms()))
        if self._restores:
            tasks.append(asyncio.create_task(self._change_routes()))
        if self._routes:
            tasks += self._route_callers.start()
        stalls = asyncio.create_task(self._staying.stalls.watch())
        if self._stops:
            tasks += self._staying.start()
        if self._texts:
            tasks += self._preparing.start(TEXT_CALLERS)
            checks = asyncio.create_task(self._kept_checks.repeat())
        injection = asyncio.create_task(self._faults.inject())
        await asyncio.sleep(seconds)
        injection.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await injection
        await self._heal_all()
        await self._check_recovery()
        self._running = False
        self._staying.stop()
        self._preparing.stop()
        if self._texts:
            checks.cancel()
        await asyncio.wait(tasks, timeout=8)
        for task in (*tasks, stalls):
            task.cancel()
        self._reported_not_run.update(self._staying.refused)
        self._clients += self._staying.clients + self._route_callers.clients
        self._check_writes()
        self._check_answers()
        self._check_promotions()
        self._check_texts()
        await self._stop()
        self.violations += self._deployment.group.lost
        self.violations += self._faults.violations + self._kept_checks.violations
        if self._routes:
            self.violations += self._route_callers.violations
            self.counts.update(self._route_callers.counts)
        self.counts.update(self._kept_checks.counts)
        self.counts.update(self._faults.counts)
        return " ".join(f"{key}={value}" for key, value in self.counts.items())

    async def _start(self) -> None:
        deployment = self._deployment
        for instance in deployment.instances:
            await instance.start()
            instance.runs = []
            link = Link(port=instance.port)
            await link.start()
            instance.address_port = link.port
            self._links.append(link)
        await deployment.store.start()
        deployment.group.on_promoted = self._record_promotion
        deployment.publish()
        for index in range(self._count):
            link = Link(port=deployment.store.port)
            await link.start()
            self._store_links.append(link)
            ports = find_ports()
            fields = deployment.make_settings(f"vm-{index}", ports)
            fields["zone"] = "abc"[index % 3]
            address = f"127.0.0.1:{link.port}"
            fields["platform"]["address"] = address
            fields["cloud_api"]["address"] = address
            path = self._folder / f"vm-{index}.yaml"
            path.write_text(yaml.safe_dump(fields))
            vm = VmProcess(
                name=f"vm-{index}",
                path=path,
                ports=ports,
                output=self._folder / f"vm-{index}.log",
            )
            await vm.start()
            self._vms.append(vm)
            self._ports.append(ports[0])
        await asyncio.sleep(3)

    async def _stop(self) -> None:
        for vm in self._vms:
            await vm.stop()
        for link in self._links + self._store_links:
            await link.stop()
        await self._deployment.stop()

    async def _restart_exited_vms(self) -> None:
        while self._running:
            for vm in self._vms:
                if vm.process.returncode is not None:
                    await vm.start()
            await asyncio.sleep(0.2)

    async def _change_routes(self) -> None:
        """Add routes; each VM that is in touch must serve them in time.

        Objects that no VM reads change as well, in bursts: they raise the revision.
        """
        routes = dict(ROUTES)
        added: list[tuple[float, str]] = []
        store = self._deployment.store
        while self._running:
            if not store.down and self._random.random() < 0.1:
                added.append((time.monotonic(), f"r{len(added)}"))
                routes[added[-1][1]] = "primary"
                version = 1 + len(added)
                store.put("config", "main", self._deployment.configure(version, routes))
            if self._faults.injecting and self._random.random() < 0.1:
                for number in range(self._random.randrange(100)):
                    store.put("notes", "n", number)
            await asyncio.sleep(0.2)
            latest = time.monotonic() - CONFIGURATION_PERIOD
            due = [route for at, route in added if at <= latest]
            vm = self._random.choice(self._vms)
            if not due or not vm.in_touch:
                continue
            with contextlib.suppress(OSError, TimeoutError):
                client, first_line = await Client.connect(vm.ports[0], due[-1])
                client.close()
                if first_line.startswith("ERROR NODB") and vm.in_touch:
                    self.violations.append(f"{vm.name}: {due[-1]} is not in force")

    async def _heal_all(self) -> None:
        self._faults.injecting = False
        for link in self._links + self._store_links:
            link.heal()
        for vm in self._vms:
            vm.send(signal.SIGCONT)
        await asyncio.sleep(1)
        for instance in self._deployment.instances:
            if not instance.running:
                await instance.start()

    async def _check_recovery(self) -> None:
        checks = [asyncio.sleep(12)]
        if self._restores:
            await self._faults.restore_store()
            await asyncio.sleep(CONTACT_PERIOD)
            checks.append(self._faults.drain(self._deployment.group.leader))
        before = self.counts["done"]
        await asyncio.gather(*checks)
        if self.counts["done"] - before < 10:
            self.violations.append(
                "recovery: fewer than 10 answers in 12 s after the faults"
            )

    def _record_promotion(self, leader) -> None:
        # Commits that the new primary lacks are rolled back and no longer expected.
        for key in list(self._acknowledged):
            self._acknowledged[key] = int(leader.data.get(key, "-1"))
        self._kept = dict(self._acknowledged)
        self._promoted_at = time.monotonic()

    async def _connect(self, database: str) -> Client | None:
        vm = self._random.choice(self._vms)
        try:
            client, first_line = await Client.connect(vm.ports[0], database)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            return None
        if first_line.startswith("READY"):
            self._clients.append(client)
            return client
        client.close()
        await asyncio.sleep(0.1)
        return None

    async def _write(self, index: int) -> None:
        """Write increasing numbers to one key until the run ends."""
        key = self._keys[index]
        while self._running:
            client = await self._connect(("orders", "crew")[index % 2])
            if client is None:
                continue
            with contextlib.suppress(OSError, TimeoutError):
                while self._running and await self._write_once(client, key, index):
                    await asyncio.sleep(self._random.uniform(0.01, 0.1))
            client.close()
            # Without an answer, the last write may take effect later.
            self._in_doubt.add((key, self._next[index] - 1))

    async def _write_once(self, client: Client, key: str, index: int) -> bool:
        number = self._next[index]
        self._next[index] += 1
        in_transaction = self._random.random() < 0.3
        value = f"{number}{self._random.choice(LONE_ENDS)}"
        statements = [f"WRITE {key} {value}"]
        if in_transaction:
            statements = ["BEGIN", *statements, "COMMIT"]
        for text in statements:
            lines = await client.execute(text)
            if not lines:
                self.counts["in_doubt"] += 1
                return False
            if not lines[0].startswith("ERROR"):
                continue
            code = lines[0].split(" ")[1]
            if code in NOT_RUN:
                self.counts["refused"] += 1
                self._reported_not_run[key, number] = code
            else:
                self.counts["in_doubt"] += 1
                self._in_doubt.add((key, number))
            if lines[-1].startswith("READY I"):
                return True
            await client.execute("ROLLBACK")
            return True
        request = lines[0].rpartition(".")[2]
        if request in self._deployment.group.outdated:
            self.violations.append(f"{key}={number}: acknowledged by an old primary")
        if (key, value) not in self._deployment.group.committed:
            self.violations.append(f"{key}={number}: acknowledged but not committed")
        self.counts["done"] += 1
        leader = self._deployment.group.leader
        # The primary lacks it if a promotion has rolled it back meanwhile.
        self._acknowledged[key] = min(number, int(leader.data.get(key, "-1")))
        return True

    async def _read(self, index: int) -> None:
        """Read a key through any VM; no acknowledged write may be missing."""
        key = self._keys[index]
        while self._running:
            client = await self._connect("orders")
            if client is None:
                continue
            with contextlib.suppress(OSError, TimeoutError):
                while self._running:
                    if not await self._read_once(client, key):
                        break
                    await asyncio.sleep(self._random.uniform(0.01, 0.1))
            client.close()

    async def _read_once(self, client: Client, key: str) -> bool:
        known = self._acknowledged.get(key, -1)
        began = time.monotonic()
        lines = await client.execute(f"READ {key}")
        if not lines:
            return False
        if lines[0].startswith("ROW"):
            value = lines[0].split(" ")[1]
            seen = -1 if value == "none" else int(value)
            if self._promoted_at >= began:
                # It may have run before what was acknowledged since the promotion.
                known = min(known, self._kept.get(key, -1))
            known = min(known, self._acknowledged.get(key, known))
            if seen < known and self._took_effect_late(key, seen, known):
                self.counts["read_late"] += 1
            elif seen < known:
                run = self._describe_run(client, began, lines[1])
                places = self._find_places(key)
                self.violations.append(
                    f"{key}: read {seen} after {known} was acknowledged, {run} "
                    f"in_doubt={(key, seen) in self._in_doubt} "
                    f"places={places.get(seen)},{places.get(known)}"
                )
            self.counts["done"] += 1
        return True

    def _took_effect_late(self, key: str, seen: int, known: int) -> bool:
        """Return whether a write in doubt ran after an acknowledged one.

        Its VM may have stood still since before its caller gave up, or its instance
        may have been slow.
        """
        if (key, seen) not in self._in_doubt:
            return False
        places = self._find_places(key)
        return known in places and places.get(seen, -1) > places[known]

    def _find_places(self, key: str) -> dict[int, int]:
        """Return the places in the primary's log of the numbers written to a key."""
        places = {}
        for place, (_, _, items) in enumerate(self._deployment.group.leader.log):
            if key in items:
                places[int(items[key])] = place
        return places

    def _describe_run(self, client: Client, began: float, complete: str) -> str:
        """Return a statement's VM, its time, and where and on which log it ran.

        Args:
            complete: the line with the signature of the instance that ran it.
        """
        vm = next(vm.name for vm in self._vms if vm.ports[0] == client.port)
        name, _, request = complete.split(" ")[1].partition(".")
        positions = []
        for instance in self._deployment.instances:
            for executed, _, (term, number) in instance.executed:
                if instance.name == name and executed == request:
                    positions.append(f"{term}.{number}")
        return (
            f"vm={vm} began={began:.3f} ended={time.monotonic():.3f} "
            f"request={request} instance={name} positions={','.join(positions)}"
        )

    def _check_writes(self) -> None:
        found: dict[tuple[str, int], int] = {}
        for _, _, items in self._deployment.group.leader.log:
            for key, value in items.items():
                if (key, value) in self._preparing.written:
                    continue
                try:
                    place = (key, int(value))
                except ValueError:
                    self.violations.append(f"{key!r}={value!r}: was sent by no client")
                    continue
                found[place] = found.get(place, 0) + 1
        for place, times in found.items():
            if times > 1:
                self.violations.append(f"{place}: took effect {times} times")
            if place in self._reported_not_run:
                code = self._reported_not_run[place]
                self.violations.append(f"{place}: took effect despite {code}")

    def _check_texts(self) -> None:
        """Check that instances ran what clients sent, as set up, and nothing else."""
        for client in self._clients:
            for request, text in client.sent.items():
                self._preparing.expect(request, Expected(text=text))
        instances = self._deployment.instances
        self.violations += self._preparing.list_violations(instances)
        users = {*self.ACCOUNTS, *(vm.name for vm in self._vms)}
        for instance in instances:
            for user in instance.users - users:
                self.violations.append(f"{instance.name}: was sent the user {user!r}")
        for vm in self._vms:
            with vm.output.open(newline="") as file:
                for line in file.read().splitlines():
                    if not line.startswith("at="):
                        self.violations.append(f"{vm.name}: has logged {line[:80]!r}")
        if self._texts:
            prepared = sum(bool(run.shape) for i in instances for run in i.runs)
            self.counts["prepared_runs"] = prepared

    def _check_answers(self) -> None:
        """Check that the callers that stay got whole answers."""
        if not self._stops:
            return
        found = self._staying.list_unanswered(self._deployment.instances)
        self.violations += found
        self.counts["statements"] = len(self._staying.sent)

    def _check_promotions(self) -> None:
        highest, holder = 0, ""
        promotions = self._deployment.store.promotions
        self.counts["promotions"] = len(promotions)
        for vm, _, server, token in promotions:
            if token < highest or token == highest and vm != holder:
                self.violations.append(
                    f"{vm} promoted {server} with token {token} after {holder} used "
                    f"{highest}"
                )
            if token > highest:
                highest, holder = token, vm
