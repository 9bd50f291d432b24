"""What logs and metrics of all programs share."""

from ._metrics import Metric, MetricKind, Metrics, define_count, define_time
from ._quote import quote

__all__ = [
    "Metric",
    "MetricKind",
    "Metrics",
    "define_count",
    "define_time",
    "quote",
]
