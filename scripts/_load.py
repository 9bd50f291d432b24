"""Callers that write without a pause and count what became of it."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field

import aiomysql
import pymysql

from siskinhold_trial.processes import LocalDeployment

STATEMENT_TIME = 8.0
"""Seconds after which a statement without an answer counts as cut off."""
PAUSE = 0.01
"""Seconds between two statements of one caller."""
_REFUSED = (5001, 1053)
_CLOSING = 1053
_numbers = itertools.count(1_000)


@dataclass(slots=True, kw_only=True)
class Load:
    """Callers of one VM that insert rows, each on one connection.

    Args:
        deployment: the fleet.
        vm: the VM that they connect to.
        database: where they insert.
        reconnect: whether a caller whose connection ends opens another one.
        outcomes: statements by what became of them: done, refused and
            refused_at_close (not run, and the caller is told so), unknown (the
            caller is told so), cut (no answer).
        done_at: loop time of each acknowledged write, in seconds.
        acknowledged: numbers of the acknowledged rows.
        refused: numbers of the rows that were refused as not run.
    """

    deployment: LocalDeployment
    vm: str
    database: str
    reconnect: bool = False
    outcomes: Counter = field(default_factory=Counter)
    done_at: list[float] = field(default_factory=list)
    acknowledged: set[int] = field(default_factory=set)
    refused: set[int] = field(default_factory=set)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _ending: bool = False

    def start(self, callers: int) -> None:
        """Let callers begin."""
        for _ in range(callers):
            self._tasks.append(asyncio.create_task(self._serve_caller()))

    async def stop(self) -> None:
        """Let each caller finish its statement."""
        self._ending = True
        await asyncio.gather(*self._tasks)

    def find_longest_gap(self, start: float, end: float) -> float:
        """Return the longest time between acknowledged writes, in seconds."""
        moments = [start, *(at for at in self.done_at if start < at < end), end]
        return max(b - a for a, b in itertools.pairwise(moments))

    async def _serve_caller(self) -> None:
        while not self._ending:
            try:
                client = await self.deployment.connect(self.vm, self.database)
            except (OSError, pymysql.err.MySQLError, asyncio.TimeoutError):
                self.outcomes["connect_failed"] += 1
                await asyncio.sleep(0.05)
            else:
                await self._use(client)
                client.close()
            if not self.reconnect:
                return

    async def _use(self, client: aiomysql.Connection) -> None:
        while not self._ending:
            number = next(_numbers)
            outcome = await self._insert(client, number)
            self.outcomes[outcome] += 1
            if outcome in ("cut", "refused_at_close") or client.closed:
                return
            await asyncio.sleep(PAUSE)

    async def _insert(self, client: aiomysql.Connection, number: int) -> str:
        sql = f"INSERT INTO orders (number, item) VALUES ({number}, 'hinge')"
        try:
            async with asyncio.timeout(STATEMENT_TIME):
                async with client.cursor() as cursor:
                    await cursor.execute(sql)
        except pymysql.err.MySQLError as error:
            return self._judge(error, number)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, TimeoutError):
            return "cut"
        self.done_at.append(asyncio.get_running_loop().time())
        self.acknowledged.add(number)
        return "done"

    def _judge(self, error: pymysql.err.MySQLError, number: int) -> str:
        code = error.args[0] if error.args else 0
        if code in _REFUSED:
            self.refused.add(number)
            return "refused_at_close" if code == _CLOSING else "refused"
        if code == 5002:
            return "unknown"
        # Codes from 2000 to 2999 are the client's own: it has no answer.
        return "cut" if not code or 2000 <= code < 3000 else f"failed_{code}"
