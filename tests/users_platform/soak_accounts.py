"""The fault soak with a client account beyond its rate, whose keys come and go."""

import asyncio
import contextlib
import time

from .prepared_callers import KEYS
from .soak import Soak
from .standins import ROUTES, Client, make_configuration

RATE = 20
"""Operations of the account in a second; its burst is as large."""

WINDOW_LIMIT = RATE * 5 + RATE + 20
"""Operations that may run in 5 s, with the slack of the settings."""

REVOCATION_PERIOD = 5.0
"""Seconds after which no statement may run that was sent with a withdrawn key."""


class AccountsSoak(Soak):
    """One seeded run; the other callers belong to an account without a rate."""

    ACCOUNTS = ("steady", "busy")

    async def run(self, seconds: float) -> str:
        """Inject faults for some seconds, then check; return a line with counts."""
        self._held = ["sk-0"]
        self._withdrawn: dict[str, float] = {}
        self._sent: dict[str, tuple[str, float]] = {}
        report = await super().run(seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        ran = self._check_account()
        return f"{report} limited={ran} keys={len(self._withdrawn)}"

    async def _start(self) -> None:
        await super()._start()
        self._publish(2)
        self._tasks = [asyncio.create_task(self._change_keys())]
        for vm in self._vms:
            for _ in range(2):
                self._tasks.append(asyncio.create_task(self._press(vm)))

    def _publish(self, version: int) -> None:
        """Publish the keys of both accounts."""
        routes = make_configuration(version, ROUTES, self._deployment.connections)
        busy = {"name": "busy", "api_keys": self._held}
        busy |= {"rate_per_s": RATE, "burst": RATE}
        accounts = [{"name": "steady", "api_keys": list(KEYS)}, busy]
        self._deployment.store.put("config", "main", routes | {"tenants": accounts})

    async def _change_keys(self) -> None:
        """Replace the account's key every few seconds."""
        version = 2
        while self._running:
            await asyncio.sleep(self._random.uniform(1, 4))
            version += 1
            old, self._held = self._held, [f"sk-{version}"]
            self._publish(version)
            self._withdrawn[old[0]] = time.monotonic()

    async def _press(self, vm) -> None:
        """Send reads without a pause, with the key of the moment until it fails."""
        while self._running:
            with contextlib.suppress(OSError, TimeoutError):
                key = self._held[0]
                client, line = await Client.connect(vm.ports[0], "views", key)
                self._clients.append(client)
                while line.startswith("READY") and self._running:
                    [(request, _)] = client.send(["READ k0"])
                    self._sent[request] = key, time.monotonic()
                    line = await client.read_line()
                    while line and not line.startswith("READY"):
                        line = await client.read_line()
                    await asyncio.sleep(0.005)
                client.close()
            await asyncio.sleep(0.05)

    def _check_account(self) -> int:
        """Check what ran for the account; return the number of its operations."""
        first: dict[str, float] = {}
        for instance in self._deployment.instances:
            for at, user, request in instance.arrivals:
                if user.startswith("sk-"):
                    self.violations.append(f"{instance.name}: was sent the key {user}")
                if user == "busy":
                    first[request] = min(at, first.get(request, at))
        for request in first:
            key, sent_at = self._sent[request]
            late = sent_at - self._withdrawn.get(key, sent_at)
            if late > REVOCATION_PERIOD:
                self.violations.append(
                    f"{request}: sent {late:.2f} s after {key} ended"
                )
        times = sorted(first.values())
        begin = most = 0
        for index, at in enumerate(times):
            while times[begin] <= at - 5:
                begin += 1
            most = max(most, index + 1 - begin)
        if most > WINDOW_LIMIT:
            self.violations.append(f"{most} operations in 5 s, {WINDOW_LIMIT} allowed")
        for path in self._folder.glob("*.log"):
            if "sk-" in path.read_text():
                self.violations.append(f"{path.name}: shows a key")
        return len(times)
