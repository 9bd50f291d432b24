"""Memory that named texts take."""

import sys

ENTRY_SIZE = 200
"""Bytes that an entry of a dictionary takes beside its texts."""


def measure_entry(name: str, text: str | None) -> int:
    """Return the bytes of a value or prepared statement, 0 if there is none.

    Those of a text are the larger of what this process and a server hold.
    """
    if text is None:
        return 0
    return ENTRY_SIZE + _measure_text(name) + _measure_text(text)


def _measure_text(text: str) -> int:
    if text.isascii():
        return sys.getsizeof(text)
    return max(sys.getsizeof(text), len(text.encode()))
