"""Parses execution hints (`Marks`) from hint comments and MySQL query attributes.

A malformed hint is an error and never ignored: without its `once`, a write such
as an order could be repeated by a retry.
"""

import re
from collections.abc import Mapping

from result import Err, Ok, Result

from ..model import Marks
from ._text import BLANKS
from ._types import Fault, StatementError

# Largest accepted values of max_age_ms and deadline_ms.
MAX_AGE_MS = 3_600_000
MAX_DEADLINE_MS = 600_000

_HINT_NAMES = ("once", "max_age_ms", "deadline_ms")
_HINT = re.compile(
    r"/\*\s*siskinhold\s*:(.*)\*/\Z", re.DOTALL | re.IGNORECASE | re.ASCII
)
_HINT_ATTEMPT = re.compile(r"(?:/\*|#|--)[\s+!]*siskinhold\b", re.IGNORECASE | re.ASCII)
_WORD = re.compile(rf"[^{BLANKS}]+")
_KEY = re.compile(r"[\x21-\x7e]{1,64}\Z")
_DIGITS = re.compile(r"[0-9]{1,9}\Z")


def parse_marks(
    comments: list[str], attributes: Mapping[str, object] | None = None
) -> Result[Marks, StatementError]:
    """Return the execution hints of a statement.

    Args:
        comments: the statement's comments with their delimiters.
        attributes: the statement's query attributes. Those that are not hints
            are ignored, but a name that begins with `siskinhold` is an error.
    """
    found: dict[str, object] = {}
    for comment in comments:
        if not _HINT_ATTEMPT.match(comment):
            continue
        hint = _HINT.match(comment)
        if hint is None:
            return _error(f"can't read malformed hint comment {comment[:80]!r}")
        for word in _WORD.findall(hint[1]):
            name, separator, text = word.partition("=")
            if name not in _HINT_NAMES:
                return _error(f"unknown mark {name[:80]!r}")
            if name in found:
                return _error(f"mark {name} is given twice")
            found[name] = text if separator else True
    if attributes:
        attribute_values = parse_attributes(attributes)
        if isinstance(attribute_values, Err):
            return attribute_values
        for name, value in attribute_values.ok_value.items():
            if name in found:
                return _error(f"mark {name} is given twice")
            found[name] = value
    return _build_marks(found) if found else Ok(_NO_MARKS)


def parse_attributes(
    attributes: Mapping[str, object],
) -> Result[dict[str, object], StatementError]:
    """Return the query attributes that are execution hints, with unparsed values.

    Names are in lower case. NULL, TRUE and '' stand for `once` without a key.
    """
    found: dict[str, object] = {}
    for name, value in attributes.items():
        lowered = name.lower()
        if lowered.startswith("siskinhold"):
            return _error(f"unknown mark {name[:80]!r}")
        if lowered not in _HINT_NAMES:
            continue
        if lowered in found:
            return _error(f"mark {lowered} is given twice")
        if lowered == "once" and (value is None or value is True or value == ""):
            found[lowered] = True
        elif isinstance(value, (str, int)) and not isinstance(value, bool):
            found[lowered] = str(value)
        else:
            return _error(f"mark {lowered} can't be {str(value)[:80]!r}")
    return Ok(found)


def _build_marks(found: dict[str, object]) -> Result[Marks, StatementError]:
    """Return the parsed hints, or the error of one whose value is not allowed."""
    once = found.get("once")
    key = ""
    if once is not None and once is not True:
        key = str(once)
        if not _KEY.match(key):
            return _error("the key of once must be 1 to 64 printable ASCII characters")
    max_age = _read_ms(found, "max_age_ms", 0, MAX_AGE_MS)
    if isinstance(max_age, Err):
        return max_age
    deadline = _read_ms(found, "deadline_ms", 1, MAX_DEADLINE_MS)
    if isinstance(deadline, Err):
        return deadline
    return Ok(
        Marks(
            once=once is not None,
            key=key,
            max_age_ms=max_age.ok_value,
            deadline_ms=deadline.ok_value,
        )
    )


def _read_ms(
    found: dict[str, object], name: str, low: int, high: int
) -> Result[int | None, StatementError]:
    """Return the milliseconds of a hint; None if it is not given."""
    value = found.get(name)
    if value is None:
        return Ok(None)
    if isinstance(value, str) and _DIGITS.match(value):
        number = int(value)
        if low <= number <= high:
            return Ok(number)
    return _error(f"{name} must be an integer from {low} to {high}")


def _error(detail: str) -> Err[StatementError]:
    return Err(StatementError(fault=Fault.MARK_INVALID, detail=detail))


_NO_MARKS = Marks()
