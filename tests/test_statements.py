"""Tests of statement classification, execution hints and shapes."""

import pytest
from hypothesis import given, strategies

from siskinhold.model import Marks, StatementKind
from siskinhold.statements import (
    AcceptSetting,
    Fault,
    Forwarded,
    PresentToken,
    ReadValues,
    SetAutocommit,
    SetCharset,
    ShowWarnings,
    UseDatabase,
    classify,
    shape,
)

READ = StatementKind.READ
WRITE = StatementKind.WRITE

FRAGMENTS = [
    "SELECT",
    "set ",
    "@",
    "@@",
    "'",
    '"',
    "`",
    "\\",
    "/*",
    "*/",
    "--",
    "--\n",
    "#",
    ";",
    "(",
    " siskinhold: once=",
    "siskinhold",
    "deadline_ms=1",
    "FOR UPDATE",
    "names",
    "use",
    "\0",
    "é",
    "\ud800",
    "1e5",
]
TEXTS = strategies.one_of(
    strategies.text(),
    strategies.lists(strategies.sampled_from(FRAGMENTS)).map("".join),
    strategies.lists(strategies.sampled_from(FRAGMENTS)).map(" ".join),
)


def kind_of(sql, **settings):
    """Return the kind of a forwarded statement, or the fault."""
    result = classify(sql, **settings)
    if result.is_err():
        return result.err_value.fault
    assert isinstance(result.ok_value, Forwarded), result
    return result.ok_value.kind


def marks_of(sql, attributes=None):
    """Return the execution hints, or the fault."""
    result = classify(sql, attributes)
    return result.err_value.fault if result.is_err() else result.ok_value.marks


class TestKinds:
    @pytest.mark.parametrize(
        "sql",
        [
            "SELECT 1",
            " (select a from b) union (select 'FOR UPDATE')",
            "-- FOR UPDATE\nSELECT a # FOR UPDATE",
            "SELECT `for update`, 'it''s; \\' @a', \"@x\" FROM b;",
            "WITH c AS (SELECT 1) SELECT replace(a, 'b', 'c') FROM c",
            "SHOW TABLES",
            "EXPLAIN SELECT 1",
            "DESC a",
            "TABLE a",
            "SELECT a--1 FROM b",
            "SELECT '\\'; DELETE FROM a",
            "SELECT a FROM b /*+ MAX_EXECUTION_TIME(5) */ ; ",
        ],
    )
    def test_reads(self, sql):
        """Statements that only read are classified as such and may run on a replica."""
        assert kind_of(sql) is READ

    @pytest.mark.parametrize(
        "sql",
        [
            "INSERT a VALUES (1)",
            "SELECT a FROM b FOR UPDATE",
            "select a from b for\tshare nowait",
            "SELECT a FROM b LOCK IN /* x */ SHARE MODE",
            "SELECT a --\xa0b FROM c FOR UPDATE",
            "SELECT a INTO OUTFILE 'f' FROM b",
            "SELECT LAST_INSERT_ID(a + 1)",
            "UPDATE a SET b = LAST_INSERT_ID(b + 1)",
            "WITH c AS (SELECT 1) DELETE FROM a",
            "EXPLAIN ANALYZE DELETE a FROM a",
            "CALL a()",
            "DO SLEEP(1)",
            "TRUNCATE a",
            "replace a values (1)",
        ],
    )
    def test_writes(self, sql):
        """Statements that lock or change data run on the primary and aren't retried."""
        assert kind_of(sql) is WRITE

    @pytest.mark.parametrize(
        "sql, kind",
        [
            ("BEGIN", StatementKind.BEGIN),
            ("start transaction read only", StatementKind.BEGIN),
            ("COMMIT", StatementKind.COMMIT),
            ("COMMIT AND NO CHAIN NO RELEASE", StatementKind.COMMIT),
            ("rollback work", StatementKind.ROLLBACK),
            ("ROLLBACK TO SAVEPOINT a", WRITE),
            ("SAVEPOINT a", WRITE),
            ("SELECT ROW_COUNT()", READ),
        ],
    )
    def test_transactions(self, sql, kind):
        """A rollback to a savepoint must not end the transaction."""
        assert kind_of(sql, in_transaction=True) is kind

    @pytest.mark.parametrize(
        "sql",
        [
            "SELECT 1; DELETE FROM a",
            "LOCK TABLES a WRITE",
            "CREATE TEMPORARY TABLE a (b int)",
            "CREATE /* x */ temporary TABLE a (b int)",
            "SELECT @a := 1",
            "SELECT @`a`",
            "SET @a = 1",
            "SET GLOBAL read_only = 0",
            "USE a\x1c",
            "SET @siskinhold_token = 'abc'\u2003",
            "SET SESSION sql_mode = 'NO_BACKSLASH_ESCAPES'",
            "SET autocommit = 0, sql_mode = ''",
            "SELECT GET_LOCK('a', 1)",
            "SELECT `get_lock` /* x */ ('a', 1)",
            "SELECT ROW_COUNT()",
            "SELECT a, @@last_insert_id FROM b",
            "SHOW COUNT(*) WARNINGS",
            "GROUP PROMOTE 3",
            "PREPARE a FROM 'SELECT 1'",
            "SAVEPOINT a",
            "COMMIT AND CHAIN",
            "ROLLBACK RELEASE",
            "HANDLER a OPEN",
            "XA START 'a'",
            "KILL 3",
            "LOAD DATA LOCAL INFILE 'a' INTO TABLE b",
            "START REPLICA",
            "/*!50000 DELETE FROM a */",
            "SELECT 1 /*! INTO OUTFILE 'a' */",
            "SELECT 1 /* DELETE",
            "1 SELECT",
        ],
    )
    def test_unsupported(self, sql):
        """Statements that would leave state on a shared connection are refused."""
        assert kind_of(sql) is Fault.UNSUPPORTED

    def test_empty(self):
        """Text without a statement has a separate fault."""
        for sql in ["", " ;", "-- x", "/* x */"]:
            assert kind_of(sql) is Fault.EMPTY


class TestLocal:
    @pytest.mark.parametrize(
        "sql, expected",
        [
            ("SET AUTOCOMMIT = 0", SetAutocommit(enabled=False)),
            ("set session autocommit=ON;", SetAutocommit(enabled=True)),
            ("SET @@session.autocommit = 1", SetAutocommit(enabled=True)),
            ("SET NAMES utf8mb4 COLLATE utf8mb4_bin", SetCharset(name="utf8mb4")),
            ("SET character_set_results = NULL", AcceptSetting()),
            ("SET sql_mode='STRICT_TRANS_TABLES'", AcceptSetting()),
            ("USE `a``b`", UseDatabase(database="a`b")),
            ("/* x */ use orders ;", UseDatabase(database="orders")),
            ("USE orders\u00a0;", UseDatabase(database="orders\u00a0")),
            ("SET @siskinhold_token = 'abc'", PresentToken(token="abc")),
            ("SHOW WARNINGS LIMIT 5", ShowWarnings()),
            ("SELECT DATABASE()", ReadValues(columns=(("DATABASE()", "database()"),))),
            (
                "select @@version_comment limit 1",
                ReadValues(columns=(("@@version_comment", "@@version_comment"),)),
            ),
            (
                "SELECT @@session.Autocommit AS a, @siskinhold_token",
                ReadValues(
                    columns=(
                        ("a", "@@autocommit"),
                        ("@siskinhold_token", "@siskinhold_token"),
                    )
                ),
            ),
        ],
    )
    def test_answered_locally(self, sql, expected):
        """Statements that common clients send on connect need no backend server."""
        assert classify(sql).unwrap() == expected

    def test_after_a_comment(self):
        """A local statement is recognized after a driver's comment with parentheses."""
        sql = (
            "/* driver-8.0 (Revision: 1) */SELECT  @@session.time_zone AS a, @@sql_mode"
        )
        columns = (("a", "@@time_zone"), ("@@sql_mode", "@@sql_mode"))
        assert classify(sql).unwrap() == ReadValues(columns=columns)


class TestMarks:
    def test_hint_comment(self):
        """A hint comment counts at any place in the statement."""
        hint = "/* siskinhold: once=K-1 max_age_ms=500 deadline_ms=2000 */"
        marks = Marks(once=True, key="K-1", max_age_ms=500, deadline_ms=2000)
        for sql in [f"{hint} DELETE FROM a", f"DELETE {hint} FROM a"]:
            assert marks_of(sql) == marks
        assert marks_of("DELETE FROM a /*SISKINHOLD:once*/") == Marks(once=True)
        assert marks_of("DELETE FROM a /* siskinhold: */") == Marks()

    def test_attributes(self):
        """Query attributes carry the same hints; other attributes are ignored."""
        attributes = {"ONCE": "K", "deadline_ms": 5, "traceparent": "00-x"}
        marks = Marks(once=True, key="K", deadline_ms=5)
        assert marks_of("DELETE FROM a", attributes) == marks
        assert marks_of("DELETE FROM a", {"once": None}) == Marks(once=True)

    def test_literals_and_other_comments_are_ignored(self):
        """Text in a literal or in another comment is not a hint."""
        sql = "INSERT a VALUES ('/* siskinhold: once=K */') /* the siskinhold */"
        assert marks_of(sql) == Marks()

    @pytest.mark.parametrize(
        "text",
        [
            "/* siskinhold: once= */",
            "/* siskinhold: onec=K */",
            "/* siskinhold once=K */",
            "/* siskinhold: once=K once=K */",
            "/* siskinhold: once=K */ /* siskinhold: once=L */",
            "/* siskinhold: once = K */",
            "/* siskinhold: once=é */",
            "/* siskinhold: once=K\u00a0 */",
            "/* siskinhold: once=K\u2003max_age_ms=5 */",
            f"/* siskinhold: once={'k' * 65} */",
            "/* siskinhold: max_age_ms=-1 */",
            "/* siskinhold: max_age_ms */",
            "/* siskinhold: deadline_ms=0 */",
            "/* siskinhold: deadline_ms=600001 */",
            "/* siskinhold: deadline_ms=1_0 */",
            "/* siskinhold: deadline_ms=٣ */",
            "/*+ siskinhold: once=K */",
            "-- siskinhold: once=K",
            "# siskinhold: once=K",
            "/* siskinhold: once=K",
        ],
    )
    def test_malformed(self, text):
        """A malformed hint is an error: without `once`, a write could be repeated."""
        assert marks_of(f"DELETE FROM a {text}") is Fault.MARK_INVALID

    @pytest.mark.parametrize(
        "attributes",
        [
            {"once": "a b"},
            {"once": False},
            {"siskinhold_once": "K"},
            {"deadline_ms": "soon"},
            {"max_age_ms": None},
            {"deadline_ms": True},
            {"once": "K", "Once": "L"},
        ],
    )
    def test_malformed_attributes(self, attributes):
        """A malformed attribute or a hint given twice is an error."""
        assert marks_of("DELETE FROM a", attributes) is Fault.MARK_INVALID
        sql = "DELETE FROM a /* siskinhold: once=K */"
        assert marks_of(sql, {"once": "K"}) is Fault.MARK_INVALID


class TestShapes:
    def test_equal_shapes(self):
        """Literals, case, space and list lengths don't change the shape."""
        first = "SELECT a FROM t WHERE b IN (1, 2,3) AND c = 'it''s' -- x"
        second = 'select a  from t\nwhere b in (0x1F) and c = "" /* y */;'
        assert shape(first) == shape(second)
        assert shape("INSERT t VALUES (1,'a'), (2, 'b')") == shape(
            "INSERT t VALUES (3,'c')"
        )

    def test_different_shapes(self):
        """Different names give different shapes, also with digits and quotes."""
        texts = ["SELECT a1", "SELECT a2", "SELECT `1`", "SELECT `2`", "SELECT 1"]
        assert len({shape(text) for text in texts}) == len(texts)


class TestAnyText:
    @given(TEXTS, strategies.booleans())
    def test_no_text_raises(self, sql, in_transaction):
        """No text raises: an exception would let a caller end the VM's process."""
        classify(sql, in_transaction=in_transaction)
        assert shape(sql) == shape(sql)

    @given(
        strategies.dictionaries(
            strategies.sampled_from(["once", "deadline_ms", "max_age_ms", "é"]),
            strategies.one_of(
                strategies.none(),
                strategies.booleans(),
                strategies.integers(),
                strategies.floats(),
                strategies.text(),
            ),
        )
    )
    def test_no_attributes_raise(self, attributes):
        """No attributes raise, and `once` is either kept or refused, never ignored."""
        found = marks_of("DELETE FROM a", attributes)
        if "once" in attributes:
            assert found is Fault.MARK_INVALID or found.once

    @given(TEXTS)
    def test_hint_before_any_text(self, text):
        """A hint at the start is kept, whatever text follows."""
        result = classify(f"/* siskinhold: once=K */ DELETE FROM a {text}")
        if result.is_ok():
            assert result.ok_value.marks.key == "K"
