"""States of a connection to a backend server, and how they follow from each other."""

import enum


class ConnectionState(enum.Enum):
    """Where a connection is in its life.

    Attributes:
        OPENING: the server has not accepted it yet.
        FREE: it has no transaction and awaits no answer.
        PREPARING: session values, a prepared statement or a `BEGIN` were sent for a
            caller's statement.
        IN_USE: it runs a statement, or a caller's transaction is open on it.
        CLEANING: a transaction is being rolled back on it, or what the server keeps
            for it is being released.
        CLOSED: it has ended.
    """

    OPENING = "opening"
    FREE = "free"
    PREPARING = "preparing"
    IN_USE = "in_use"
    CLEANING = "cleaning"
    CLOSED = "closed"


class IllegalTransition(Exception):
    """A state does not follow from the one before."""


_FOLLOWING = {
    ConnectionState.OPENING: (ConnectionState.FREE,),
    ConnectionState.FREE: (
        ConnectionState.PREPARING,
        ConnectionState.IN_USE,
        ConnectionState.CLEANING,
    ),
    ConnectionState.PREPARING: (
        ConnectionState.FREE,
        ConnectionState.IN_USE,
        ConnectionState.CLEANING,
    ),
    ConnectionState.IN_USE: (
        ConnectionState.FREE,
        ConnectionState.PREPARING,
        ConnectionState.CLEANING,
    ),
    ConnectionState.CLEANING: (ConnectionState.FREE,),
    ConnectionState.CLOSED: (),
}
"""The states that may follow each one, beside itself and `CLOSED`."""


def check_transition(
    before: ConnectionState, after: ConnectionState, *, control: bool
) -> None:
    """Check that a connection may enter a state.

    Args:
        control: whether it is a control connection, which is also used while a
            rollback on it is not confirmed: only the proxy's own commands are sent.

    Raises:
        IllegalTransition: if it may not.
    """
    if before is ConnectionState.CLOSED:
        raise IllegalTransition(f"{before.value} to {after.value}")
    if after is before or after is ConnectionState.CLOSED:
        return
    if after in _FOLLOWING[before]:
        return
    if control and before is ConnectionState.CLEANING:
        if after is ConnectionState.IN_USE:
            return
    raise IllegalTransition(f"{before.value} to {after.value}")
