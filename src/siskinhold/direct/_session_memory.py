"""Limit on the values and prepared statements of one session."""

from ._state import DirectState, Session
from ._text_size import measure_entry


def try_hold(
    state: DirectState, session: Session, name: str, old: str | None, new: str | None
) -> bool:
    """Count an entry that replaces another; return False if there is no room for it."""
    change = measure_entry(name, new) - measure_entry(name, old)
    if change > 0 and session.held + change > state.session_limit:
        return False
    session.held += change
    return True
