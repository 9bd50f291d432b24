"""The socket on which a VM listens for callers; imports little, as it comes first."""

import socket

BACKLOG = 1024
"""Connections that may wait to be accepted."""


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket that listens.

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
