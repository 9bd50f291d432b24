"""Processes of the fault soak, and the links between them."""

import asyncio
import contextlib
import signal
import time
from pathlib import Path

from .standins import spawn_vm

CONTACT_PERIOD = 4.0
"""Seconds without a disturbance after which the bounds of time hold for a VM."""


class Link:
    """A loopback proxy whose connections can be delayed, reset, refused or blocked.

    Args:
        port: port to which connections are forwarded.
    """

    def __init__(self, *, port: int) -> None:
        self.target = port
        self.port = 0
        self.delay = 0.0
        self.blocked = {"up": False, "down": False}
        self.refuse = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """End all faults; connections that lost data are reset."""
        if any(self.blocked.values()):
            self.reset()
        self.delay = 0.0
        self.refuse = False
        self.blocked = {"up": False, "down": False}

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        self.reset()

    async def _serve(self, reader, writer) -> None:
        if self.refuse:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        await asyncio.gather(
            self._forward(reader, target_writer, "up"),
            self._forward(target_reader, writer, "down"),
        )
        self._writers -= {writer, target_writer}

    async def _forward(self, reader, writer, way: str) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(1 << 16):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if not self.blocked[way]:
                    writer.write(data)
        writer.close()


class VmProcess:
    """A VM's program in its own process."""

    def __init__(self, *, name: str, path: Path, ports: tuple, output: Path) -> None:
        self.name = name
        self.path = path
        self.ports = ports
        self.output = output
        self.process: asyncio.subprocess.Process | None = None
        self.disturbed_until = 0.0
        self.broken_at: list[tuple[float, float]] = []
        self.stopped_at: list[float] = []

    @property
    def in_touch(self) -> bool:
        """Whether the VM and its way to the store have been undisturbed for a while."""
        return time.monotonic() >= self.disturbed_until + CONTACT_PERIOD

    def disturb(self, seconds: float) -> None:
        """Record a disturbance that lasts for some seconds from now."""
        until = time.monotonic() + seconds
        self.disturbed_until = max(self.disturbed_until, until)

    def break_off(self, seconds: float = 0.0) -> None:
        """Record that it is killed or paused now, for some seconds."""
        now = time.monotonic()
        self.broken_at.append((now, now + seconds))

    def was_broken(self, began: float, ended: float) -> bool:
        """Return whether it was killed or paused in a period or shortly before."""
        began -= CONTACT_PERIOD
        return any(start <= ended and end >= began for start, end in self.broken_at)

    async def start(self) -> None:
        """Start the program."""
        self.disturb(1)
        self.process = await spawn_vm(self.path, self.output)

    def send(self, number: int) -> None:
        """Send a signal if the process is running."""
        if number == signal.SIGKILL:
            self.break_off()
        elif number == signal.SIGTERM:
            self.stopped_at.append(time.monotonic())
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Kill the process."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()
