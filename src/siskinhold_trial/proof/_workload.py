"""Sessions that read, write and change VMs while faults are injected."""

import asyncio
import random

from siskinhold.model import Done, Marks, NotRun, StatementKind
from siskinhold_trial.fakes import CallerConnectionClosed
from siskinhold_trial.fleet import Fleet, FleetVm
from siskinhold_trial.history import RecordedSession

KEYS = ("a", "b", "c", "d")
"""Rows that sessions share."""
THINK_TIME = 0.08
"""Mean seconds between two statements of a session."""
CONNECT_DELAY = 0.02
"""Seconds before a session tries another VM."""
STATEMENT_TIMEOUT = 8.0
"""Seconds within which a caller must get an answer or a closed connection: the
longest deadline of a statement plus a few seconds."""


class WaitedTooLong(Exception):
    """A statement got no answer long after its deadline."""


class RoamingSession:
    """A caller that runs random statements and changes its VM until stopped.

    Args:
        fleet: the fleet that it connects to.
        name: unique name.
        database: the database it uses.
        seed: seed of its random choices.
    """

    def __init__(self, *, fleet: Fleet, name: str, database: str, seed: int) -> None:
        self._fleet = fleet
        self._name = name
        self._random = random.Random(seed)
        self._session = RecordedSession(
            world=fleet.world,
            history=fleet.history,
            name=name,
            database=database,
            user=f"tenant{seed % 3}",
        )
        self._order_count = 0
        self.stopping = False

    async def run_until_stopped(self) -> None:
        """Run statements until `stopping` is set.

        Raises:
            WaitedTooLong: if a statement is not answered in `STATEMENT_TIMEOUT`.
        """
        await self._connect()
        while not self.stopping:
            await asyncio.sleep(self._random.expovariate(1 / THINK_TIME))
            choice = self._random.random()
            if choice < 0.45:
                await self._read()
            elif choice < 0.70:
                marks = Marks(once=self._random.random() < 0.3)
                await self._run_with_timeout(
                    self._session.append(self._pick_key(), marks)
                )
            elif choice < 0.82:
                await self._place_order()
            elif choice < 0.94:
                await self._run_transaction()
            else:
                await self._connect()
        self._session.close()

    async def _run_with_timeout(self, statement):
        try:
            invocation = await asyncio.wait_for(statement, STATEMENT_TIMEOUT)
        except TimeoutError as error:
            raise WaitedTooLong(self._name) from error
        if invocation.outcome is None:
            await self._connect()
        return invocation

    def _pick_key(self) -> str:
        return self._random.choice(KEYS)

    async def _connect(self) -> None:
        while not self.stopping:
            vms = self._fleet.list_running()
            vm: FleetVm = self._random.choice(vms)
            try:
                self._session.connect(vm.address.name, vm.callers)
                return
            except CallerConnectionClosed:
                await asyncio.sleep(CONNECT_DELAY)

    async def _read(self) -> None:
        await self._run_with_timeout(self._session.read(self._pick_key()))

    async def _place_order(self) -> None:
        """Append an order with a key and retry it, up to 20 times, until it is done."""
        self._order_count += 1
        order = f"{self._name}.order{self._order_count}"
        key = self._pick_key()
        for _ in range(20):
            marks = Marks(once=True, key=order)
            invocation = await self._run_with_timeout(
                self._session.append(key, marks, value=order)
            )
            if isinstance(invocation.outcome, Done) or self.stopping:
                return
            await asyncio.sleep(0.1)

    async def _run_transaction(self) -> None:
        """Append to two rows in one transaction."""
        session = self._session
        first, second = sorted(self._random.sample(KEYS, 2))
        begun = await self._run_with_timeout(session.run(StatementKind.BEGIN, "BEGIN"))
        if not isinstance(begun.outcome, Done):
            return
        for key in (first, second):
            written = await self._run_with_timeout(session.append(key))
            if written.outcome is None:
                return
            if isinstance(written.outcome, Done):
                continue
            await self._end_transaction(StatementKind.ROLLBACK)
            return
        ending = StatementKind.COMMIT
        if self._random.random() < 0.15:
            ending = StatementKind.ROLLBACK
        await self._end_transaction(ending)

    async def _end_transaction(self, kind: StatementKind) -> None:
        ended = await self._run_with_timeout(
            self._session.run(kind, kind.value.upper())
        )
        if isinstance(ended.outcome, NotRun):
            await self._run_with_timeout(
                self._session.run(StatementKind.ROLLBACK, "ROLLBACK")
            )
