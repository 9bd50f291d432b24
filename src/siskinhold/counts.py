"""Whole numbers in the text of messages."""

__all__ = ["parse_count"]

MAX_DIGITS = 18
"""Digits of the largest number that is accepted: more exceed 64 bits."""


def parse_count(text: str) -> int | None:
    """Return a whole number of at least 0 in ASCII digits, None for any other text."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
