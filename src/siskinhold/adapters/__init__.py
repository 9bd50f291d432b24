"""Thin adapters between the runtime and sockets, libraries and files."""

from ._backends import MysqlBackends
from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store

__all__ = ["Backends", "Callers", "Emit", "MysqlBackends", "Peers", "Recorder", "Store"]
