"""Classifies statements by their leading keywords.

Only the keywords listed here are accepted. An unknown statement is refused
because state that it leaves on a shared backend connection would leak to
another session.
"""

import re
from collections.abc import Mapping

from result import Err, Ok, Result

from ..model import StatementKind
from ._local import match_local
from ._marks import parse_marks
from ._text import split_code, strip_comments
from ._types import Classified, Fault, Forwarded, StatementError

# The patterns match code in upper case. re.ASCII limits whitespace to what MySQL
# treats as such; to MySQL, any other whitespace character is part of a name.
_FIRST_KEYWORD = re.compile(r"[\s(;]*([A-Z]+)", re.ASCII)
_WORDS = re.compile(r"[A-Z_]+")
_SECOND_STATEMENT = re.compile(r";[\s;]*[^\s;]", re.ASCII)
_USER_VARIABLE = re.compile(r"(?<!@)@(?!@)")
_WRITE_CLAUSE = re.compile(
    r"FOR\s+(?:UPDATE|SHARE)\b|LOCK\s+IN\s+SHARE\s+MODE\b"
    r"|INTO\s+(?:OUTFILE|DUMPFILE)\b|LAST_INSERT_ID\s*\(\s*[^\s)]",
    re.ASCII,
)
_LOCK_FUNCTION = re.compile(
    r"(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_FREE_LOCK|IS_USED_LOCK)\s*\(",
    re.ASCII,
)
# These read the result of the previous statement on the same connection. A session
# keeps its connection only while a transaction is open.
_LAST_RESULT = re.compile(
    r"(?:LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS)\s*\(\s*\)"
    r"|@@(?:\w+\s*\.\s*)?(?:IDENTITY|LAST_INSERT_ID|WARNING_COUNT|ERROR_COUNT)\b"
    r"|SHOW\s+(?:COUNT|WARNINGS|ERRORS)\b",
    re.ASCII,
)
# MySQL also accepts a function name in backquotes, which `split_code` leaves out.
_QUOTED_FUNCTION = re.compile(
    r"`(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_FREE_LOCK|IS_USED_LOCK"
    r"|LAST_INSERT_ID|ROW_COUNT|FOUND_ROWS)`\s*\(",
    re.ASCII,
)
_CHANGE_KEYWORD = re.compile(r"\b(?:UPDATE|DELETE|INSERT)\b", re.ASCII)
_ROLLBACK_TO_SAVEPOINT = re.compile(r"[\s;]*ROLLBACK\s+(?:WORK\s+)?TO\b", re.ASCII)
_CHAIN_OR_RELEASE = re.compile(r"(?<!NO\s)\b(?:CHAIN|RELEASE)\b", re.ASCII)
# Searching for a plain word is far faster than for one of the patterns above, so
# those run only on code that contains one of these words.
_WRITE_CLAUSE_WORDS = ("UPDATE", "SHARE", "FILE", "LAST_INSERT_ID")
_LAST_RESULT_WORDS = ("_ID", "ROW_COUNT", "FOUND_ROWS", "@@", "SHOW")
_FUNCTION_WORDS = ("_LOCK", "_ID", "ROW_COUNT", "FOUND_ROWS")

_EXECUTABLE_COMMENTS = ("/*!", "/*M!")
_READ_KEYWORDS = {
    "SELECT",
    "SHOW",
    "DESCRIBE",
    "DESC",
    "EXPLAIN",
    "WITH",
    "TABLE",
    "VALUES",
}
_WRITE_KEYWORDS = {"INSERT", "UPDATE", "DELETE", "REPLACE", "CALL", "DO"}
_IMPLICIT_COMMIT_KEYWORDS = {
    "ALTER",
    "ANALYZE",
    "CHECK",
    "CREATE",
    "DROP",
    "GRANT",
    "OPTIMIZE",
    "RENAME",
    "REPAIR",
    "REVOKE",
    "TRUNCATE",
}


def classify(
    sql: str,
    attributes: Mapping[str, object] | None = None,
    *,
    in_transaction: bool = False,
) -> Result[Classified, StatementError]:
    """Return the classified statement, or why it is refused. Never raises.

    Args:
        sql: the statement's text.
        attributes: its MySQL query attributes.
        in_transaction: whether the session has an open transaction, and
            therefore a backend connection that no other session uses.
    """
    code, comments = split_code(sql)
    code = code.upper()
    for comment in comments:
        if comment.startswith(_EXECUTABLE_COMMENTS):
            return _refuse("executable comments")
    first = _FIRST_KEYWORD.match(code)
    if first is None:
        return _refuse_without_keyword(code)
    marks = parse_marks(comments, attributes)
    if isinstance(marks, Err):
        return marks
    for comment in comments:
        if _is_unterminated(comment):
            return _refuse("an unterminated comment")
    if ";" in code and _SECOND_STATEMENT.search(code, first.start(1)):
        return _refuse("more than one statement")
    keyword = first[1]
    local = match_local(keyword, code, sql)
    if local is not None:
        return Ok(local)
    if "`" in code and _contains_any(sql.upper(), _FUNCTION_WORDS):
        if _QUOTED_FUNCTION.search(strip_comments(sql).upper()):
            return _refuse("quoted function names")
    kind = _find_kind(keyword, code, in_transaction)
    if isinstance(kind, str):
        return _refuse(kind)
    commits = keyword in _IMPLICIT_COMMIT_KEYWORDS or kind is StatementKind.BEGIN
    return Ok(Forwarded(kind=kind, marks=marks.ok_value, commits=commits))


def _find_kind(keyword: str, code: str, in_transaction: bool) -> StatementKind | str:
    """Return the kind, or a description of what is not supported."""
    if "@" in code and _USER_VARIABLE.search(code):
        return "user variables"
    if "_LOCK" in code and _LOCK_FUNCTION.search(code):
        return "lock functions"
    if not in_transaction and _contains_any(code, _LAST_RESULT_WORDS):
        if _LAST_RESULT.search(code):
            return "the result of an earlier statement outside a transaction"
    if keyword in _READ_KEYWORDS:
        return _find_read_kind(keyword, code)
    if keyword in _WRITE_KEYWORDS:
        return StatementKind.WRITE
    if keyword in _IMPLICIT_COMMIT_KEYWORDS:
        if "TEMPORARY" in _find_leading_words(code)[:4]:
            return "temporary tables"
        return StatementKind.WRITE
    return _find_transaction_kind(keyword, code, in_transaction)


def _find_read_kind(keyword: str, code: str) -> StatementKind:
    """Return the kind of a statement that begins with a read keyword.

    It is a write if it locks rows, changes data, writes a file or sets the insert ID.
    """
    if _contains_any(code, _WRITE_CLAUSE_WORDS) and _WRITE_CLAUSE.search(code):
        return StatementKind.WRITE
    if keyword == "SELECT" or keyword == "SHOW":
        return StatementKind.READ
    if keyword == "WITH" and _CHANGE_KEYWORD.search(code):
        return StatementKind.WRITE
    if keyword in ("EXPLAIN", "DESC", "DESCRIBE"):
        words = _find_leading_words(code)
        if "ANALYZE" in words[:2] and _CHANGE_KEYWORD.search(code):
            return StatementKind.WRITE
    return StatementKind.READ


def _find_transaction_kind(
    keyword: str, code: str, in_transaction: bool
) -> StatementKind | str:
    """Return the kind of a statement that controls transactions.

    For any other statement, return a description of what is not supported. Savepoints
    count as writes.
    """
    if keyword == "BEGIN":
        return StatementKind.BEGIN
    if keyword == "START" and _find_leading_words(code)[1:2] == ["TRANSACTION"]:
        return StatementKind.BEGIN
    if (
        keyword == "SAVEPOINT"
        or keyword == "RELEASE"
        or _ROLLBACK_TO_SAVEPOINT.match(code)
    ):
        if in_transaction:
            return StatementKind.WRITE
        return "savepoints outside a transaction"
    if keyword in ("COMMIT", "ROLLBACK"):
        if _CHAIN_OR_RELEASE.search(code):
            return f"{keyword} AND CHAIN or RELEASE"
        return StatementKind[keyword]
    return f"{keyword[:32]} statements of this form"


def _find_leading_words(code: str) -> list[str]:
    """Return the words in the first 200 characters of the code."""
    return _WORDS.findall(code, 0, 200)


def _contains_any(text: str, words: tuple[str, ...]) -> bool:
    for word in words:
        if word in text:
            return True
    return False


def _is_unterminated(comment: str) -> bool:
    """Return whether a block comment lacks its end."""
    if not comment.startswith("/*"):
        return False
    return len(comment) < 4 or not comment.endswith("*/")


def _refuse_without_keyword(code: str) -> Err[StatementError]:
    """Refuse a statement that is empty or has no leading keyword."""
    if code.strip(" \t\r\n;"):
        return _refuse("a statement without a leading keyword")
    return Err(StatementError(fault=Fault.EMPTY, detail="the statement is empty"))


def _refuse(what: str) -> Err[StatementError]:
    """Return the error for something that is not supported."""
    return Err(StatementError(fault=Fault.UNSUPPORTED, detail=f"{what}: not supported"))
