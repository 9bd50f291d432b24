"""Thin adapters between the runtime and sockets, libraries and files."""

from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store
from ._metrics import METRICS, Metric, MetricKind, Metrics
from ._peers import EnvelopeCodec, NngPeers
from ._recorder import KeyValueFormatter, TimelineRecorder

__all__ = [
    "Backends",
    "Callers",
    "Emit",
    "EnvelopeCodec",
    "KeyValueFormatter",
    "METRICS",
    "Metric",
    "MetricKind",
    "Metrics",
    "NngPeers",
    "Peers",
    "Recorder",
    "Store",
    "TimelineRecorder",
]
