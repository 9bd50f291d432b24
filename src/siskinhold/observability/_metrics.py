"""Metrics with help texts and bounded labels."""

import enum
import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

METRIC_PREFIX = "siskinhold_"
"""Names of all metrics start with it."""

MAX_LABEL_VALUES = 50
"""Values of one metric's label; further ones are counted as `other`."""

DURATION_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
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
    buckets: tuple[float, ...] = DURATION_BUCKETS


def define_counter(help_text: str, label: str = "") -> Metric:
    """Return a counter."""
    return Metric(kind=MetricKind.COUNTER, help=help_text, label=label)


def define_histogram(help_text: str, label: str = "") -> Metric:
    """Return a histogram of durations in seconds."""
    return Metric(kind=MetricKind.HISTOGRAM, help=help_text, label=label)


@dataclass(slots=True)
class Metrics:
    """Metrics of one process, made at their first use.

    Args:
        definitions: the metrics that may be observed.
        registry: where they are registered.
        refused: unknown names that were observed.
    """

    definitions: dict[str, Metric]
    registry: CollectorRegistry
    refused: set[str] = field(default_factory=set)
    _collectors: dict[str, Counter | Gauge | Histogram] = field(default_factory=dict)
    _label_values: dict[str, set[str]] = field(default_factory=dict)

    def observe(self, name: str, value: float, label: str = "") -> bool:
        """Add a value to a metric.

        A name that is not known is refused: it is logged at its first use and
        its values are dropped.

        Returns:
            Whether the metric is known.
        """
        metric = self.definitions.get(name)
        if metric is None:
            self._refuse_unknown(name)
            return False
        collector = self._collectors.get(name) or self._create_collector(name, metric)
        if metric.label:
            collector = collector.labels(self._limit_label(name, label))
        if metric.kind is MetricKind.COUNTER:
            collector.inc(max(value, 0.0))
        elif metric.kind is MetricKind.GAUGE:
            collector.set(value)
        else:
            collector.observe(value)
        return True

    def _create_collector(
        self, name: str, metric: Metric
    ) -> Counter | Gauge | Histogram:
        labels = (metric.label,) if metric.label else ()
        arguments = (METRIC_PREFIX + name, metric.help, labels)
        if metric.kind is MetricKind.COUNTER:
            collector = Counter(*arguments, registry=self.registry)
        elif metric.kind is MetricKind.GAUGE:
            collector = Gauge(*arguments, registry=self.registry)
        else:
            collector = Histogram(
                *arguments, registry=self.registry, buckets=metric.buckets
            )
        self._collectors[name] = collector
        return collector

    def _limit_label(self, name: str, label: str) -> str:
        values = self._label_values.setdefault(name, set())
        if label not in values and len(values) >= MAX_LABEL_VALUES:
            return "other"
        values.add(label)
        return label

    def _refuse_unknown(self, name: str) -> None:
        if name not in self.refused:
            self.refused.add(name)
            _log.error("event=metric_refused metric=%s reason=unknown", name)
