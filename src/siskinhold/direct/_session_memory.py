"""Limit on the values and prepared statements of one session."""

import sys

from ._state import DirectState, Session

ENTRY_SIZE = 200
"""Bytes that an entry of a dictionary takes beside its texts."""


def measure_entry(name: str, text: str | None) -> int:
    """Return the bytes of a value or prepared statement, 0 if there is none."""
    if text is None:
        return 0
    return ENTRY_SIZE + sys.getsizeof(name) + sys.getsizeof(text)


def try_hold(
    state: DirectState, session: Session, name: str, old: str | None, new: str | None
) -> bool:
    """Count an entry that replaces another; return False if there is no room for it."""
    change = measure_entry(name, new) - measure_entry(name, old)
    if change > 0 and session.held + change > state.session_limit:
        return False
    session.held += change
    return True
