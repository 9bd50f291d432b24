"""Separates a statement's code from its literals, quoted names and comments."""

import re

BLANKS = " \t\n\v\f\r"
"""What MySQL takes as blanks; to it, any other such character is part of a name."""

_LITERAL_OR_COMMENT = re.compile(
    r"""
      '(?:[^'\\]|\\(?:.|\Z)|'')*+(?:'|\Z)
    | "(?:[^"\\]|\\(?:.|\Z)|"")*+(?:"|\Z)
    | `(?:[^`]|``)*+(?:`|\Z)
    | /\*.*?(?:\*/|\Z)
    | \#[^\n]*+
    | --(?=[\s\x00-\x20]|\Z)[^\n]*+
    """,
    re.VERBOSE | re.DOTALL | re.ASCII,
)
_QUOTES = "'\"`"
_DELIMITERS = ("'", '"', "`", "/*", "#", "--")


def split_code(sql: str) -> tuple[str, list[str]]:
    """Return the code and the comments of a statement.

    In the code, a literal or quoted name is replaced by its two quotes and a
    comment by a space.

    >>> split_code("SELECT 'a;b' /* x */ FROM `for`")
    ("SELECT ''   FROM ``", ['/* x */'])
    """
    comments: list[str] = []
    for delimiter in _DELIMITERS:
        if delimiter in sql:
            break
    else:
        return sql, comments

    def replace(match: re.Match[str]) -> str:
        text = match[0]
        if text[0] in _QUOTES:
            return text[0] * 2
        comments.append(text)
        return " "

    return _LITERAL_OR_COMMENT.sub(replace, sql), comments


def strip_comments(sql: str) -> str:
    """Return the statement with each comment replaced by a space.

    >>> strip_comments("USE /* the */ `a b`;")
    'USE   `a b`;'
    """

    def replace(match: re.Match[str]) -> str:
        return match[0] if match[0][0] in _QUOTES else " "

    return _LITERAL_OR_COMMENT.sub(replace, sql)
