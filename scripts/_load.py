"""Callers that insert rows continuously and count the outcomes."""

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, field

import aiomysql
import pymysql

from siskinhold_trial.processes import LocalDeployment

STATEMENT_TIMEOUT = 8.0
"""Seconds after which a statement without an answer counts as cut."""
STATEMENT_INTERVAL = 0.01
"""Seconds between an answer and the next statement of a caller."""
_REFUSED_CODES = (5001, 1053)
_SHUTDOWN_CODE = 1053
_numbers = itertools.count(1_000)


@dataclass(slots=True, kw_only=True)
class Load:
    """Callers of one VM that insert rows, each on its own connection.

    Args:
        deployment: the fleet.
        vm: name of the VM that they connect to.
        database: the database that they insert into.
        reconnect: whether a caller opens a new connection when its own ends.
        outcomes: number of statements by outcome: done, refused and
            refused_at_close (answered as not run), unknown (answered as
            unknown), cut (no answer), failed_CODE (another error); also the
            number of connect_failed.
        done_at: loop time of each acknowledged write in seconds.
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
    _stopping: bool = False

    def start(self, callers: int) -> None:
        """Start `callers` callers."""
        for _ in range(callers):
            self._tasks.append(asyncio.create_task(self._run_caller()))

    async def stop(self) -> None:
        """Stop each caller after its current statement."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def find_longest_gap(self, start: float, end: float) -> float:
        """Return the longest time without an acknowledged write in seconds."""
        moments = [start, *(at for at in self.done_at if start < at < end), end]
        return max(b - a for a, b in itertools.pairwise(moments))

    async def _run_caller(self) -> None:
        while not self._stopping:
            try:
                client = await self.deployment.connect(self.vm, self.database)
            except (OSError, pymysql.err.MySQLError, asyncio.TimeoutError):
                self.outcomes["connect_failed"] += 1
                await asyncio.sleep(0.05)
            else:
                await self._run_statements(client)
                client.close()
            if not self.reconnect:
                return

    async def _run_statements(self, client: aiomysql.Connection) -> None:
        while not self._stopping:
            number = next(_numbers)
            outcome = await self._insert(client, number)
            self.outcomes[outcome] += 1
            if outcome in ("cut", "refused_at_close") or client.closed:
                return
            await asyncio.sleep(STATEMENT_INTERVAL)

    async def _insert(self, client: aiomysql.Connection, number: int) -> str:
        sql = f"INSERT INTO orders (number, item) VALUES ({number}, 'hinge')"
        try:
            async with asyncio.timeout(STATEMENT_TIMEOUT):
                async with client.cursor() as cursor:
                    await cursor.execute(sql)
        except pymysql.err.MySQLError as error:
            return self._classify_error(error, number)
        except (OSError, RuntimeError, asyncio.IncompleteReadError, TimeoutError):
            return "cut"
        self.done_at.append(asyncio.get_running_loop().time())
        self.acknowledged.add(number)
        return "done"

    def _classify_error(self, error: pymysql.err.MySQLError, number: int) -> str:
        code = error.args[0] if error.args else 0
        if code in _REFUSED_CODES:
            self.refused.add(number)
            return "refused_at_close" if code == _SHUTDOWN_CODE else "refused"
        if code == 5002:
            return "unknown"
        # The client itself raises codes 2000 to 2999 when it got no answer.
        return "cut" if not code or 2000 <= code < 3000 else f"failed_{code}"
