"""Control statements of backend servers, and parsing of their results."""

from ..model import Done, Position, Role, ServerStatus

SHOW_STATUS = "SHOW GROUP STATUS"


def build_fence(term: int) -> str:
    """Return the statement that fences a server by raising its term."""
    return f"GROUP FENCE {term}"


def build_promote(term: int) -> str:
    """Return the statement that makes a fenced server primary."""
    return f"GROUP PROMOTE {term}"


def build_follow(term: int, host: str, port: int) -> str:
    r"""Return the statement that makes a server replicate from a primary.

    >>> print(build_follow(2, "::1", 3), build_follow(2, "a' 1\\", 3))
    GROUP FOLLOW 2 '::1' 3 GROUP FOLLOW 2 'a'' 1\\' 3
    """
    # The tool for tickets admits IP addresses only, but a VM reads them from the store.
    text = host.replace("\\", "\\\\").replace("'", "''")
    return f"GROUP FOLLOW {term} '{text}' {port}"


def build_show_activity(connection_id: int) -> str:
    """Return the statement that queries the activity of a connection."""
    return f"SHOW CONNECTION ACTIVITY {connection_id}"


def parse_status(done: Done) -> ServerStatus:
    """Return the server status that a result describes.

    Raises:
        ValueError: if the result is not a single status row.

    >>> from siskinhold.model import Column
    >>> names = ("term", "role", "log_term", "log_offset", "source_silence_ms")
    >>> row = (b"2", b"replica", b"1", b"7", b"30")
    >>> status = parse_status(Done(columns=tuple(map(Column, names)), rows=(row,)))
    >>> status.position
    Position(term=1, offset=7)
    """
    values = _get_single_row(done)
    try:
        return ServerStatus(
            term=int(values["term"]),
            role=Role(values["role"].decode("ascii")),
            position=Position(int(values["log_term"]), int(values["log_offset"])),
            source_silence_ms=int(values["source_silence_ms"]),
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError("the result is not a status row") from error


def parse_activity(done: Done) -> bool:
    """Return whether a connection is executing a statement.

    Returns False if the server has no such connection.

    Raises:
        ValueError: if the result is not a single activity row.
    """
    values = _get_single_row(done)
    try:
        return bool(int(values["known"]) and int(values["executing"]))
    except (KeyError, TypeError) as error:
        raise ValueError("the result is not an activity row") from error


def _get_single_row(done: Done) -> dict[str, bytes | None]:
    """Return the values of the only row by column name.

    Raises:
        ValueError: if there is not exactly one row.
    """
    if len(done.rows) != 1:
        raise ValueError("the result does not have exactly one row")
    names = (column.name for column in done.columns)
    return dict(zip(names, done.rows[0]))
