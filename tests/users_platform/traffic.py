"""Callers that record which of their statements got a whole answer."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass, field

from .standins import read_line
from .test_service import Vm

GRACE = 6.0
"""Seconds from SIGTERM to SIGKILL, as in the settings of the VMs."""

SLACK = 0.1
"""Seconds before the end of its connection in which a statement may be sent without
being read by the VM, unless a server has run it."""


@dataclass(slots=True, kw_only=True)
class Sent:
    """A statement, or a `CONNECT` line, and what came back.

    Args:
        request: id of the statement, empty for a `CONNECT` line.
        text: its text.
        sent_at: when it was sent.
        ended_at: when its answer or the connection ended.
        lines: lines of the answer.
    """

    request: str
    text: str
    sent_at: float
    ended_at: float | None = None
    lines: list[str] = field(default_factory=list)

    @property
    def is_whole(self) -> bool:
        """Whether the answer has its terminal line and the line after it."""
        if not self.request:
            return bool(self.lines)
        if len(self.lines) < 2 or not self.lines[-1].startswith("READY "):
            return False
        return self.lines[-2].startswith(("COMPLETE ", "ERROR "))


class Traffic:
    """All statements that were sent to one VM.

    Args:
        vm: the VM.
    """

    def __init__(self, *, vm: Vm) -> None:
        self.vm = vm
        self.clock = asyncio.get_running_loop().time
        self.sent: list[Sent] = []

    @property
    def running(self) -> bool:
        """Whether the VM's process runs."""
        return self.vm.process.returncode is None

    def record(self, text: str, *, request: bool = True) -> Sent:
        """Record a statement that is sent now."""
        name = f"{len(self.sent):x}" if request else ""
        sent = Sent(request=name, text=text, sent_at=self.clock())
        self.sent.append(sent)
        return sent

    def list_lost(self, deployment) -> list[str]:
        """Return the statements that the VM has read and not answered whole."""
        executed = set()
        for instance in deployment.instances:
            executed.update(request for request, _, _ in instance.executed)
        found = []
        for sent in self.sent:
            if sent.is_whole:
                continue
            age = sent.ended_at - sent.sent_at
            if sent.request in executed or age > SLACK:
                ran = sent.request in executed
                lines = [line[:20] for line in sent.lines]
                found.append(f"{sent.request} {sent.text} {age:.3f} {ran=} {lines}")
        return found


class Session:
    """A caller's connection to a VM.

    Args:
        traffic: records the statements.
        stream: reader and writer of the connection.
    """

    def __init__(self, *, traffic: Traffic, stream) -> None:
        self._traffic = traffic
        self._reader, self._writer = stream
        self.open = True

    @classmethod
    async def connect(
        cls,
        traffic: Traffic,
        database: str,
        *ahead: str,
        receive_buffer: int | None = None,
    ) -> "Session":
        """Connect, with statements in the packet of the first line.

        Raises:
            OSError: if the VM does not listen.
        """
        connection = socket.socket()
        connection.setblocking(False)
        if receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(connection, ("127.0.0.1", traffic.vm.ports[0]))
            limit = receive_buffer or 1 << 20
            stream = await asyncio.open_connection(sock=connection, limit=limit)
        except OSError:
            connection.close()
            raise
        session = cls(traffic=traffic, stream=stream)
        first = traffic.record(f"CONNECT {database} u1", request=False)
        behind = session.send(*ahead, first=first.text)
        await session.receive(first)
        if first.lines and first.lines[0].startswith("ERROR"):
            for sent in behind:
                # The refusal of the connection answers what was sent behind it.
                sent.lines += [*first.lines, "READY refused"]
        for sent in behind:
            await session.receive(sent)
        return session

    def send(self, *texts: str, first: str = "") -> list[Sent]:
        """Send statements in one packet."""
        lines = [first] if first else []
        statements = []
        for text in texts:
            sent = self._traffic.record(text)
            lines.append(f"QUERY {sent.request} {text}")
            statements.append(sent)
        with contextlib.suppress(ConnectionError):
            self._writer.write("".join(f"{line}\r\n" for line in lines).encode())
        return statements

    async def receive(self, sent: Sent) -> None:
        """Read the answer to a statement."""
        while self.open and not sent.is_whole:
            try:
                async with asyncio.timeout(GRACE + 2):
                    line = await read_line(self._reader)
            except ConnectionError:
                line = ""
            if line:
                sent.lines.append(line)
            else:
                self.open = False
                self.close()
        sent.ended_at = self._traffic.clock()

    async def execute(self, *texts: str) -> Sent:
        """Send statements in one packet; return the last one with its answer."""
        statements = self.send(*texts)
        for sent in statements:
            await self.receive(sent)
        return statements[-1]

    async def pause(self, seconds: float = 0.02) -> None:
        """Wait, and notice whether the VM has ended the connection meanwhile."""
        await asyncio.sleep(seconds)
        if self.open and self._reader.at_eof():
            self.open = False
            self.close()

    async def read_slowly(self, sent: Sent, rate: float) -> None:
        """Read the answer to a statement, at a number of bytes per second."""
        data = bytearray()
        loop, began = asyncio.get_running_loop(), self._traffic.clock()
        try:
            while not data.endswith(b"READY I -\r\n"):
                received = await self._reader.read(8192)
                if not received:
                    break
                data += received
                delay = began + len(data) / rate - loop.time()
                await asyncio.sleep(max(0.0, delay))
        except ConnectionError:
            self.open = False
        sent.lines = data.decode().split("\r\n")[:-1]
        sent.ended_at = self._traffic.clock()

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()
