"""Starts programs of this repository as processes and ends them by process id."""

import asyncio
import contextlib
import ctypes
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

TERMINATION_TIMEOUT_SECONDS = 3.0
"""Seconds after SIGTERM until a process is killed."""
POLL_INTERVAL_SECONDS = 0.02
"""Seconds between two checks of a process."""
FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Range of the ports that programs listen on: below the default start, 32,768, of the
kernel's range for outgoing connections."""
BLOCK_PORTS = 2000
"""Ports that a process takes for itself."""
_PR_SET_PDEATHSIG = 1


def _cycle_ports() -> Iterator[int]:
    """Yield the ports of a block again and again, which no other process has.

    The first port of the block is bound for that as long as the process runs. All
    ports are yielded if each block is taken.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK_PORTS))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        with socket.socket() as claim:
            try:
                claim.bind(("127.0.0.1", first))
                claim.listen()
            except OSError:
                continue
            while True:
                yield from range(first + 1, first + BLOCK_PORTS)
    while True:
        yield from range(FIRST_PORT, LAST_PORT)


_FIRST_PORTS = _cycle_ports()


class ProcessFailed(Exception):
    """A process ended early, or did not become ready or end in time."""


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return consecutive TCP ports that are free at the moment.

    They lie below the range from which the kernel takes ports for outgoing
    connections: one of those could take a port before the program listens on it. No
    port is returned twice by a process before its block is used up.
    """
    while True:
        first = next(_FIRST_PORTS)
        others = [next(_FIRST_PORTS) for _ in range(count - 1)]
        ports = list(range(first, first + count))
        if others == ports[1:] and _are_free(host, first, count):
            return ports


def _are_free(host: str, first: int, count: int) -> bool:
    """Return whether nothing listens on `count` ports from `first` on."""
    with contextlib.ExitStack() as stack:
        for port in range(first, first + count):
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


@dataclass(slots=True, kw_only=True)
class RunningProcess:
    """A started process.

    Args:
        name: its name in messages and that of its log.
        popen: handle of the process.
        log: file with its output.
    """

    name: str
    popen: subprocess.Popen
    log: Path

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.running:
            self.popen.send_signal(number)

    async def wait(self, timeout: float) -> int:
        """Return the exit code.

        Raises:
            ProcessFailed: if it does not end within `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while self.running:
            if time.monotonic() > deadline:
                raise ProcessFailed(f"{self.name} did not end in {timeout:g} s")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        return self.popen.returncode

    async def wait_for_port(self, port: int, timeout: float = 10.0) -> None:
        """Wait until the process listens on a port.

        Raises:
            ProcessFailed: if it ends or does not listen within `timeout` seconds.
        """
        deadline = time.monotonic() + timeout
        while not _is_listening(port):
            if not self.running or time.monotonic() > deadline:
                raise ProcessFailed(f"{self.name} is not ready: {self.read_log_tail()}")
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    def read_log_tail(self) -> str:
        """Return the last 500 characters of the log."""
        return self.log.read_text(errors="replace")[-500:].strip()


class Processes:
    """Starts modules as processes and ends those that it started.

    On Linux the kernel kills them if this process ends without calling `end`.

    Args:
        folder: directory for the logs.
    """

    def __init__(self, *, folder: Path) -> None:
        self._folder = folder
        self._started: list[RunningProcess] = []
        self._environment = os.environ | {"PYTHONPATH": _find_source_root()}

    def start(self, name: str, module: str, *arguments: object) -> RunningProcess:
        """Start a module as a process whose output is appended to a log."""
        log = self._folder / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                self._command(module, arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=self._environment,
                preexec_fn=_kill_with_parent,
            )
        process = RunningProcess(name=name, popen=popen, log=log)
        self._started.append(process)
        return process

    async def run(self, module: str, *arguments: object) -> tuple[int, str, str]:
        """Run a module to its end; return exit code, standard output and error."""
        child = await asyncio.create_subprocess_exec(
            *self._command(module, arguments),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env=self._environment,
            preexec_fn=_kill_with_parent,
        )
        try:
            output, errors = await child.communicate()
        except BaseException:
            if child.returncode is None:
                child.kill()
            raise
        return child.returncode, output.decode(), errors.decode()

    def end(self) -> list[str]:
        """End all running processes; return the names of those that were killed."""
        for process in self._started:
            # A proxy that is already shutting down ends at once on a second SIGTERM.
            # SIGCONT resumes a stopped process, so that it handles the signal.
            process.signal(signal.SIGTERM)
            process.signal(signal.SIGCONT)
        deadline = time.monotonic() + TERMINATION_TIMEOUT_SECONDS
        killed = []
        for process in self._started:
            try:
                process.popen.wait(max(0.0, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.popen.kill()
                process.popen.wait()
                killed.append(process.name)
        return killed

    def list_running(self) -> list[str]:
        """Return the names of the processes that have not ended."""
        return [process.name for process in self._started if process.running]

    def _command(self, module: str, arguments: Sequence[object]) -> list[str]:
        return [sys.executable, "-m", module, *(str(item) for item in arguments)]


def _find_source_root() -> str:
    return str(Path(__file__).resolve().parents[2])


def _kill_with_parent() -> None:
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _is_listening(port: int) -> bool:
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex(("127.0.0.1", port)) == 0
