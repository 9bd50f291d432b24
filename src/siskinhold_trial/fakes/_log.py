"""A fake server's replicated log, and records of promotions and executions."""

from dataclasses import dataclass, field

from siskinhold.model import Position, RequestId

Change = tuple[str, str, str]
"""Form (set, append, log or key), row or idempotency key, and value."""


@dataclass(slots=True, kw_only=True, eq=False)
class Entry:
    """A committed transaction in a log."""

    term: int
    offset: int
    changes: tuple[Change, ...]


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A server became primary of a term; its log ended at `offset`."""

    at: float
    server: str
    term: int
    offset: int


@dataclass(slots=True, kw_only=True, eq=False)
class Execution:
    """A statement that reached a server.

    Args:
        arrived_at: time when it reached the server.
        ran_at: time when it ran, None if it has not.
        tag: the text of its comment `/* id=... */`, empty without one.
        key: its idempotency key, empty for none.
        transaction: number of the server's open transaction, 0 for none.
        committed_at: time when its transaction committed on that server; None
            for a read, a transaction without changes or one rolled back.
        position: log position of the commit.
    """

    arrived_at: float
    server: str
    connection: int
    request: RequestId
    form: str
    tag: str
    key: str
    ran_at: float | None = None
    transaction: int = 0
    committed_at: float | None = None
    position: Position | None = None


@dataclass(slots=True, kw_only=True)
class Log:
    """A log and the state that results from applying its entries.

    Args:
        rows: the values of the table `kv` by key.
        inserted: the values inserted into the table `log`, in order.
        keys: idempotency keys of committed statements.
    """

    entries: list[Entry] = field(default_factory=list)
    rows: dict[str, str] = field(default_factory=dict)
    inserted: list[str] = field(default_factory=list)
    keys: set[str] = field(default_factory=set)

    @property
    def position(self) -> Position:
        """The position of the last entry; offset 0 of term 1 for an empty log."""
        if not self.entries:
            return Position(1, 0)
        last = self.entries[-1]
        return Position(last.term, last.offset)

    def append(self, entry: Entry) -> None:
        """Append an entry and apply its changes."""
        self.entries.append(entry)
        for form, row, value in entry.changes:
            if form == "key":
                self.keys.add(row)
            elif form == "log":
                self.inserted.append(value)
            else:
                self.rows[row] = apply_change(self.rows.get(row), form, value)

    def cut(self, length: int) -> None:
        """Truncate the log to its first `length` entries and rebuild the state."""
        kept = self.entries[:length]
        self.entries, self.rows, self.inserted, self.keys = [], {}, [], set()
        for entry in kept:
            self.append(entry)

    def count_common_entries(self, other: "Log") -> int:
        """Return the length of the longest common prefix of two logs."""
        length = min(len(self.entries), len(other.entries))
        while length and self.entries[length - 1] is not other.entries[length - 1]:
            length -= 1
        return length


def apply_change(old: str | None, form: str, value: str) -> str:
    """Return a row's value after a change.

    >>> apply_change("a", "append", "b"), apply_change(None, "append", "b")
    ('a,b', 'b')
    """
    if form == "append" and old:
        return f"{old},{value}"
    return value
