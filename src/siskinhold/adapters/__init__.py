"""Thin adapters between the runtime and sockets, libraries and files."""

from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store
from ._store import HttpStore
from ._store_client import StoreClient

__all__ = [
    "Backends",
    "Callers",
    "Emit",
    "HttpStore",
    "Peers",
    "Recorder",
    "Store",
    "StoreClient",
]
