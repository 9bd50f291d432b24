"""Writing of the timeline as key=value lines, and recording of metrics."""

import logging
import sys
import time
from collections.abc import Callable
from datetime import datetime, timezone

from prometheus_client import REGISTRY, CollectorRegistry
from pythonjsonlogger.core import BaseJsonFormatter

from .. import effects
from ..observability import quote
from ._interfaces import Recorder
from ._metrics import METRICS, Metric, Metrics

FIELDS = (
    "vm",
    "incarnation",
    "clock",
    "sequence",
    "wall",
    "event",
    "cause",
    "database",
    "server",
    "session",
    "request",
    "ticket",
    "term",
)
"""Fields of a line, in order; details follow. A field is omitted if it is empty or 0,
except `clock`."""


class KeyValueFormatter(BaseJsonFormatter):
    """Formats a record whose message is a dict as one line of key=value pairs.

    A value is quoted as in JSON if it is empty or contains a space, a quote, an
    equals sign or an unprintable character.
    """

    def __init__(self) -> None:
        """Use only the message's own fields, none of the log record."""
        super().__init__([])

    def jsonify_log_record(self, log_data: dict) -> str:
        """Return the line without a line break."""
        return " ".join(f"{key}={quote(value)}" for key, value in log_data.items())


class TimelineRecorder(Recorder):
    """Writes the timeline to a file or to standard error, and records metrics.

    If a line can't be written, the logging library reports it on standard error; the
    line is lost.
    """

    def __init__(
        self,
        *,
        vm: str,
        incarnation: int,
        path: str = "",
        registry: CollectorRegistry = REGISTRY,
        metrics: dict[str, Metric] | None = None,
        read_wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Open the output.

        Args:
            vm: the name of this VM.
            incarnation: its incarnation.
            path: file to append to; empty for standard error.
            registry: registry of the metrics.
            metrics: the metrics that may be observed; None for `METRICS`.
            read_wall_clock: returns seconds since the epoch, for the readers of lines.

        Raises:
            OSError: if the file can't be opened.
        """
        if path:
            self._handler = logging.FileHandler(path, encoding="utf-8")
        else:
            self._handler = logging.StreamHandler(sys.stderr)
        self._handler.setFormatter(KeyValueFormatter())
        self.metrics = Metrics(METRICS if metrics is None else metrics, registry)
        self._vm = vm
        self._incarnation = incarnation
        self._sequence = 0
        self._read_wall_clock = read_wall_clock

    def record(self, effect: effects.Record, *, clock: int) -> None:
        """Append a timeline record with the VM's logical clock, and count it.

        A detail whose name is that of a field is written as `detail_<name>`.
        """
        self._sequence += 1
        values = {
            "vm": self._vm,
            "incarnation": self._incarnation,
            "clock": clock,
            "sequence": self._sequence,
            "wall": _format_time(self._read_wall_clock()),
            "event": effect.name,
            "cause": effect.cause,
            "database": effect.database,
            "server": effect.server,
            "session": effect.session,
            "request": "" if effect.request is None else str(effect.request),
            "ticket": effect.ticket,
            "term": effect.term,
        }
        line = {key: value for key, value in values.items() if value not in ("", 0)}
        line.setdefault("clock", clock)
        for key, value in effect.detail:
            line[f"detail_{key}" if key in FIELDS else key] = value
        self._handler.handle(logging.makeLogRecord({"msg": line}))
        self.metrics.observe("timeline_events", 1.0, effect.name)

    def observe(self, effect: effects.Observe) -> None:
        """Add a value to a metric."""
        self.metrics.observe(effect.metric, effect.value, effect.label)

    def close(self) -> None:
        """Close the output file, if there is one."""
        self._handler.close()


def _format_time(seconds: float) -> str:
    moment = datetime.fromtimestamp(seconds, timezone.utc)
    return moment.isoformat(timespec="microseconds").replace("+00:00", "Z")
