"""Lines between a VM that relays a caller and the connection holder.

Before the caller's first line, the VM sends `RELAY`, the newest version of the
configuration that it has seen, and 1 if it will ask no other holder, else 0. Before its
answer to that line, the holder sends `VERSION` and its own version.
"""

from ..counts import parse_count
from ..direct import RelayTerms

_TERMS = b"RELAY"
_VERSION = b"VERSION"


def encode_terms(terms: RelayTerms) -> bytes:
    """Return the line that states the terms, without its end."""
    return b"%s %d %d" % (_TERMS, terms.version, terms.last)


def parse_terms(line: bytes) -> RelayTerms | None:
    """Return the terms in a line, None if it states none."""
    numbers = _parse_numbers(line, _TERMS)
    if numbers is None or len(numbers) != 2:
        return None
    return RelayTerms(version=numbers[0], last=bool(numbers[1]))


def encode_version(version: int) -> bytes:
    """Return the line that states a holder's version, without its end."""
    return b"%s %d" % (_VERSION, version)


def parse_version(line: bytes) -> int | None:
    """Return the version in a line, None if it states none."""
    numbers = _parse_numbers(line, _VERSION)
    return numbers[0] if numbers is not None and len(numbers) == 1 else None


def _parse_numbers(line: bytes, word: bytes) -> list[int] | None:
    """Return the numbers that follow a word, None if the line is another one."""
    first, *fields = line.split(b" ")
    if first != word or not line.isascii():
        return None
    numbers = [parse_count(field.decode()) for field in fields]
    return None if None in numbers else numbers
