"""Thin adapters between the runtime and sockets, libraries and files."""

from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store

__all__ = ["Backends", "Callers", "Emit", "Peers", "Recorder", "Store"]
