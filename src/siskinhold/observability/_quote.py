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
