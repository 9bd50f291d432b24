"""Metrics with help texts and bounded labels."""

import enum
import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

PREFIX = "siskinhold_"
"""Names of all metrics start with it."""

LABEL_LIMIT = 50
"""Values of one metric's label; further ones are counted as `other`."""

SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
"""Bounds of the buckets of durations, in seconds."""

_log = logging.getLogger(__name__)


class MetricKind(enum.Enum):
    """What a value does to a metric: added, put in its place, or distributed."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(slots=True, kw_only=True, frozen=True)
class Metric:
    """A metric that may be observed.

    Args:
        kind: what a value does to it.
        help: what it tells, with its unit.
        label: name of its one label; empty for none.
        buckets: upper bounds of a histogram.
    """

    kind: MetricKind
    help: str
    label: str = ""
    buckets: tuple[float, ...] = SECONDS


def define_count(text: str, label: str = "") -> Metric:
    """Return a counter."""
    return Metric(kind=MetricKind.COUNTER, help=text, label=label)


def define_time(text: str, label: str = "") -> Metric:
    """Return a histogram of durations in seconds."""
    return Metric(kind=MetricKind.HISTOGRAM, help=text, label=label)


@dataclass(slots=True)
class Metrics:
    """Metrics of one process, made at their first use.

    Args:
        known: the metrics that may be observed.
        registry: where they are registered.
        refused: unknown names that were observed.
    """

    known: dict[str, Metric]
    registry: CollectorRegistry
    refused: set[str] = field(default_factory=set)
    _made: dict[str, Counter | Gauge | Histogram] = field(default_factory=dict)
    _labels: dict[str, set[str]] = field(default_factory=dict)

    def observe(self, name: str, value: float, label: str = "") -> bool:
        """Add a value to a metric.

        A name that is not known is refused: it is logged at its first use and
        its values are dropped.

        Returns:
            Whether the metric is known.
        """
        metric = self.known.get(name)
        if metric is None:
            self._refuse(name)
            return False
        made = self._made.get(name) or self._make(name, metric)
        if metric.label:
            made = made.labels(self._bound(name, label))
        if metric.kind is MetricKind.COUNTER:
            made.inc(max(value, 0.0))
        elif metric.kind is MetricKind.GAUGE:
            made.set(value)
        else:
            made.observe(value)
        return True

    def _make(self, name: str, metric: Metric) -> Counter | Gauge | Histogram:
        labels = (metric.label,) if metric.label else ()
        common = (PREFIX + name, metric.help, labels)
        if metric.kind is MetricKind.COUNTER:
            made = Counter(*common, registry=self.registry)
        elif metric.kind is MetricKind.GAUGE:
            made = Gauge(*common, registry=self.registry)
        else:
            made = Histogram(*common, registry=self.registry, buckets=metric.buckets)
        self._made[name] = made
        return made

    def _bound(self, name: str, label: str) -> str:
        seen = self._labels.setdefault(name, set())
        if label not in seen and len(seen) >= LABEL_LIMIT:
            return "other"
        seen.add(label)
        return label

    def _refuse(self, name: str) -> None:
        if name not in self.refused:
            self.refused.add(name)
            _log.error("event=metric_refused metric=%s reason=unknown", name)
