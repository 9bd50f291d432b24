"""Adapters that connect the runtime to sockets, client libraries and files."""

from ._backends import MysqlBackends
from ._callers import CallerLimits, Credentials, MysqlCallers
from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store
from ._metrics import METRICS, Metric, MetricKind, Metrics
from ._operator import OperatorServer
from ._operator_status import DatabaseReport, OperatorStatus, ServerReport, VmReport
from ._peers import EnvelopeCodec, NngPeers
from ._recorder import KeyValueFormatter, TimelineRecorder
from ._store import HttpStore
from ._store_client import StoreClient

__all__ = [
    "Backends",
    "CallerLimits",
    "Callers",
    "Credentials",
    "DatabaseReport",
    "Emit",
    "EnvelopeCodec",
    "HttpStore",
    "KeyValueFormatter",
    "METRICS",
    "Metric",
    "MetricKind",
    "Metrics",
    "MysqlBackends",
    "MysqlCallers",
    "NngPeers",
    "OperatorServer",
    "OperatorStatus",
    "Peers",
    "Recorder",
    "ServerReport",
    "Store",
    "StoreClient",
    "TimelineRecorder",
    "VmReport",
]
