"""Limits an unexpected error to the connection whose event brought it about."""

from ._effects import CloseCaller, Log
from ._events import BackendAnswered, BackendOpened, CallerOpened, CallerStatement
from ._losses import handle_connection_loss
from ._state import DirectState, Effects
from .pools import close_connection

CALLER_EVENTS = (CallerOpened, CallerStatement)
"""Events after whose failure the caller's connection is closed."""

BACKEND_EVENTS = (BackendOpened, BackendAnswered)
"""Events after whose failure the connection to the server is closed."""


def contain_failure(state: DirectState, event, error: Exception, out: Effects) -> None:
    """Log an error of a handler, and close the connection that its event came from.

    The effects so far are carried out: the state already reflects them. A closed
    connection promises its caller nothing, so no answer is wrong.
    """
    out.append(
        Log(
            event="event_failed",
            fields=(
                ("kind", type(event).__name__),
                ("session", getattr(event, "session", 0)),
                ("connection", getattr(event, "connection", 0)),
                ("error", repr(error)),
                ("place", _find_place(error)),
            ),
            essential=True,
        )
    )
    if isinstance(event, CALLER_EVENTS):
        out.append(CloseCaller(session=event.session, unanswered=True))
        return
    if not isinstance(event, BACKEND_EVENTS):
        return
    connection = state.connections.get(event.connection)
    if connection is None:
        return
    close_connection(state, connection, out, "event_failed")
    handle_connection_loss(state, connection, out)


def _find_place(error: Exception) -> str:
    """Return the file and line that raised an error."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return "-"
    name = trace.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{name}:{trace.tb_lineno}"
