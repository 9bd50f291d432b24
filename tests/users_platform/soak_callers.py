"""Callers of the fault soak that keep using a VM until its process has ended."""

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass

from .soak_processes import VmProcess
from .soak_stalls import StallWatch
from .standins import ROUTES, Client, Instance, read_line

ANSWER_TIMEOUT = 12.0
"""Seconds after which a statement counts as unanswered: more than any deadline."""

CROSSING_PERIOD = 0.2
"""Seconds before the end of a connection in which a statement may cross with it, not
counting those in which the soak itself stood still."""

LARGE_VALUE = "v" * 30_000
"""Value whose reads fill the buffers of a caller that reads slowly."""

REFUSED = ("BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "OVERLOAD")
"""Error codes after which a single write has no effect."""


@dataclass(slots=True, kw_only=True)
class Sent:
    """A statement, and what became of it.

    Args:
        answered: whether its whole answer has arrived.
        ended_at: when that arrived or the connection ended, 0 while neither did.
        excused: whether its caller has left.
    """

    vm: VmProcess
    caller: str
    request: str
    text: str
    sent_at: float
    answered: bool = False
    ended_at: float = 0.0
    excused: bool = False


class StayingCallers:
    """Callers of each kind, for each VM.

    Args:
        random: decides their statements and pauses.
        vms: the VMs that they use.
    """

    def __init__(self, *, random: random.Random, vms: list[VmProcess]) -> None:
        self._random = random
        self._vms = vms
        self._running = True
        self.stalls = StallWatch()
        self._numbers: dict[str, int] = {}
        self.sent: list[Sent] = []
        self.clients: list[Client] = []
        self.refused: dict[tuple[str, int], str] = {}

    def start(self) -> list[asyncio.Task]:
        """Start the callers; return their tasks."""
        kinds = (
            self._send_single,
            self._send_single,
            self._send_on,
            self._run_transactions,
            self._send_ahead,
            self._read_slowly,
            self._leave,
        )
        tasks = []
        for vm in self._vms:
            for index, kind in enumerate(kinds):
                name = f"{vm.name}-{index}-{kind.__name__.strip('_')}"
                tasks.append(asyncio.create_task(self._repeat(vm, name, kind)))
        return tasks

    def stop(self) -> None:
        """Have the callers end after their current connection."""
        self._running = False

    def list_unanswered(self, instances: list[Instance]) -> list[str]:
        """Return the statements without a whole answer that should have one.

        Not those of a VM that was killed or paused, nor those that crossed with the
        end of their connection and that no instance got.
        """
        found = []
        received = set().union(*(instance.received for instance in instances))
        for sent in self.sent:
            if sent.answered or sent.excused or not sent.ended_at:
                continue
            if sent.vm.was_broken(sent.sent_at, sent.ended_at):
                continue
            stalled = self.stalls.measure(sent.sent_at, sent.ended_at)
            waited = sent.ended_at - sent.sent_at - stalled
            if waited <= CROSSING_PERIOD and sent.request not in received:
                continue
            stops = [at for at in sent.vm.stopped_at if at <= sent.ended_at]
            since = f"{sent.ended_at - stops[-1]:.3f}" if stops else "none"
            found.append(
                f"no whole answer: {sent.caller} {sent.request} {sent.text[:20]!r} "
                f"waited={waited:.3f} stalled={stalled:.3f} after_sigterm={since} "
                f"received={sent.request in received}"
            )
        return found

    async def _repeat(self, vm: VmProcess, name: str, kind) -> None:
        """Connect to a VM again and again, and use each connection."""
        while self._running:
            connection = Connection(callers=self, vm=vm, name=name)
            with contextlib.suppress(OSError, TimeoutError):
                await kind(connection)
            connection.end()
            pause = self._random.choice((0.01, 0.03, 0.1))
            await asyncio.sleep(pause)

    def make_write(self, name: str) -> str:
        """Return a write of a value that this caller has not written yet."""
        number = self._numbers.get(name, 0) + 1
        self._numbers[name] = number
        return f"WRITE {name} {number}"

    def make_single(self, name: str) -> str:
        """Return a read or a write."""
        if self._random.random() < 0.3:
            return self.make_write(name)
        return f"READ {name}"

    def _make_several(self, name: str) -> list[str]:
        """Return reads and writes."""
        count = self._random.choice((2, 5, 20))
        return [self.make_single(name) for _ in range(count)]

    async def _send_single(self, connection) -> None:
        """Send one statement on a new connection."""
        if await connection.open(self._random.choice(list(ROUTES))):
            await connection.execute(self.make_single(connection.name))

    async def _send_on(self, connection) -> None:
        """Use the open connection until it is closed."""
        if not await connection.open(self._random.choice(list(ROUTES))):
            return
        while self._running:
            if not await connection.execute(self.make_single(connection.name)):
                return
            await asyncio.sleep(self._random.choice((0.0, 0.02, 0.02, 0.4)))

    async def _run_transactions(self, connection) -> None:
        """Run transactions with pauses until the connection is closed."""
        if not await connection.open(self._random.choice(("orders", "crew"))):
            return
        while self._running:
            texts = ["BEGIN"]
            for _ in range(self._random.randrange(4)):
                texts.append(self.make_single(connection.name))
            texts.append(self._random.choice(("COMMIT", "COMMIT", "ROLLBACK")))
            for text in texts:
                lines = await connection.execute(text)
                if not lines:
                    return
                if lines[0].startswith("ERROR"):
                    break
                await asyncio.sleep(self._random.choice((0.0, 0.0, 0.05, 0.8)))
            if lines[-1].startswith("READY I"):
                continue
            if not await connection.execute("ROLLBACK"):
                return

    async def _send_ahead(self, connection) -> None:
        """Send several statements in one packet, on some connections at the start."""
        texts = self._make_several(connection.name)
        at_once = self._random.random() < 0.5
        if not await connection.open("orders", texts if at_once else ()):
            return
        if not at_once:
            connection.send(texts)
        while await connection.read_answers() and self._running:
            await asyncio.sleep(self._random.choice((0.0, 0.05)))
            connection.send(self._make_several(connection.name))

    async def _read_slowly(self, connection) -> None:
        """Send reads of a large value in one packet, and read the answers late."""
        if not await connection.open("orders"):
            return
        for text in ("BEGIN", f"WRITE {connection.name} {LARGE_VALUE}"):
            lines = await connection.execute(text)
            if not lines or lines[0].startswith("ERROR"):
                return
        connection.send([f"READ {connection.name}"] * 12)
        await asyncio.sleep(self._random.choice((0.1, 0.5, 1.0)))
        if await connection.read_answers():
            await connection.execute("ROLLBACK")

    async def _leave(self, connection) -> None:
        """Leave while a statement runs."""
        if await connection.open("orders"):
            connection.send([self.make_single(connection.name)])
            await asyncio.sleep(self._random.choice((0.0, 0.005, 0.5)))
            connection.leave()


class Connection:
    """A caller's connection to a VM.

    Args:
        name: name of the caller, and the key that it writes.
    """

    def __init__(self, *, callers: StayingCallers, vm: VmProcess, name: str) -> None:
        self.name = name
        self._callers = callers
        self._vm = vm
        self._client: Client | None = None
        self._waiting: list[Sent] = []

    async def open(self, database: str, texts=()) -> bool:
        """Connect; return whether the VM has accepted the caller.

        Args:
            texts: statements that are sent along.
        """
        self._client = await Client.open(self._vm.ports[0], database)
        self._callers.clients.append(self._client)
        if texts:
            self.send(texts)
        line = await self._read_line()
        if line.startswith("ERROR"):
            self.leave()
        return line.startswith("READY")

    def send(self, texts) -> None:
        """Send statements in one packet."""
        for request, text in self._client.send(texts):
            sent = Sent(
                vm=self._vm,
                caller=self.name,
                request=request,
                text=text,
                sent_at=time.monotonic(),
            )
            self._waiting.append(sent)
            self._callers.sent.append(sent)

    async def execute(self, text: str) -> list[str]:
        """Send a statement; return its whole answer, nothing if there is none."""
        self.send([text])
        return await self._read_answer()

    async def read_answers(self) -> bool:
        """Read the answers to all statements; return whether each has got one."""
        while self._waiting:
            if not await self._read_answer():
                return False
        return True

    async def _read_answer(self) -> list[str]:
        """Return the whole answer to the oldest statement that has none."""
        lines = []
        while not lines or not lines[-1].startswith("READY"):
            line = await self._read_line()
            if not line:
                return []
            lines.append(line)
        sent = self._waiting.pop(0)
        sent.ended_at = time.monotonic()
        sent.answered = len(lines) > 1
        words = sent.text.split(" ")
        code = lines[0].split(" ")[1] if lines[0].startswith("ERROR") else ""
        if words[0] == "WRITE" and code in REFUSED and words[2] != LARGE_VALUE:
            self._callers.refused[words[1], int(words[2])] = code
        return lines

    async def _read_line(self) -> str:
        """Return the next line, nothing if the connection has ended."""
        return await asyncio.wait_for(read_line(self._client.reader), ANSWER_TIMEOUT)

    def leave(self) -> None:
        """Close the connection; the statements without an answer don't count."""
        for sent in self._waiting:
            sent.excused = True
        self.end()

    def end(self) -> None:
        """Close the connection, whose last statements have no answer."""
        for sent in self._waiting:
            sent.ended_at = time.monotonic()
        self._waiting.clear()
        if self._client is not None:
            self._client.close()
