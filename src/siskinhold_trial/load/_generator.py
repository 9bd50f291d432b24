"""Open-loop load: statements arrive independently of the end of earlier ones."""

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
    """One statement as seen by its caller; times are in seconds.

    Args:
        statement: the statement.
        sent: when it was sent.
        ended: when the reply arrived.
        outcome: the outcome in the reply.
        request: the request identity in the reply.
        wait: time until a server started it; None if none did.
    """

    statement: Statement
    sent: float
    ended: float
    outcome: Outcome
    request: RequestId
    wait: float | None = None


class Generator:
    """Sends statements as a Poisson process with a variable rate.

    Args:
        simulation: receives the statements.
        mix: shares of the kinds of statements.
        rate: returns the arrivals per second at a given time.
        seed: seed of arrivals and statements, independent of the policy.
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
        """Send statements for `seconds`, await all replies and return the samples."""
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
        # A read must see the earlier writes of its session, so reads use other
        # sessions than writes and can run on any replica.
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
            endpoint = simulation.database.servers[execution.server].endpoint
            began = execution.ran_at - sample.statement.cost
            delay = simulation.world.measure_delay(simulation.vm, endpoint)
            sample.wait = max(0.0, began - delay - sample.sent)
