"""Thin adapters between the runtime and sockets, libraries and files."""

from ._backends import MysqlBackends
from ._callers import CallerLimits, Credentials, MysqlCallers
from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store
from ._store import HttpStore
from ._store_client import StoreClient

__all__ = [
    "Backends",
    "CallerLimits",
    "Callers",
    "Credentials",
    "Emit",
    "HttpStore",
    "MysqlBackends",
    "MysqlCallers",
    "Peers",
    "Recorder",
    "Store",
    "StoreClient",
]
