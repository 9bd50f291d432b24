"""Tests of lines, which end at CR LF and nowhere else.

A lone CR or LF is part of a field. A message is passed on unchanged, or refused whole.
"""

import asyncio

import pytest
from hypothesis import example, given, settings, strategies

from siskinhold.direct import Answer, Command, CommandKind, Statement, StatementKind
from siskinhold.lines import LINE_LIMIT, AnswerLineKind
from siskinhold.lines._protocol import LineProtocol
from siskinhold.model import Position
from siskinhold_platform import WireCodec

from .standins import Client, read_line
from .test_service import run_deployment

CODEC = WireCodec()

FIELD_TEXT = strategies.text(alphabet="ab \r\n", min_size=1, max_size=8).filter(
    lambda text: "\r\n" not in text
)
"""Fields with lone line ends; blanks separate all but the last field."""

FIELD = FIELD_TEXT.map(lambda text: text.replace(" ", "c"))

LINE_ENDS = ("\n", "\r", "\n\r", "\r\r")

ODD_FIELDS = ("{}", "{}x", "x{}", "x{}y", "{}x{}")
"""Places of a line end in a field: alone, first, last, in the middle, at both ends."""


class OpenTransport(asyncio.Transport):
    """Transport of a connection that stays open."""

    def is_closing(self):
        return False


class Lines(LineProtocol):
    """Protocol that records its lines."""

    def __init__(self):
        super().__init__(user_timeout=1.0)
        self.transport = OpenTransport()
        self.lines = []
        self.overflows = 0

    def handle_line(self, line):
        self.lines.append(line)

    def handle_overflow(self):
        self.overflows += 1


def cut_into_segments(data, places):
    """Return data cut at some places."""
    places = sorted({place % (len(data) + 1) for place in places} | {0, len(data)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


class TestLineProtocol:
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(
        strategies.lists(FIELD_TEXT | strategies.just(""), max_size=5),
        strategies.lists(strategies.integers(0, 100), max_size=10),
    )
    @example(["a\r", "\nb"], [2, 3])
    @example(["\r", "\n", ""], [1, 2, 3, 4, 5, 6])
    def test_lines_do_not_depend_on_segments(self, lines, places):
        """Guards against a line that ends at a lone CR or LF, or that is cut."""
        encoded = [line.encode() for line in lines]
        data = b"".join(line + b"\r\n" for line in encoded)
        protocol = Lines()
        for segment in cut_into_segments(data, places):
            protocol.data_received(segment)
        assert protocol.lines == encoded

    @pytest.mark.parametrize("cut", [1, 100, LINE_LIMIT - 1, LINE_LIMIT + 1])
    @pytest.mark.parametrize("end", [b"", b"\r", b"\n"])
    def test_longest_line_is_passed_on(self, cut, end):
        """Guards against a message that is refused though it is within the limit."""
        line = b"x" * (LINE_LIMIT - len(end)) + end
        data = line + b"\r\n" + b"next\r\n"
        protocol = Lines()
        for segment in (data[:cut], data[cut:]):
            protocol.data_received(segment)
        assert protocol.lines == [line, b"next"]
        assert not protocol.overflows

    @pytest.mark.parametrize("size", [LINE_LIMIT + 1, 3 * LINE_LIMIT])
    @pytest.mark.parametrize("step", [50_000, LINE_LIMIT + 1, 4 * LINE_LIMIT])
    def test_longer_line_is_refused_whole(self, size, step):
        """Guards against the rest of a line that is taken for a message."""
        data = b"x" * size + b"\r\n" + b"next\r\n"
        protocol = Lines()
        for start in range(0, len(data), step):
            protocol.data_received(data[start : start + step])
        assert protocol.overflows == 1
        assert protocol.lines == []

    def test_endless_line_takes_no_memory(self):
        """Guards against a caller that sends bytes without a line end for ever."""
        protocol = Lines()
        for _ in range(100):
            protocol.data_received(b"x" * 65_536)
        assert protocol.overflows == 1
        assert not protocol._buffer


class TestCodec:
    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(FIELD, FIELD, FIELD_TEXT, strategies.sampled_from(("READ", "WRITE")))
    def test_statement_is_passed_on_unchanged(self, request, item, data, word):
        """Guards against a text that another one replaces on the way to a server."""
        line = f"QUERY {request} {word} {item} {data}".encode()
        message = CODEC.parse_caller_line(line)
        assert isinstance(message, Statement)
        command = Command(
            kind=CommandKind.RUN, request=message.request, text=message.text
        )
        assert CODEC.encode_command(command) == line + b"\r\n"

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(FIELD, FIELD, FIELD_TEXT)
    def test_names_values_and_shapes_keep_their_line_ends(self, request, name, value):
        """Guards against a value or a shape that differs from the caller's."""
        for word, mode in (("SET", ""), ("EXECUTE", ""), ("PREPARE", "WRITE ")):
            text = f"{word} {name} {mode}{value}"
            message = CODEC.parse_caller_line(f"QUERY {request} {text}".encode())
            if message.kind is StatementKind.MALFORMED:
                continue
            assert (message.request, message.name) == (request, name)
            assert (message.shape or message.value) == value

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(FIELD_TEXT)
    def test_row_is_passed_on_unchanged(self, row):
        """Guards against a row that is cut at a lone line end."""
        line = f"ROW {row}".encode()
        parsed = CODEC.parse_answer_line(line)
        assert (parsed.kind, parsed.text) == (AnswerLineKind.ROW, row)
        answer = Answer(rows=(parsed.text,), signature="s")
        assert CODEC.encode_answer(answer).startswith(line + b"\r\nCOMPLETE s\r\n")

    @settings(derandomize=True, deadline=None, max_examples=500)
    @given(FIELD_TEXT)
    def test_word_with_a_line_end_is_refused(self, rest):
        """Guards against a statement that is recognised by a part of its word."""
        for word in ("READ\n", "\rWRITE", "COMMIT\r", "ROLL\nBACK", "BEGIN\n"):
            message = CODEC.parse_caller_line(f"QUERY r {word} {rest}".encode())
            assert message.kind is StatementKind.MALFORMED

    @pytest.mark.parametrize("text", ["READ ", "PREPARE p READ ", "EXECUTE p k "])
    @pytest.mark.parametrize("spare", [0, 64])
    def test_line_to_a_server_is_not_too_long(self, text, spare):
        """Guards against a connection that a server breaks off at a long line."""
        line = f"QUERY 1 {text}".ljust(LINE_LIMIT - spare, "x").encode()
        statement = CODEC.parse_caller_line(line)
        if not spare:
            assert statement.kind is StatementKind.MALFORMED
            return
        command = Command(
            kind=CommandKind[statement.kind.name.replace("READ", "RUN")],
            request=statement.request,
            text=statement.text,
            name="s" + 15 * "f",
            value=statement.shape or statement.value,
            after=Position(2**64 - 1, 2**64 - 1),
        )
        assert len(CODEC.encode_command(command)) <= LINE_LIMIT + len(b"\r\n")


class TestService:
    async def test_requests_and_rows_pass_unchanged(self, tmp_path):
        """Guards against a field that is split, cut or refused without an answer."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            for end in LINE_ENDS:
                for form in ODD_FIELDS:
                    field = form.replace("{}", end)
                    for text in (f"WRITE {field} {field} {field}", f"READ {field}"):
                        lines = await client.execute(text)
                        assert lines[-2].startswith("COMPLETE"), (text, lines)
                    assert lines[0] == f"ROW {field} {field}"
                    lines = await client.execute(f"{field}READ x")
                    assert lines[0].startswith("ERROR MALFORMED")
            sent = client.sent
            for instance in deployment.instances:
                for request, text, _ in instance.executed:
                    assert sent[request] == text

    async def test_line_end_that_is_cut_between_segments(self, tmp_path):
        """Guards against a CR at the end of a segment that ends a line by itself."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            reader, writer = await asyncio.open_connection("127.0.0.1", vm.ports[0])
            data = b"CONNECT orders u\r1\r\nQUERY q1 WRITE k \r\nQUERY q2 READ k\r\n"
            data = data.replace(b"k \r\nQUERY q2", b"k \nx\r\r\nQUERY q2")
            for byte in data:
                writer.write(bytes([byte]))
                await asyncio.sleep(0.002)
            lines = [await asyncio.wait_for(read_line(reader), 5) for _ in range(6)]
            assert lines[0] == "READY I -" and lines[1].startswith("COMPLETE")
            assert lines[3] == "ROW \nx\r"
            writer.close()

    async def test_line_over_the_limit_is_refused_with_an_answer(self, tmp_path):
        """Guards against a reset in place of an answer, or a statement that is cut."""
        async with run_deployment(tmp_path) as (deployment, (vm,)):
            client, _ = await Client.connect(vm.ports[0], "orders")
            line = b"QUERY q WRITE k " + b"x" * (LINE_LIMIT + 5_000) + b"\r\n"
            answer = await client.send_raw(line)
            assert answer.startswith(b"ERROR MALFORMED") and answer.endswith(b"\r\n")
            for instance in deployment.instances:
                assert not instance.executed
