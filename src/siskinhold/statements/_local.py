"""Recognizes local statements: those that the entry VM answers itself.

The entry VM is the one that the caller is connected to.

A pattern must match the whole statement. A statement that contains more than a
local one is left to the general rules, which refuse changes of session state.
"""

import re

from ._text import BLANKS, strip_comments
from ._types import (
    AcceptSetting,
    Classified,
    PresentToken,
    ReadValues,
    SetAutocommit,
    SetCharset,
    ShowWarnings,
    UseDatabase,
)

_FLAGS = re.IGNORECASE | re.DOTALL | re.ASCII
_SCOPE = r"(?:SESSION\s+|LOCAL\s+|@@SESSION\s*\.\s*|@@LOCAL\s*\.\s*|@@)?"
_USE = re.compile(r"USE\s*(?:`((?:[^`]|``)+)`|([\w$\x80-\U0010ffff-]+))\Z", _FLAGS)
_TOKEN = re.compile(
    r"SET\s+@`?siskinhold_token`?\s*:?=\s*(?:'([^'\\]*)'|\"([^\"\\]*)\")\Z", _FLAGS
)
_AUTOCOMMIT = re.compile(
    rf"SET\s+{_SCOPE}AUTOCOMMIT\s*:?=\s*(?:'?(1|ON|TRUE)'?|'?(0|OFF|FALSE)'?)\Z", _FLAGS
)
_CHARSET = re.compile(
    r"SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+['\"]?(\w+)['\"]?"
    r"(?:\s+COLLATE\s+['\"]?\w+['\"]?)?\Z",
    _FLAGS,
)
_RESULTS_CHARSET = re.compile(
    rf"SET\s+{_SCOPE}CHARACTER_SET_RESULTS\s*:?=\s*"
    r"['\"]?(?:NULL|utf8mb4|utf8|utf8mb3)['\"]?\Z",
    _FLAGS,
)
_ISOLATION = re.compile(
    r"SET\s+(?:SESSION|LOCAL)\s+TRANSACTION\s+"
    r"(?:ISOLATION\s+LEVEL\s+REPEATABLE\s+READ|READ\s+WRITE)\Z",
    _FLAGS,
)
_SQL_MODE = re.compile(
    rf"SET\s+{_SCOPE}SQL_MODE\s*:?=\s*(?:'([\w,]*)'|\"([\w,]*)\")\Z", _FLAGS
)
# The default modes of a MySQL 8 server. Any other mode would change the meaning
# of statements that other sessions run on the same connection.
_DEFAULT_SQL_MODES = {
    "",
    "ERROR_FOR_DIVISION_BY_ZERO",
    "NO_ENGINE_SUBSTITUTION",
    "NO_ZERO_DATE",
    "NO_ZERO_IN_DATE",
    "ONLY_FULL_GROUP_BY",
    "STRICT_TRANS_TABLES",
}
_SHOW_WARNINGS = re.compile(
    r"SHOW\s+(?:WARNINGS|ERRORS)(?:\s+LIMIT\s+[\d\s,]+)?\Z", _FLAGS
)
# A longer SELECT is never a list of values that the entry VM knows.
_MAX_SELECT_CHARACTERS = 2_000
_MAY_BE_VALUES = re.compile(
    r"[^@(]*(?:@|(?:DATABASE|SCHEMA|_ID|VERSION|USER)\s*\(\s*\))", re.ASCII
)
_SELECT = re.compile(r"SELECT\s+(.+?)(?:\s+LIMIT\s+1)?\Z", _FLAGS)
_VALUE = re.compile(
    r"(?P<label>@@(?:(?:SESSION|LOCAL|GLOBAL)\s*\.\s*)?(?P<variable>\w+)"
    r"|@`?(?P<token>siskinhold_token)`?"
    r"|(?P<function>DATABASE|SCHEMA|CONNECTION_ID|LAST_INSERT_ID|VERSION"
    r"|USER|CURRENT_USER|SESSION_USER|SYSTEM_USER)\s*\(\s*\))"
    r"(?:\s+(?:AS\s+)?[`'\"]?(?P<alias>\w+)[`'\"]?)?\Z",
    _FLAGS,
)


def match_local(keyword: str, code: str, sql: str) -> Classified | None:
    """Return the local statement, or None if the statement is not local.

    Args:
        keyword: the first keyword in upper case.
        code: the statement in upper case without literals and comments.
        sql: the statement's whole text.
    """
    matcher = _MATCHERS.get(keyword)
    if matcher is None:
        return None
    if keyword == "SELECT":
        if len(code) > _MAX_SELECT_CHARACTERS or not _MAY_BE_VALUES.match(code):
            return None
    text = strip_comments(sql).strip(BLANKS).rstrip(";").rstrip(BLANKS)
    return matcher(text)


def _match_use(text: str) -> Classified | None:
    match = _USE.match(text)
    if match is None:
        return None
    quoted, plain = match.groups()
    return UseDatabase(database=quoted.replace("``", "`") if quoted else plain)


def _match_set(text: str) -> Classified | None:
    """Match the assignments that the entry VM handles."""
    if match := _TOKEN.match(text):
        return PresentToken(token=match[1] if match[1] is not None else match[2])
    if match := _AUTOCOMMIT.match(text):
        return SetAutocommit(enabled=match[1] is not None)
    if match := _CHARSET.match(text):
        return SetCharset(name=match[1].lower())
    if _RESULTS_CHARSET.match(text) or _ISOLATION.match(text):
        return AcceptSetting()
    if match := _SQL_MODE.match(text):
        modes = (match[1] or match[2] or "").upper().split(",")
        return AcceptSetting() if _DEFAULT_SQL_MODES.issuperset(modes) else None
    return None


def _match_show(text: str) -> Classified | None:
    return ShowWarnings() if _SHOW_WARNINGS.match(text) else None


def _match_select(text: str) -> Classified | None:
    """Match a SELECT in which every column is a value that the entry VM knows."""
    match = _SELECT.match(text)
    if match is None:
        return None
    columns = []
    for item in match[1].split(","):
        value = _VALUE.match(item.strip(BLANKS))
        if value is None:
            return None
        columns.append((value["alias"] or value["label"], _get_expression(value)))
    return ReadValues(columns=tuple(columns))


def _get_expression(match: re.Match[str]) -> str:
    """Return the expression of a matched value in the form that `ReadValues` has."""
    if match["variable"]:
        return f"@@{match['variable'].lower()}"
    if match["token"]:
        return "@siskinhold_token"
    return f"{match['function'].lower()}()"


_MATCHERS = {
    "SELECT": _match_select,
    "SET": _match_set,
    "SHOW": _match_show,
    "USE": _match_use,
}
