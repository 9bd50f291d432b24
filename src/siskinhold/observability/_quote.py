"""Quoting of values in `key=value` log lines."""

import json


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
