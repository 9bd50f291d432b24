"""Thin adapters between the runtime and sockets, libraries and files."""

from ._interfaces import Backends, Callers, Emit, Peers, Recorder, Store
from ._peers import EnvelopeCodec, NngPeers

__all__ = [
    "Backends",
    "Callers",
    "Emit",
    "EnvelopeCodec",
    "NngPeers",
    "Peers",
    "Recorder",
    "Store",
]
