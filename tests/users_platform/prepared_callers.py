"""Callers that prepare texts with blanks, tabs and line ends, under names that collide.

What servers ran is compared with what each caller prepared, set and sent.
"""

import asyncio
import contextlib
import itertools
import random
from dataclasses import dataclass, field

from .standins import Client, Instance

NAMES = ("s1", "s2", "q1", "r_q1", "w_q1", "s\t1", "s\n1", "1", "s=1", "s'\"", "ß\r")
"""Names of prepared statements, which all callers use."""

VALUE_NAMES = ("a", "b", "c", "a\t", "b=1", '"c"', "é\n")
"""Names of session values, which all callers use."""

MARKS = ("", "", "\t", "\n", "\r", "=a", '"', "'", "é")
"""Odd ends of request ids and items."""

KEYS = ("u1", "u\t1", "u\n1", "u=1 key=u2", '"u1', "ü1 ")
"""Keys of callers."""

WORDS = ("READ", "WRITE", "q1", "r_q1", "w_q1", "k5", "b", "1", "DEALLOC")
"""Words of shapes; put side by side they look like names and commands."""

SEPARATORS = (" ", "  ", "\t", "\n", "\r", " \t", "\n\r")
"""What separates words, none of which ends a line."""

LONG_TEXT = 60_000
"""Characters of a long text, far below the longest message."""


def shorten(value: object) -> str:
    """Return what represents a value, at most 200 characters of it."""
    return repr(value)[:200]


@dataclass(slots=True, kw_only=True, frozen=True)
class Expected:
    """What a server must run for a statement.

    Args:
        text: the text as sent.
        mode: whether the prepared statement reads or writes, empty without one.
        shape: the text that the caller prepared, empty without one.
        values: the session values that were acknowledged to the caller.
        open: whether the caller has begun a transaction, None if that is not compared.
    """

    text: str
    mode: str = ""
    shape: str = ""
    values: dict[str, str] = field(default_factory=dict)
    open: bool | None = None


class PreparingCallers:
    """Callers that prepare, set, execute and deallocate.

    Args:
        random: decides what they send.
        ports: ports of the VMs.
        plain: whether shapes, values and arguments are single words only.
        long_share: share of long ones, each of which is a new one.
        pauses: seconds between statements, one of which is chosen each time.
    """

    def __init__(
        self,
        *,
        random: random.Random,
        ports: list[int],
        plain: bool = False,
        long_share: float = 0.0,
        pauses: tuple[float, ...] = (),
    ) -> None:
        self._random = random
        self._ports = ports
        self._plain = plain
        self._long_share = long_share
        self._pauses = pauses
        self._numbers = itertools.count()
        self._running = True
        self._expected: dict[str, Expected] = {}
        self.refused: list[str] = []
        self.unknown: list[str] = []
        self.written: set[tuple[str, str]] = set()

    def start(self, count: int) -> list[asyncio.Task]:
        """Start callers; return their tasks."""
        return [asyncio.create_task(self._repeat()) for _ in range(count)]

    def stop(self) -> None:
        """Have the callers end after their current connection."""
        self._running = False

    def make_text(self) -> str:
        """Return a word, or several that lone line ends and blanks separate."""
        text = self._random.choice(WORDS[2:])
        if self._plain:
            return text
        if self._long_share and self._random.random() < self._long_share:
            text += f" {next(self._numbers)}".ljust(
                LONG_TEXT, self._random.choice("xé")
            )
        for _ in range(self._random.randrange(4)):
            text += self._random.choice(SEPARATORS) + self._random.choice(WORDS)
        return text + self._random.choice(("", "", " ", "\t", "\n"))

    async def _repeat(self) -> None:
        while self._running:
            with contextlib.suppress(OSError, TimeoutError):
                await self._use_session()
            await asyncio.sleep(self._random.choice((0.01, 0.05)))

    async def _use_session(self) -> None:
        """Send statements on one connection, then leave or close it."""
        port = self._random.choice(self._ports)
        database = self._random.choice(("orders", "crew", "views"))
        key = self._random.choice(KEYS)
        client, first_line = await Client.connect(port, database, key)
        client.mark = self._random.choice(MARKS)
        session = _Session(callers=self, client=client)
        try:
            if first_line.startswith("READY"):
                for _ in range(self._random.randrange(5, 40)):
                    if not self._running or not await session.send_any():
                        break
                    if self._pauses:
                        await asyncio.sleep(self._random.choice(self._pauses))
        finally:
            client.close()

    def expect(self, request: str, expected: Expected) -> None:
        """Record what must run for a request."""
        self._expected[request] = expected

    def list_violations(self, instances: list[Instance]) -> list[str]:
        """Return the runs that differ from what their callers have set up."""
        found = list(self.unknown)
        for instance in instances:
            for run in instance.runs:
                fault = self._find_fault(run)
                if fault is not None:
                    found.append(f"{instance.name}: {fault}")
        return found

    def _find_fault(self, run) -> str | None:
        """Return what is wrong with a run, None if nothing is."""
        expected = self._expected.get(run.request)
        if expected is None:
            return f"UNASKED: ran {shorten(run.text)} as {run.request!r}, not sent"
        sent, ran = expected.text, run.text
        if expected.shape:
            sent, ran = sent.split(" ", 2)[2:], ran.split(" ", 2)[2:]
        if sent != ran:
            return f"UNASKED: ran {shorten(run.text)}, sent {shorten(expected.text)}"
        if (expected.mode, expected.shape) != (run.mode, run.shape):
            return (
                f"PINNED: prepared {expected.mode} {shorten(expected.shape)}, "
                f"ran {run.mode} {shorten(run.shape)}, {run.request!r}"
            )
        if expected.values != run.values:
            return (
                f"PINNED: set {shorten(expected.values)}, "
                f"ran with {shorten(run.values)}, {run.request!r} {run.text[:40]!r}"
            )
        if expected.open not in (None, run.open):
            return f"PINNED: transaction {expected.open}, ran in {run.open}"
        return None


class _Session:
    """What one caller has set up on its connection."""

    def __init__(self, *, callers: PreparingCallers, client: Client) -> None:
        self._callers = callers
        self._random = callers._random
        self._client = client
        self._prepared: dict[str, tuple[str, str]] = {}
        self._values: dict[str, str] = {}
        self._open = ""

    async def send_any(self) -> bool:
        """Send one statement; return whether the connection can be used on."""
        names = ("prepare", "execute", "execute", "execute", "set", "deallocate")
        action = self._random.choice((*names, "single", "begin"))
        if action == "prepare" or not self._prepared:
            return await self._prepare()
        if action == "set":
            name, value = self._random.choice(VALUE_NAMES), self._callers.make_text()
            if not await self._execute(f"SET {name} {value}"):
                return False
            self._values[name] = value
            return True
        if action == "deallocate":
            name = self._random.choice(list(self._prepared))
            if not await self._execute(f"DEALLOC {name}"):
                return False
            del self._prepared[name]
            return True
        if action == "begin":
            words = ("COMMIT", "ROLLBACK") if self._open else ("BEGIN", "BEGIN READ")
            word = self._random.choice(words)
            if not await self._execute(word):
                return False
            self._open = "" if self._open else word
            return True
        if action == "single":
            return await self._execute(f"READ {self._callers.make_text()}")
        return await self._execute_prepared()

    async def _prepare(self) -> bool:
        name = self._random.choice(NAMES)
        mode, shape = self._random.choice(("READ", "WRITE")), self._callers.make_text()
        if not await self._execute(f"PREPARE {name} {mode} {shape}"):
            return False
        self._prepared[name] = (mode, shape)
        return True

    async def _execute_prepared(self) -> bool:
        name = self._random.choice(list(self._prepared))
        mode, shape = self._prepared[name]
        if mode == "WRITE" and self._open == "BEGIN READ":
            return True
        item = f"i{self._random.randrange(9)}{self._random.choice(MARKS)}"
        arguments = f"{item} {(data := self._callers.make_text())}"
        if mode == "WRITE":
            self._callers.written.add((item, data))
        return await self._execute(f"EXECUTE {name} {arguments}", mode, shape)

    async def _execute(self, text: str, mode: str = "", shape: str = "") -> bool:
        """Send a statement; return whether it succeeded."""
        ((request, _),) = self._client.send([text])
        expected = Expected(
            text=text,
            mode=mode,
            shape=shape,
            values=dict(self._values),
            open=bool(self._open),
        )
        self._callers.expect(request, expected)
        lines = [await self._client.read_line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(await self._client.read_line())
        if lines[0].startswith("ERROR"):
            self._callers.refused.append(f"{shorten(text)}: {lines[0]}")
        if lines[0].startswith("ERROR NOSTMT"):
            self._callers.unknown.append(f"PINNED: {shorten(text)} is unknown")
        return lines[0].startswith(("COMPLETE", "ROW"))
