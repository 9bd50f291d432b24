"""What a server keeps for one connection: session values and prepared statements."""

from collections import OrderedDict

from ._text_size import measure_entry
from ._types import Answer

MAX_STATEMENTS = 128
"""Prepared statements that a server keeps for one connection."""

MAX_KEPT_BYTES = 64 << 10
"""Bytes of statements that a server keeps for a free connection, and of statements and
values together once it was unused for `VALUES_RETENTION`."""

VALUES_RETENTION = 1.0
"""Seconds for which a free connection keeps larger values, as the next statement of the
same session needs them again."""


class ServerSession:
    """Mirrors what the server keeps for a connection until it is reset or closed.

    Statements are prepared under numbers that are never given out again on the
    connection: a text may contain blanks and look like the name of another one.

    Attributes:
        values: session values by name; changed by `set_value` only.
        values_size: bytes of the values.
        statements_size: bytes of the statements.
        rejection: the first refusal by which the server keeps something else than
            recorded, None without one.
    """

    __slots__ = (
        "values",
        "values_size",
        "statements_size",
        "rejection",
        "_names",
        "_numbers_used",
    )

    def __init__(self) -> None:
        self.values: dict[str, str] = {}
        self.values_size = 0
        self.statements_size = 0
        self.rejection: Answer | None = None
        self._names: OrderedDict[tuple[bool, str], str] = OrderedDict()
        self._numbers_used = 0

    @property
    def size(self) -> int:
        """Bytes of the values and statements."""
        return self.values_size + self.statements_size

    @property
    def statement_count(self) -> int:
        """Number of prepared statements."""
        return len(self._names)

    def set_value(self, name: str, value: str) -> None:
        """Record a session value."""
        self.values_size -= measure_entry(name, self.values.get(name))
        self.values_size += measure_entry(name, value)
        self.values[name] = value

    def find_statement(self, writes: bool, shape: str) -> str | None:
        """Return the name of a statement and mark it as the last used one, or None."""
        name = self._names.get((writes, shape))
        if name is not None:
            self._names.move_to_end((writes, shape))
        return name

    def add_statement(self, writes: bool, shape: str) -> str:
        """Record a new statement; return its name."""
        self._numbers_used += 1
        name = f"s{self._numbers_used:x}"
        self._names[writes, shape] = name
        self.statements_size += measure_entry(name, shape)
        return name

    def remove_excess(self, *, count: int, size: int) -> list[str]:
        """Remove statements until both limits are met; return their names.

        Those that exceed the size by themselves go first, then the least recently used
        ones.
        """
        removed = []
        for key, name in list(self._names.items()):
            if measure_entry(name, key[1]) > size:
                removed.append(self._remove_statement(key))
        while len(self._names) > count or self.statements_size > size:
            removed.append(self._remove_statement(next(iter(self._names))))
        return removed

    def forget_statement(self, writes: bool, shape: str) -> None:
        """Record that the server refused to prepare a statement."""
        if (writes, shape) in self._names:
            self._remove_statement((writes, shape))

    def reject(self, answer: Answer) -> None:
        """Record a refusal by which the record is wrong until the next reset."""
        if self.rejection is None:
            self.rejection = answer

    def clear(self) -> None:
        """Record that the connection was reset."""
        self.values.clear()
        self._names.clear()
        self.values_size = 0
        self.statements_size = 0
        self.rejection = None

    def _remove_statement(self, key: tuple[bool, str]) -> str:
        name = self._names.pop(key)
        self.statements_size -= measure_entry(name, key[1])
        return name
