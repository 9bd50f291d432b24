"""Metrics and log formatting shared by all programs."""

from ._metrics import (
    Metric,
    MetricKind,
    Metrics,
    define_counter,
    define_gauge,
    define_histogram,
)
from ._quote import format_event, quote, quote_start

__all__ = [
    "Metric",
    "MetricKind",
    "Metrics",
    "define_counter",
    "define_gauge",
    "define_histogram",
    "format_event",
    "quote",
    "quote_start",
]
