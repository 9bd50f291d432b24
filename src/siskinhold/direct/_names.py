"""Lists of VMs' names in one text."""

import re
from collections.abc import Iterable
from urllib.parse import unquote

_NOT_IN_NAMES = re.compile("[%,\r\n]")
"""Characters that are encoded in a name."""


def join_names(names: Iterable[str]) -> str:
    """Return names that are not empty as one text without line ends."""
    return ",".join(_NOT_IN_NAMES.sub(_encode, name) for name in names)


def split_names(text: str) -> tuple[str, ...]:
    """Return the names in a text that `join_names` made."""
    return tuple(unquote(name) for name in text.split(",") if name)


def _encode(found: re.Match) -> str:
    return f"%{ord(found[0]):02X}"
