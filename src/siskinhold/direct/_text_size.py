"""Memory that named texts take."""

import sys

ENTRY_SIZE = 200
"""Bytes that an entry of a dictionary takes beside its texts."""


def measure_entry(name: str, text: str | None) -> int:
    """Return the bytes of a value or prepared statement, 0 if there is none."""
    if text is None:
        return 0
    return ENTRY_SIZE + sys.getsizeof(name) + sys.getsizeof(text)
