"""Prometheus metrics with a limited number of label values."""

import enum
import hashlib
import json
import logging
from dataclasses import dataclass, field

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

METRIC_PREFIX = "siskinhold_"
"""Prefix of all metric names."""

MAX_LABEL_VALUES = 50
"""Maximum number of label values per metric; further ones become `OTHER_LABEL`."""

OTHER_LABEL = "other"
"""Label of the values beyond that maximum; a value of this text is quoted."""

MAX_LABEL_CHARACTERS = 128
"""Characters of a label value; of a longer one, a digest follows the quoted start."""

DURATION_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10)
"""Upper bounds of the histogram buckets for durations, in seconds."""

_log = logging.getLogger(__name__)


class MetricKind(enum.Enum):
    """The Prometheus type of a metric.

    An observed value is added to a counter, replaces the value of a gauge and is
    counted in a bucket of a histogram.
    """

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(slots=True, kw_only=True, frozen=True)
class Metric:
    """Definition of a metric.

    Args:
        kind: Prometheus type.
        help: help text, with the unit.
        label: name of its only label; empty for none.
        buckets: upper bounds of the buckets; used for histograms only.
    """

    kind: MetricKind
    help: str
    label: str = ""
    buckets: tuple[float, ...] = DURATION_BUCKETS


def define_counter(help_text: str, label: str = "") -> Metric:
    """Return the definition of a counter."""
    return Metric(kind=MetricKind.COUNTER, help=help_text, label=label)


def define_gauge(help_text: str, label: str = "") -> Metric:
    """Return the definition of a gauge."""
    return Metric(kind=MetricKind.GAUGE, help=help_text, label=label)


def define_histogram(help_text: str, label: str = "") -> Metric:
    """Return the definition of a histogram of durations in seconds."""
    return Metric(kind=MetricKind.HISTOGRAM, help=help_text, label=label)


@dataclass(slots=True)
class Metrics:
    """Metrics of one process, each registered when it is first observed.

    Args:
        definitions: the metrics that may be observed, by name without prefix.
        registry: the Prometheus registry of the process.
        refused: names that were observed without a definition.
    """

    definitions: dict[str, Metric]
    registry: CollectorRegistry
    refused: set[str] = field(default_factory=set)
    _collectors: dict[str, Counter | Gauge | Histogram] = field(default_factory=dict)
    _label_values: dict[str, set[str]] = field(default_factory=dict)

    def observe(self, name: str, value: float, label: str = "") -> bool:
        """Add a value to a metric.

        Values for a name without a definition are discarded, and the name is
        logged once.

        Returns:
            Whether the metric has a definition.
        """
        metric = self.definitions.get(name)
        if metric is None:
            self._refuse_unknown(name)
            return False
        collector = self._collectors.get(name) or self._create_collector(name, metric)
        if metric.label:
            text = _format_label(label)
            collector = collector.labels(self._limit_label(name, text))
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
            return OTHER_LABEL
        values.add(label)
        return label

    def _refuse_unknown(self, name: str) -> None:
        if name not in self.refused:
            self.refused.add(name)
            _log.error("event=metric_refused metric=%s reason=unknown", name)


def _format_label(text: str) -> str:
    """Return a text as a label value, which no other text has.

    The registry's page has one line for each label and must be encodable, so texts with
    non-printable characters are quoted as in JSON.

    >>> _format_label("a b"), _format_label("other")
    ('a b', '"other"')
    """
    if len(text) > MAX_LABEL_CHARACTERS:
        data = text.encode("utf-8", "surrogatepass")
        digest = hashlib.blake2b(data, digest_size=8).hexdigest()
        return f"{json.dumps(text[:MAX_LABEL_CHARACTERS])} {digest}"
    if text == OTHER_LABEL or text[:1] == '"' or not text.isprintable():
        return json.dumps(text)
    return text
