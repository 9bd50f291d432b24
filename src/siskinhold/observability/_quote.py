"""Values of key=value pairs in log lines."""

import json


def quote(value: object) -> str:
    """Return a value as text that stands for one value on a line.

    It is quoted as in JSON if it is empty or has a space, a quote, an equals sign or
    a character that is not printable.

    >>> quote(3), quote("a b")
    ('3', '"a b"')
    """
    text = str(value)
    if text and text.isprintable() and not any(mark in text for mark in ' "='):
        return text
    return json.dumps(text)
