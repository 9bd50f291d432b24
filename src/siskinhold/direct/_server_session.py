"""What a server keeps for one connection: session values and prepared statements."""


class ServerSession:
    """Mirrors what the server keeps for a connection until it is reset or closed.

    Statements are prepared under numbers that are never given out again on the
    connection: a text may contain blanks and look like the name of another one.

    Attributes:
        values: session values by name.
    """

    __slots__ = ("values", "_names", "_numbers_used")

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self._names: dict[tuple[bool, str], str] = {}
        self._numbers_used = 0

    @property
    def statement_count(self) -> int:
        """Number of prepared statements."""
        return len(self._names)

    def find_statement(self, writes: bool, shape: str) -> str | None:
        """Return the name of a statement, None if it isn't prepared."""
        return self._names.get((writes, shape))

    def add_statement(self, writes: bool, shape: str) -> str:
        """Record a new statement; return its name."""
        self._numbers_used += 1
        name = f"s{self._numbers_used:x}"
        self._names[writes, shape] = name
        return name

    def forget_statements(self) -> None:
        """Record that the server may lack statements; their names stay used."""
        self._names.clear()

    def clear(self) -> None:
        """Record that the connection was reset."""
        self.values.clear()
        self._names.clear()
