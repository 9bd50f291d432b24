"""Open-loop arrivals: statements come whether or not earlier ones have ended."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from siskinhold.model import Outcome, RequestId, StatementKind
from siskinhold_trial.fakes import FakeCaller

from ._simulation import PoolSimulation
from ._statements import Statement, StatementMix, draw_statement


@dataclass(slots=True, kw_only=True)
class Sample:
    """One statement as its caller saw it; times are in seconds.

    Args:
        statement: what was sent.
        sent: when.
        ended: when the reply came.
        outcome: the reply.
        request: its identity.
        wait: time until a server began with it, None if none did.
    """

    statement: Statement
    sent: float
    ended: float
    outcome: Outcome
    request: RequestId
    wait: float | None = None


class Generator:
    """Sends statements as a Poisson process whose rate may change.

    Args:
        simulation: where to send them.
        mix: what to send.
        rate: returns the arrivals a second at a time.
        seed: seed of arrivals and statements, which the policy can't influence.
    """

    def __init__(
        self,
        *,
        simulation: PoolSimulation,
        mix: StatementMix,
        rate: Callable[[float], float],
        seed: int,
    ) -> None:
        self._simulation = simulation
        self._mix = mix
        self._rate = rate
        self._rng = random.Random(seed)
        self._idle: dict[tuple[str, bool], list[FakeCaller]] = {}
        self._tasks: set[asyncio.Task] = set()
        self._count = 0
        self.samples: list[Sample] = []

    async def run(self, seconds: float) -> list[Sample]:
        """Send for some time, wait for all replies and return the samples."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        due = loop.time()
        while due < end:
            due += self._rng.expovariate(self._rate(due))
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._send(loop)
        while self._tasks:
            await asyncio.wait(self._tasks)
        self._measure_waits()
        return self.samples

    def _send(self, loop: asyncio.AbstractEventLoop) -> None:
        statement = draw_statement(self._mix, self._rng, self._count)
        self._count += 1
        task = loop.create_task(self._call(statement))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, statement: Statement) -> None:
        # Sessions that write need their own position covered by their reads,
        # so reads without that need come from other sessions.
        key = (statement.tenant, statement.kind is StatementKind.WRITE)
        idle = self._idle.setdefault(key, [])
        caller = idle.pop() if idle else self._connect(statement.tenant)
        now = self._simulation.world.now
        sent = now()
        reply = await caller.run(statement.kind, statement.sql, statement.marks)
        idle.append(caller)
        self.samples.append(
            Sample(
                statement=statement,
                sent=sent,
                ended=now(),
                outcome=reply.outcome,
                request=reply.request,
            )
        )

    def _connect(self, tenant: str) -> FakeCaller:
        caller = self._simulation.callers.connect(database="db", user=tenant)
        caller.present({})
        return caller

    def _measure_waits(self) -> None:
        simulation = self._simulation
        ran = {}
        for execution in simulation.database.executions:
            if execution.ran_at is not None:
                ran.setdefault(execution.request, execution)
        for sample in self.samples:
            execution = ran.get(sample.request)
            if execution is None:
                continue
            place = simulation.database.servers[execution.server].place
            began = execution.ran_at - sample.statement.cost
            delay = simulation.world.measure_delay(simulation.vm, place)
            sample.wait = max(0.0, began - delay - sample.sent)
