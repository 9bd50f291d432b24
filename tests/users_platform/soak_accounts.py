"""The fault soak with a client account beyond its rate, whose keys come and go."""

import asyncio
import contextlib
import time

from .prepared_callers import KEYS
from .soak import Soak
from .soak_withdrawals import DATABASE, FIRST, NEXT, WithdrawalCallers
from .standins import ROUTES, Client

RATE = 20
"""Operations of the account in a second; its burst is as large."""

WINDOW_LIMIT = RATE * 5 + RATE + 20
"""Operations that may run in 5 s, with the slack of the settings."""

REVOCATION_PERIOD = 5.0
"""Seconds after which no statement may run that was sent with a withdrawn key."""


class AccountsSoak(Soak):
    """One seeded run; the other callers belong to an account without a rate."""

    ACCOUNTS = ("steady", "busy", FIRST, NEXT)

    async def run(self, seconds: float) -> str:
        """Inject faults for some seconds, then check; return a line with counts."""
        self._held = ["sk-0"]
        self._withdrawn: dict[str, float] = {}
        self._sent: dict[str, tuple[str, float]] = {}
        self._version = 1
        self._withdrawals = WithdrawalCallers(random=self._random, vms=self._vms)
        report = await super().run(seconds)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        ran = self._check_account()
        self.violations += self._withdrawals.list_violations(self._deployment)
        keys = len(self._withdrawn) + self._withdrawals.count
        return f"{report} limited={ran} keys={keys}"

    async def _start(self) -> None:
        await super()._start()
        self._publish()
        self._tasks = [
            asyncio.create_task(self._change_keys()),
            asyncio.create_task(self._withdrawals.change(self._publish)),
        ]
        for vm in self._vms:
            self._tasks.append(asyncio.create_task(self._withdrawals.call(vm)))
            for _ in range(2):
                self._tasks.append(asyncio.create_task(self._press(vm)))

    def _publish(self) -> None:
        """Publish the keys of all accounts, and the routes."""
        self._version += 1
        present = {DATABASE: "primary"} if self._withdrawals.present else {}
        routes = self._deployment.configure(self._version, ROUTES | present)
        busy = {"name": "busy", "api_keys": self._held}
        busy |= {"rate_per_s": RATE, "burst": RATE}
        accounts = [{"name": "steady", "api_keys": list(KEYS)}, busy]
        for name, held in self._withdrawals.held.items():
            accounts.append({"name": name, "api_keys": list(held)})
        self._deployment.store.put("config", "main", routes | {"tenants": accounts})

    async def _change_keys(self) -> None:
        """Replace the account's key every few seconds."""
        number = 0
        while self._running:
            await asyncio.sleep(self._random.uniform(1, 4))
            number += 1
            old, self._held = self._held, [f"sk-b{number}"]
            self._publish()
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

    def _check_texts(self) -> None:
        for request, expected in self._withdrawals.expected.items():
            self._preparing.expect(request, expected)
        super()._check_texts()

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
