"""Keeps a process's tasks running after an unexpected error."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

RESTART_DELAY = 1.0
"""Seconds until a task that ended with an error is started again."""

_log = logging.getLogger(__name__)


async def keep_running(name: str, start: Callable[[], Awaitable[None]]) -> None:
    """Run a task, and start it again after an unexpected error; log each one.

    Args:
        start: returns the task's coroutine, which may end regularly.
    """
    while True:
        try:
            await start()
            return
        except Exception as error:
            _log.error("event=task_failed task=%s error=%r", name, error)
        await asyncio.sleep(RESTART_DELAY)


async def log_failure(coroutine: Awaitable[None]) -> None:
    """Await a coroutine; log an unexpected error, whose caller has its own timeout."""
    try:
        await coroutine
    except Exception as error:
        _log.error("event=call_failed error=%r", error)
