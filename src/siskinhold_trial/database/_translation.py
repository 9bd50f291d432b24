"""Translation of MySQL statements to sqlite's dialect."""

import enum
import functools
import re
from dataclasses import dataclass


class StatementKind(enum.Enum):
    """Kind of a statement; it selects the session's handler."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SETTING = "setting"
    CONTROL = "control"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, kw_only=True, frozen=True)
class TranslatedStatement:
    """A statement translated to sqlite's dialect.

    Args:
        kind: the kind of statement.
        sql: the translated text; `NOW_PLACEHOLDER` stands for the current time.
        sleep: seconds that its `SLEEP` calls take.
        locks: whether it has a locking clause such as `FOR UPDATE`.
    """

    kind: StatementKind
    sql: str
    sleep: float = 0.0
    locks: bool = False


NOW_PLACEHOLDER = "\x00now\x00"

_TOKENS = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`[^`]*`"""
    r"""|/\*.*?\*/|--[ \t][^\n]*|[^'"`/-]+|.""",
    re.S,
)
_LEADING_COMMENTS = re.compile(r"^(?:\s+|/\*.*?\*/|--[ \t][^\n]*\n?)+", re.S)
_FIRST_KEYWORD = re.compile(r"^\(*\s*([A-Za-z]+)")
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "Z": "\x1a", "b": "\b"}
_ESCAPE = re.compile(r"\\(.)", re.S)
_SLEEP = re.compile(r"\bSLEEP\s*\(\s*([0-9.]+)\s*\)", re.I)
_NOW = re.compile(r"\b(?:NOW|CURRENT_TIMESTAMP|SYSDATE)\s*\(\s*\d*\s*\)", re.I)
_LOCKING_CLAUSE = re.compile(
    r"\s+(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)\s*;?\s*$", re.I
)
_INSERT_IGNORE = re.compile(r"\bINSERT\s+IGNORE\b", re.I)
_ON_DUPLICATE_KEY = re.compile(r"\bON\s+DUPLICATE\s+KEY\s+UPDATE\b", re.I)
_VALUES_OF = re.compile(r"\bVALUES\s*\(\s*(\w+)\s*\)", re.I)
_TRUNCATE = re.compile(r"\bTRUNCATE\s+(?:TABLE\s+)?", re.I)
_AUTO_INCREMENT_COLUMN = re.compile(
    r"\b\w*INT(?:EGER)?(?:\s*\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?"
    r"\s+AUTO_INCREMENT(?:\s+NOT\s+NULL)?(?:\s+PRIMARY\s+KEY)?",
    re.I,
)
_KEY_CLAUSE = re.compile(r",\s*PRIMARY\s+KEY\s*\([^)]*\)", re.I)
_TABLE_OPTIONS = re.compile(r"\)[^()]*$", re.S)

_KINDS = {
    "SELECT": StatementKind.READ,
    "WITH": StatementKind.READ,
    "VALUES": StatementKind.READ,
    "EXPLAIN": StatementKind.READ,
    "INSERT": StatementKind.WRITE,
    "UPDATE": StatementKind.WRITE,
    "DELETE": StatementKind.WRITE,
    "REPLACE": StatementKind.WRITE,
    "CREATE": StatementKind.WRITE,
    "DROP": StatementKind.WRITE,
    "ALTER": StatementKind.WRITE,
    "TRUNCATE": StatementKind.WRITE,
    "BEGIN": StatementKind.BEGIN,
    "START": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "SET": StatementKind.SETTING,
    "USE": StatementKind.SETTING,
    "SHOW": StatementKind.CONTROL,
    "GROUP": StatementKind.CONTROL,
}


@functools.lru_cache(maxsize=4096)
def translate(sql: str) -> TranslatedStatement:
    """Translate a statement to sqlite's dialect.

    >>> translate("INSERT IGNORE INTO `t` VALUES (1)").sql
    'INSERT OR IGNORE INTO "t" VALUES (1)'
    >>> translate("SELECT SLEEP(0.5)").sleep
    0.5
    """
    body = _LEADING_COMMENTS.sub("", sql)
    keyword = _FIRST_KEYWORD.match(body)
    kind = _KINDS.get(
        keyword.group(1).upper() if keyword else "", StatementKind.UNSUPPORTED
    )
    if kind not in (StatementKind.READ, StatementKind.WRITE):
        return TranslatedStatement(kind=kind, sql=body.strip().rstrip(";").strip())
    sleeps: list[float] = []
    text = "".join(_convert_token(token, sleeps) for token in _TOKENS.findall(body))
    text, locks = _LOCKING_CLAUSE.subn("", text)
    if keyword.group(1).upper() == "CREATE":
        text = _convert_create(text)
    return TranslatedStatement(
        kind=kind, sql=text, sleep=sum(sleeps), locks=bool(locks)
    )


def _convert_token(token: str, sleeps: list[float]) -> str:
    first = token[0]
    if first == "`":
        return '"' + token[1:-1].replace('"', '""') + '"'
    if first in "'\"" and len(token) > 1:
        return _convert_string(token)
    if token.startswith("/*") or token.startswith("--"):
        return " "
    for seconds in _SLEEP.findall(token):
        sleeps.append(float(seconds))
    text = _SLEEP.sub("0", token)
    text = _NOW.sub(f"'{NOW_PLACEHOLDER}'", text)
    text = _INSERT_IGNORE.sub("INSERT OR IGNORE", text)
    if _ON_DUPLICATE_KEY.search(text):
        text = _ON_DUPLICATE_KEY.sub("ON CONFLICT DO UPDATE SET", text)
        text = _VALUES_OF.sub(r"excluded.\1", text)
    return _TRUNCATE.sub("DELETE FROM ", text)


def _convert_string(token: str) -> str:
    quote = token[0]
    text = token[1:-1].replace(quote * 2, quote)
    text = _ESCAPE.sub(lambda found: _ESCAPES.get(found[1], found[1]), text)
    return "'" + text.replace("'", "''") + "'"


def _convert_create(text: str) -> str:
    text, automatic = _AUTO_INCREMENT_COLUMN.subn(
        "INTEGER PRIMARY KEY AUTOINCREMENT", text
    )
    if automatic:
        text = _KEY_CLAUSE.sub("", text)
    if re.match(r"CREATE\s+(?:TEMPORARY\s+)?TABLE\b", text, re.I):
        text = _TABLE_OPTIONS.sub(")", text)
    return text
