"""Quoting of values in `key=value` log lines."""

import json
import logging

MAX_ARGUMENT_BYTES = 512
"""Bytes of a text that an event's log record takes as an argument."""


def quote(value: object) -> str:
    """Return the text of a value for a `key=value` pair.

    The text is quoted as a JSON string if it is empty or contains a space, a double
    quote, an equals sign or a non-printable character.

    >>> quote(3), quote("a b")
    ('3', '"a b"')
    """
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    return json.dumps(text)


def quote_start(value: object, limit: int) -> str:
    """Return the quoted text of a value in at most about `limit` bytes.

    Only the start of a longer text is returned, and a pair with its length follows.

    >>> quote_start("abcd", 4), quote_start("abcde", 4)
    ('abcd', 'abcd clipped=5')
    """
    text = str(value)
    start = text[:limit]
    quoted = quote(start)
    while len(quoted.encode()) > limit and len(start) > 1:
        start = start[: len(start) * 3 // 4]
        quoted = quote(start)
    return quoted if len(start) == len(text) else f"{quoted} clipped={len(text)}"


def format_event(record: logging.LogRecord) -> str | None:
    """Return the pairs of a log record of an event; None for any other record.

    The format of an event begins with `event=`. Its arguments are quoted, except
    numbers.
    """
    if not isinstance(record.msg, str) or not record.msg.startswith("event="):
        return None
    if not isinstance(record.args, tuple):
        return record.getMessage()
    arguments = []
    for value in record.args:
        arguments.append(value if isinstance(value, (int, float)) else _Quoted(value))
    return record.msg % tuple(arguments)


class _Quoted:
    """An argument of a format, quoted for both `%s` and `%r`."""

    __slots__ = ("_value",)

    def __init__(self, value: object) -> None:
        self._value = value

    def __str__(self) -> str:
        return quote_start(self._value, MAX_ARGUMENT_BYTES)

    def __repr__(self) -> str:
        text = self._value if isinstance(self._value, str) else repr(self._value)
        return quote_start(text, MAX_ARGUMENT_BYTES)
