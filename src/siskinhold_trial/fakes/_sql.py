"""Parser of the SQL statements that a fake backend server supports."""

import re
from dataclasses import dataclass

_COST = re.compile(r"/\*\s*cost_ms=([\d.]+)\s*\*/")
_TAG = re.compile(r"/\*\s*id=(\S+)\s*\*/")
_COMMENT = re.compile(r"/\*.*?\*/")
_FORMS = (
    (
        "read",
        re.compile(
            r"SELECT v(?:, '(?P<value>[^']*)')? FROM kv WHERE k='(?P<key>[^']*)'"
            r"(?P<lock> FOR UPDATE)?",
            re.I,
        ),
    ),
    (
        "append",
        re.compile(
            r"UPDATE kv SET v=CONCAT\(v, ?',(?P<value>[^']*)'\) "
            r"WHERE k='(?P<key>[^']*)'",
            re.I,
        ),
    ),
    (
        "set",
        re.compile(
            r"UPDATE kv SET v='(?P<value>[^']*)' WHERE k='(?P<key>[^']*)'", re.I
        ),
    ),
    ("log", re.compile(r"INSERT INTO log VALUES ?\('(?P<value>[^']*)'\)", re.I)),
    ("begin", re.compile(r"BEGIN|START TRANSACTION", re.I)),
    ("commit", re.compile(r"COMMIT", re.I)),
    ("rollback", re.compile(r"ROLLBACK", re.I)),
)


@dataclass(slots=True, kw_only=True, frozen=True)
class Parsed:
    """A parsed statement.

    Args:
        form: read, set, append, log, begin, commit, rollback or invalid.
        key: key of the row; empty for none.
        value: the value written, or text that a read returns as second column.
        lock: whether a read locks its row.
        cost: service time in seconds from a comment `/* cost_ms=... */`, None
            without one.
        tag: the text of a comment `/* id=... */`, empty without one.
    """

    form: str
    key: str = ""
    value: str = ""
    lock: bool = False
    cost: float | None = None
    tag: str = ""

    @property
    def is_write(self) -> bool:
        """Whether the statement changes data."""
        return self.form in ("set", "append", "log")


def parse(sql: str) -> Parsed:
    """Parse a statement; an unsupported one has the form invalid.

    >>> parse("UPDATE kv SET v='1' WHERE k='a' /* cost_ms=5 */").cost
    0.005
    """
    cost = _COST.search(sql)
    tag = _TAG.search(sql)
    text = _COMMENT.sub("", sql).strip().rstrip(";").strip()
    form, found = "invalid", {}
    for name, pattern in _FORMS:
        match = pattern.fullmatch(text)
        if match is not None:
            form, found = name, match.groupdict()
            break
    return Parsed(
        form=form,
        key=found.get("key") or "",
        value=found.get("value") or "",
        lock=bool(found.get("lock")),
        cost=float(cost[1]) / 1000 if cost else None,
        tag=tag[1] if tag else "",
    )
