"""The listening socket for callers, and the signals that end its process.

Imports only the standard library, because a program may open the socket before it
imports the rest.
"""

import signal
import socket

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
"""Signals that end the process gracefully. A program that opens the socket early blocks
them until then, and the service unblocks them."""

BACKLOG = 1024
"""Maximum number of connections that wait to be accepted."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a non-blocking TCP socket that listens on `host` and `port`.

    Raises:
        OSError: if the address can't be bound.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setblocking(False)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
