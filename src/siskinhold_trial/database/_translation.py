"""Translation of MySQL statements to sqlite."""

import enum
import functools
import re
from dataclasses import dataclass


class Kind(enum.Enum):
    """What a statement does, as far as the stand-in has to know."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SETTING = "setting"
    CONTROL = "control"
    UNSUPPORTED = "unsupported"


@dataclass(slots=True, kw_only=True, frozen=True)
class Translated:
    """A statement in sqlite's words.

    Args:
        kind: what it does.
        sql: sqlite text; `NOW_MARK` stands for the current time.
        sleep: seconds that its `SLEEP` calls take.
        locks: whether a read asks for a lock.
    """

    kind: Kind
    sql: str
    sleep: float = 0.0
    locks: bool = False


NOW_MARK = "\x00now\x00"

_TOKENS = re.compile(
    r"""'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|`[^`]*`"""
    r"""|/\*.*?\*/|--[ \t][^\n]*|[^'"`/-]+|.""",
    re.S,
)
_LEADING = re.compile(r"^(?:\s+|/\*.*?\*/|--[ \t][^\n]*\n?)+", re.S)
_WORD = re.compile(r"^\(*\s*([A-Za-z]+)")
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "Z": "\x1a", "b": "\b"}
_ESCAPE = re.compile(r"\\(.)", re.S)
_SLEEP = re.compile(r"\bSLEEP\s*\(\s*([0-9.]+)\s*\)", re.I)
_NOW = re.compile(r"\b(?:NOW|CURRENT_TIMESTAMP|SYSDATE)\s*\(\s*\d*\s*\)", re.I)
_LOCK = re.compile(
    r"\s+(?:FOR\s+UPDATE|FOR\s+SHARE|LOCK\s+IN\s+SHARE\s+MODE)\s*;?\s*$", re.I
)
_IGNORE = re.compile(r"\bINSERT\s+IGNORE\b", re.I)
_DUPLICATE = re.compile(r"\bON\s+DUPLICATE\s+KEY\s+UPDATE\b", re.I)
_VALUES_OF = re.compile(r"\bVALUES\s*\(\s*(\w+)\s*\)", re.I)
_TRUNCATE = re.compile(r"\bTRUNCATE\s+(?:TABLE\s+)?", re.I)
_AUTO = re.compile(
    r"\b\w*INT(?:EGER)?(?:\s*\(\d+\))?(?:\s+UNSIGNED)?(?:\s+NOT\s+NULL)?"
    r"\s+AUTO_INCREMENT(?:\s+NOT\s+NULL)?(?:\s+PRIMARY\s+KEY)?",
    re.I,
)
_KEY_CLAUSE = re.compile(r",\s*PRIMARY\s+KEY\s*\([^)]*\)", re.I)
_OPTIONS = re.compile(r"\)[^()]*$", re.S)

_KINDS = {
    "SELECT": Kind.READ,
    "WITH": Kind.READ,
    "VALUES": Kind.READ,
    "EXPLAIN": Kind.READ,
    "INSERT": Kind.WRITE,
    "UPDATE": Kind.WRITE,
    "DELETE": Kind.WRITE,
    "REPLACE": Kind.WRITE,
    "CREATE": Kind.WRITE,
    "DROP": Kind.WRITE,
    "ALTER": Kind.WRITE,
    "TRUNCATE": Kind.WRITE,
    "BEGIN": Kind.BEGIN,
    "START": Kind.BEGIN,
    "COMMIT": Kind.COMMIT,
    "ROLLBACK": Kind.ROLLBACK,
    "SET": Kind.SETTING,
    "USE": Kind.SETTING,
    "SHOW": Kind.CONTROL,
    "GROUP": Kind.CONTROL,
}


@functools.lru_cache(maxsize=4096)
def translate(sql: str) -> Translated:
    """Return a statement in sqlite's words.

    >>> translate("INSERT IGNORE INTO `t` VALUES (1)").sql
    'INSERT OR IGNORE INTO "t" VALUES (1)'
    >>> translate("SELECT SLEEP(0.5)").sleep
    0.5
    """
    body = _LEADING.sub("", sql)
    word = _WORD.match(body)
    kind = _KINDS.get(word.group(1).upper() if word else "", Kind.UNSUPPORTED)
    if kind not in (Kind.READ, Kind.WRITE):
        return Translated(kind=kind, sql=body.strip().rstrip(";").strip())
    sleeps: list[float] = []
    text = "".join(_convert(token, sleeps) for token in _TOKENS.findall(body))
    text, locks = _LOCK.subn("", text)
    if word.group(1).upper() == "CREATE":
        text = _convert_table(text)
    return Translated(kind=kind, sql=text, sleep=sum(sleeps), locks=bool(locks))


def _convert(token: str, sleeps: list[float]) -> str:
    first = token[0]
    if first == "`":
        return '"' + token[1:-1].replace('"', '""') + '"'
    if first in "'\"" and len(token) > 1:
        return _quote(token)
    if token.startswith("/*") or token.startswith("--"):
        return " "
    for seconds in _SLEEP.findall(token):
        sleeps.append(float(seconds))
    text = _SLEEP.sub("0", token)
    text = _NOW.sub(f"'{NOW_MARK}'", text)
    text = _IGNORE.sub("INSERT OR IGNORE", text)
    if _DUPLICATE.search(text):
        text = _DUPLICATE.sub("ON CONFLICT DO UPDATE SET", text)
        text = _VALUES_OF.sub(r"excluded.\1", text)
    return _TRUNCATE.sub("DELETE FROM ", text)


def _quote(token: str) -> str:
    quote = token[0]
    text = token[1:-1].replace(quote * 2, quote)
    text = _ESCAPE.sub(lambda found: _ESCAPES.get(found[1], found[1]), text)
    return "'" + text.replace("'", "''") + "'"


def _convert_table(text: str) -> str:
    text, automatic = _AUTO.subn("INTEGER PRIMARY KEY AUTOINCREMENT", text)
    if automatic:
        text = _KEY_CLAUSE.sub("", text)
    if re.match(r"CREATE\s+(?:TEMPORARY\s+)?TABLE\b", text, re.I):
        text = _OPTIONS.sub(")", text)
    return text
