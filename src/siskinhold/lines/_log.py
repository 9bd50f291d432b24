"""Structured log on standard output, with rate limits and non-blocking writes."""

import logging
import os
import select

from ..direct import Log
from ..observability import format_event, quote, quote_start

LINES_PER_SECOND = 60
"""Average rate limit of lines that are not essential, in lines per second."""

LINES_BURST = 200
"""Lines that are not essential and may be written in a burst."""

ESSENTIAL_PER_SECOND = 200
"""Average rate limit of essential lines, in lines per second."""

ESSENTIAL_BURST = 1000
"""Essential lines that may be written in a burst."""

MAX_LINE_BYTES = min(4096, select.PIPE_BUF)
"""Maximum size of a line: a pipe takes it whole or not at all."""

VALUE_LIMITS = (1024, 256, 24)
"""Bytes of a value, the largest that keep a line within its maximum size."""


class _TokenBucket:
    """A token bucket that limits the rate of log lines."""

    __slots__ = ("_rate", "_burst", "_tokens", "_refilled_at", "left_out")

    def __init__(self, *, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0
        self.left_out = 0

    def take(self, now: float) -> bool:
        """Take a token; return whether the line may be written."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._refilled_at) * self._rate
        )
        self._refilled_at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class DecisionLog:
    """Writes one line of key=value pairs for each decision.

    Of a long value only the start is written, and a pair `clipped` with its number of
    characters follows.

    Lines over the rate limit are dropped and counted, and the next line reports the
    count as `left_out`. So are lines that can't be written without blocking, and those
    that are too long with the shortest values.

    Args:
        vm: name of the VM, written on each line.
        descriptor: file descriptor of the output; it is made non-blocking.
    """

    def __init__(self, *, vm: str, descriptor: int = 1) -> None:
        self._vm = quote_start(vm, VALUE_LIMITS[0])
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._lines = _TokenBucket(rate=LINES_PER_SECOND, burst=LINES_BURST)
        self._essential = _TokenBucket(rate=ESSENTIAL_PER_SECOND, burst=ESSENTIAL_BURST)
        self._lost = 0
        self._ends_within_line = False

    def write(self, entry: Log, now: float) -> None:
        """Write a line unless the limit of essential or of other lines is exceeded.
        Args:
            now: current time of `read_clock`, in seconds.
        """
        budget = self._essential if entry.essential else self._lines
        if not budget.take(now):
            return
        fields = list(entry.fields)
        left_out = self._lines.left_out + self._essential.left_out + self._lost
        if left_out:
            fields.append(("left_out", left_out))
        start = f"at={now:.3f} vm={self._vm} event={quote(entry.event)}"
        if self._write_line(_format_line(start, fields)):
            self._lines.left_out = 0
            self._essential.left_out = 0
            self._lost = 0

    def _write_line(self, line: bytes) -> bool:
        """Write a line without blocking; return whether it was written."""
        if self._ends_within_line:
            line = b"\n" + line
        written = 0
        if len(line) <= MAX_LINE_BYTES:
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # A full or closed output can't take an error either; the next line
                # that is written reports the count.
                pass
        if written:
            # Outputs other than pipes may take a part of a line.
            self._ends_within_line = written < len(line)
        if written < len(line):
            self._lost += 1
            return False
        return True


def _format_line(start: str, fields: list[tuple[str, object]]) -> bytes:
    """Return a line whose values are as long as its maximum size permits."""
    for limit in VALUE_LIMITS:
        parts = [start]
        for key, value in fields:
            parts.append(f"{key}={quote_start(value, limit)}")
        line = " ".join(parts).encode() + b"\n"
        if len(line) < MAX_LINE_BYTES:
            break
    return line


class LineHandler(logging.Handler):
    """Forwards records of the standard library's loggers to a `DecisionLog`.

    Warnings and errors are essential lines. The text of an event is a line of its own
    pairs, whose values are quoted before the text is.
    """

    def __init__(self, *, log: DecisionLog, clock) -> None:
        super().__init__()
        self._log = log
        self._clock = clock

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line."""
        text = format_event(record) or record.getMessage()
        fields = [("level", record.levelname), ("text", text)]
        if record.exc_info and record.exc_info[1] is not None:
            fields.append(("error", repr(record.exc_info[1])))
        essential = record.levelno >= logging.WARNING
        entry = Log(event="log", fields=tuple(fields), essential=essential)
        self._log.write(entry, self._clock())
