"""A fake backend server's replicated log, and the records of what happened."""

from dataclasses import dataclass, field

from siskinhold.model import Position, RequestId

Change = tuple[str, str, str]
"""A form (set, append, log or key), the row concerned and the value."""


@dataclass(slots=True, kw_only=True, eq=False)
class Entry:
    """One committed transaction in a log."""

    term: int
    offset: int
    changes: tuple[Change, ...]


@dataclass(slots=True, kw_only=True)
class Promotion:
    """A server became primary of a term, at the end of the log it had."""

    at: float
    server: str
    term: int
    offset: int


@dataclass(slots=True, kw_only=True, eq=False)
class Execution:
    """A statement that reached a server.

    Args:
        arrived_at: when it reached the server.
        ran_at: when it took effect, None if it has not.
        tag: the text of its comment `/* id=... */`.
        key: its idempotency key, empty for none.
        transaction: number of the server's open transaction, 0 for none.
        committed_at: when its changes became permanent on that server; None
            for a read, a statement without effect or one rolled back.
        position: of the commit.
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
    """Entries and the state that they add up to.

    Args:
        rows: the register map.
        inserted: the values inserted into the table `log`, in order.
        keys: idempotency keys of committed statements.
    """

    entries: list[Entry] = field(default_factory=list)
    rows: dict[str, str] = field(default_factory=dict)
    inserted: list[str] = field(default_factory=list)
    keys: set[str] = field(default_factory=set)

    @property
    def position(self) -> Position:
        """The end of the log; an empty log ends at offset 0 of term 1."""
        if not self.entries:
            return Position(1, 0)
        last = self.entries[-1]
        return Position(last.term, last.offset)

    def append(self, entry: Entry) -> None:
        """Add an entry and apply it."""
        self.entries.append(entry)
        for form, row, value in entry.changes:
            if form == "key":
                self.keys.add(row)
            elif form == "log":
                self.inserted.append(value)
            else:
                self.rows[row] = apply_change(self.rows.get(row), form, value)

    def cut(self, length: int) -> None:
        """Drop all entries after the first `length`."""
        kept = self.entries[:length]
        self.entries, self.rows, self.inserted, self.keys = [], {}, [], set()
        for entry in kept:
            self.append(entry)

    def count_common_entries(self, other: "Log") -> int:
        """Return how many first entries two logs share."""
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
