"""A child process as the remote end of sockets, and this process's memory."""

import asyncio
import multiprocessing
import os
from collections.abc import Callable

TIMEOUT = 60.0
"""Seconds after which a child process that does not answer has failed."""

_SPAWN = multiprocessing.get_context("spawn")


def read_resident() -> int:
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class ChildProcess:
    """A child process that is controlled through a pipe.

    `target` is called in it with its end of the pipe and the arguments.
    """

    def __init__(self, target: Callable, *arguments: object) -> None:
        self._pipe, other = _SPAWN.Pipe()
        self._process = _SPAWN.Process(
            target=target, args=(other, *arguments), daemon=True
        )
        self._process.start()
        other.close()

    async def run_command(self, *command: object) -> None:
        """Send a command and wait until the child has run it."""
        self._pipe.send(command)
        await self.receive()

    async def receive(self):
        """Return the next object that the child sends.

        Raises:
            TimeoutError: if it sends nothing in `TIMEOUT`.
        """

        def wait():
            if not self._pipe.poll(TIMEOUT):
                raise TimeoutError("the child process does not answer")
            return self._pipe.recv()

        return await asyncio.to_thread(wait)

    def stop(self) -> None:
        """Close the pipe and wait for the child to exit; terminate it after 5 s."""
        self._pipe.close()
        self._process.join(5)
        if self._process.is_alive():
            self._process.terminate()
            self._process.join()
