"""The shape of a statement: a hash of its text without literals."""

import functools
import re

import xxhash

# Together, these limit the cache to about 8 MB of text; the shape of a longer
# statement is computed each time.
_MAX_CACHED_CHARACTERS = 2_048
_MAX_CACHED_STATEMENTS = 4_096

_LITERAL = re.compile(
    r"""
      (?P<text>'(?:[^'\\]|\\(?:.|\Z)|'')*+(?:'|\Z)
    | "(?:[^"\\]|\\(?:.|\Z)|"")*+(?:"|\Z))
    | (?P<name>`(?:[^`]|``)*+(?:`|\Z))
    | (?P<comment>/\*.*?(?:\*/|\Z)
    | \#[^\n]*+
    | --(?=[\s\x00-\x20]|\Z)[^\n]*+)
    | (?P<number>(?<![\w$])(?:0[xX][0-9a-fA-F]++|\d++(?:\.\d*+)?(?:[eE][-+]?\d++)?))
    """,
    re.VERBOSE | re.DOTALL | re.ASCII,
)
_LITERAL_LIST = re.compile(r"\?(?:\s*,\s*\?)++")
_LITERAL_ROWS = re.compile(r"\(\s*\?\s*\)(?:\s*,\s*\(\s*\?\s*\))++")
_SPACE = re.compile(r"\s++")


def shape(sql: str) -> int:
    """Return a 64-bit hash that is equal for texts that differ in literals only.

    Case, comments, the amount of whitespace and the lengths of lists of literals
    don't count either, so that a query has the same shape for any number of keys.

    >>> shape("SELECT a FROM t WHERE b=1") == shape("select a from t where b=22")
    True
    >>> shape("SELECT a FROM t") == shape("SELECT b FROM t")
    False
    """
    if len(sql) > _MAX_CACHED_CHARACTERS:
        return _hash(sql)
    return _cached_hash(sql)


def _hash(sql: str) -> int:
    text = _LITERAL.sub(_replace_literal, sql)
    text = _LITERAL_LIST.sub("?", text)
    text = _LITERAL_ROWS.sub("(?)", text)
    text = _SPACE.sub(" ", text).strip(" ;").lower()
    return xxhash.xxh64_intdigest(text.encode("utf-8", "surrogatepass"))


_cached_hash = functools.lru_cache(maxsize=_MAX_CACHED_STATEMENTS)(_hash)


def _replace_literal(match: re.Match[str]) -> str:
    """Return a name unchanged, a space for a comment, `?` for a literal."""
    if match.lastgroup == "name":
        return match[0]
    return " " if match.lastgroup == "comment" else "?"
