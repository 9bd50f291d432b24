"""Check of a caller's login packet before mysql-mimic parses it.

The library reads a string up to its terminator without a look at the end of the packet.
A packet without the terminator would keep the process busy for ever.
"""

from mysql_mimic.types import Capabilities

TLS_REQUEST_LENGTH = 32
"""Bytes of a request for TLS, which are also the first ones of a login."""

MAX_SCRAMBLE_LENGTH = 0xFA
"""Bytes of a password scramble whose length takes one byte in either encoding."""


class LoginMalformed(Exception):
    """A login packet lacks a field or a terminator."""


def check_login(data: bytes) -> None:
    """Check that a login packet has all fields that its capabilities announce.

    A request for TLS passes.

    Raises:
        LoginMalformed: names the field that is incomplete.
    """
    if len(data) == TLS_REQUEST_LENGTH:
        return
    if len(data) < TLS_REQUEST_LENGTH:
        raise LoginMalformed(f"login of {len(data)} bytes")
    capabilities = int.from_bytes(data[:4], "little")
    end = _find_end(data, TLS_REQUEST_LENGTH, "user name")
    if end >= len(data) or data[end] > MAX_SCRAMBLE_LENGTH:
        raise LoginMalformed("password scramble without a length")
    end += 1 + data[end]
    if capabilities & Capabilities.CLIENT_CONNECT_WITH_DB:
        end = _find_end(data, end, "database")
    if capabilities & Capabilities.CLIENT_PLUGIN_AUTH:
        _find_end(data, end, "authentication plugin")


def _find_end(data: bytes, start: int, field: str) -> int:
    """Return the index after the terminator of the string at `start`.

    Raises:
        LoginMalformed: if there is none.
    """
    end = data.find(b"\0", start)
    if end < 0:
        raise LoginMalformed(f"{field} without a terminator")
    return end + 1
