"""A tenant whose keys and route come and go under transactions that stay open."""

import asyncio
import contextlib
import random
import time

from .prepared_callers import Expected
from .standins import Client, Deployment

DATABASE = "ledger"
"""The database whose route comes and goes."""

FIRST, NEXT = "leaving", "next"
"""The account that loses its keys, and the one that some of them move to."""

REVOCATION_PERIOD = 5.0
"""Seconds after which no statement may run that was sent with a withdrawn key."""

SHAPE = "q1"
"""Shape of the prepared statement."""

STATEMENTS = ("READ k0", "EXECUTE s k0", "WRITE w1")
"""What is sent in a transaction; each write has a number of its own."""


class WithdrawalCallers:
    """Keys and a route that change, and callers that keep transactions open.

    Attributes:
        held: keys of the two accounts.
        present: whether the database has a route.
        expected: what servers must run for each request, if they run it.
    """

    def __init__(self, *, random: random.Random, vms: list) -> None:
        self._random = random
        self._vms = vms
        self._number = 0
        self._writes = 0
        self._sent: dict[str, tuple[str, float]] = {}
        self._withdrawn: dict[str, float] = {}
        self.expected: dict[str, Expected] = {}
        self.held: dict[str, list[str]] = {FIRST: ["sk-l0"], NEXT: ["sk-n"]}
        self.present = True

    async def change(self, publish) -> None:
        """Change keys and route, together or one after the other, again and again.

        Args:
            publish: publishes the configuration.
        """
        while True:
            await asyncio.sleep(self._random.uniform(1.0, 4.0))
            steps = [self._withdraw, self._drop_route]
            if self._random.random() < 0.3:
                steps[0] = self._move
            self._random.shuffle(steps)
            at_once = self._random.random() < 0.5
            for step in steps:
                step()
                if not at_once:
                    publish()
                    await asyncio.sleep(0.4)
            if at_once:
                publish()
            await asyncio.sleep(self._random.choice((0.4, 3.0, 8.0)))
            self._number += 1
            self.held = {FIRST: [f"sk-l{self._number}"], NEXT: ["sk-n"]}
            self.present = True
            publish()

    def _withdraw(self) -> None:
        for key in self.held[FIRST]:
            self._withdrawn[key] = time.monotonic()
        self.held[FIRST] = []

    def _move(self) -> None:
        moved = list(self.held[FIRST])
        self._withdraw()
        self.held[NEXT] += moved

    def _drop_route(self) -> None:
        self.present = False

    async def call(self, vm) -> None:
        """Keep transactions open on one VM, until their key is gone and beyond."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                await self._use_session(vm)
            await asyncio.sleep(0.2)

    async def _use_session(self, vm) -> None:
        key = (self.held[FIRST] or ["sk-gone"])[0]
        client, line = await Client.connect(vm.ports[0], DATABASE, key)
        texts = [f"PREPARE s READ {SHAPE}", "BEGIN"]
        for _ in range(self._random.randrange(4, 12)):
            text = self._random.choice(STATEMENTS)
            if text.startswith("WRITE"):
                self._writes += 1
                text = f"{text} {self._writes}"
            texts.append(text)
        try:
            for text in [*texts, "COMMIT"]:
                if not line.startswith("READY"):
                    return
                [(request, _)] = client.send([text])
                prepared = text.startswith("EXECUTE")
                mode, shape = ("READ", SHAPE) if prepared else ("", "")
                self.expected[request] = Expected(text=text, mode=mode, shape=shape)
                self._sent[request] = key, time.monotonic()
                line = await client.read_line()
                while line and not line.startswith("READY"):
                    line = await client.read_line()
                await asyncio.sleep(self._random.choice((0.01, 0.7, 1.5)))
        finally:
            client.close()

    def list_violations(self, deployment: Deployment) -> list[str]:
        """Return the statements that ran without the key of their account."""
        found = []
        for instance in deployment.instances:
            for _, user, request in instance.arrivals:
                if request not in self._sent or user != FIRST:
                    continue
                key, sent_at = self._sent[request]
                late = sent_at - self._withdrawn.get(key, sent_at)
                if late > REVOCATION_PERIOD:
                    found.append(f"{request}: sent {late:.2f} s after {key} was gone")
        return found

    @property
    def count(self) -> int:
        """Number of keys that were withdrawn."""
        return len(self._withdrawn)
