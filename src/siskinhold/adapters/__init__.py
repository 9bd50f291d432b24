"""Thin adapters between the runtime and sockets, libraries and files."""

from ._callers import CallerLimits, Credentials, MysqlCallers
from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store

__all__ = [
    "Backends",
    "CallerLimits",
    "Callers",
    "Credentials",
    "Emit",
    "MysqlCallers",
    "Peers",
    "Recorder",
    "Store",
]
