"""Tests the codec of the platform's wire format with its documented examples."""

import pytest
from hypothesis import given, strategies

from siskinhold.direct import (
    Answer,
    Command,
    CommandKind,
    Refusal,
    Statement,
    StatementKind,
    TransactionState,
)
from siskinhold.lines import (
    AnswerLineKind,
    ConnectRequest,
    DisconnectRequest,
    MalformedLine,
)
from siskinhold.model import Position
from siskinhold_platform import WireCodec

CODEC = WireCodec()


class TestCallerLines:
    def test_connect_request_names_the_database(self):
        """Guards against reading the caller's key as its database, or losing it."""
        assert CODEC.parse_caller_line(b"CONNECT lepu270 u3f1") == ConnectRequest(
            database="lepu270", key="u3f1"
        )

    def test_execute_keeps_its_arguments(self):
        """Guards against arguments that are cut at a blank."""
        statement = CODEC.parse_caller_line(b"QUERY 5c EXECUTE s1 1a4 x k q")
        assert statement.kind is StatementKind.EXECUTE
        assert (statement.name, statement.value) == ("s1", "1a4 x k q")

    def test_release_ends_the_session(self):
        """Guards against a session that stays open after its release."""
        assert CODEC.parse_caller_line(b"RELEASE") == DisconnectRequest()

    @pytest.mark.parametrize(
        "text",
        ["AFTER 3.1 READ x", "BEGIN WRITE", "READ", "PREPARE s1 DROP q", "SET a", "X"],
    )
    def test_unknown_statements_are_malformed(self, text):
        """Guards against sending an invalid statement to a server."""
        statement = CODEC.parse_caller_line(f"QUERY 5c {text}".encode())
        assert statement.kind is StatementKind.MALFORMED

    @given(strategies.binary(max_size=200))
    def test_any_bytes_parse_to_a_message(self, line):
        """Guards against a crash on malformed input of a caller."""
        message = CODEC.parse_caller_line(line)
        assert isinstance(
            message, (ConnectRequest, DisconnectRequest, MalformedLine, Statement)
        )


class TestServerLines:
    def test_read_after_a_position(self):
        """Guards against an altered text of the caller's statement."""
        command = Command(
            kind=CommandKind.RUN,
            request="5c0e",
            text="READ 1a4",
            after=Position(3, 1207),
        )
        assert CODEC.encode_command(command) == b"QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"

    def test_own_commands_have_no_id(self):
        """Guards against commands of siskinhold that look like a caller's statement."""
        command = Command(kind=CommandKind.STEP_DOWN, term=4)
        assert CODEC.encode_command(command) == b"QUERY - STEPDOWN 4\r\n"

    def test_ready_has_state_and_position(self):
        """Guards against reading the term of a position as its log offset."""
        answer_line = CODEC.parse_answer_line(b"READY E 3.1209")
        assert answer_line.transaction is TransactionState.FAILED
        assert answer_line.position == Position(3, 1209)

    def test_unknown_error_code_is_unrecognized(self):
        """Guards against reading an unknown error code as "not run"."""
        answer_line = CODEC.parse_answer_line(b"ERROR FUTURE x")
        assert answer_line.refusal is Refusal.UNRECOGNIZED

    def test_status_row(self):
        """Guards against status fields that are read in the wrong order."""
        report = CODEC.parse_status_rows(("replica 3 3.1209 0 12 2 17",))
        assert not report.leads
        assert report.term == 3
        assert report.received == Position(3, 1209)
        assert report.backlog == 0.012

    def test_status_row_without_a_lag(self):
        """Guards against a report that is lost because its lag can't be read."""
        for row in ("replica 3 3.1209 0", "replica 3 3.1209 0 -"):
            assert CODEC.parse_status_rows((row,)).backlog is None

    @given(strategies.binary(max_size=200))
    def test_any_bytes_parse_to_an_answer_line(self, line):
        """Guards against a crash on malformed input of a server."""
        assert CODEC.parse_answer_line(line).kind in AnswerLineKind


class TestAnswers:
    def test_rows_and_signature_pass_unchanged(self):
        """Guards against an answer that loses its rows or its signature."""
        answer = Answer(rows=("qhzk wmt",), signature="7.1f3.c")
        expected = b"ROW qhzk wmt\r\nCOMPLETE 7.1f3.c\r\nREADY I -\r\n"
        assert CODEC.encode_answer(answer) == expected

    def test_refusal_keeps_the_state(self):
        """Guards against an answer that hides that the transaction is still open."""
        answer = Answer(
            refusal=Refusal.ABORTED,
            detail="timeout",
            transaction=TransactionState.FAILED,
        )
        assert CODEC.encode_answer(answer) == b"ERROR ABORTED timeout\r\nREADY E -\r\n"

    @pytest.mark.parametrize("refusal", Refusal)
    def test_every_refusal_has_a_code(self, refusal):
        """Guards against a refusal that has no error code of the wire."""
        assert CODEC.encode_answer(Answer(refusal=refusal)).startswith(b"ERROR ")
