"""Lines of a VM's log: whole, of bounded length, and read back as written."""

import logging
import os

from hypothesis import given, strategies as st

from siskinhold.direct import Log
from siskinhold.lines._log import DecisionLog, LineHandler
from siskinhold.programs._log import LineFormatter
from siskinhold.programs.timeline import parse_pairs

LIMIT = 4096


class Pipe:
    """A log whose output is a pipe."""

    def __init__(self, vm="vm1") -> None:
        self._read_end, self._write_end = os.pipe()
        os.set_blocking(self._read_end, False)
        self.log = DecisionLog(vm=vm, descriptor=self._write_end)

    def write(self, *fields, now=1.0) -> None:
        self.log.write(Log(event="x", fields=fields, essential=True), now)

    def read(self, size=1 << 20) -> bytes:
        try:
            return os.read(self._read_end, size)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        os.close(self._read_end)
        os.close(self._write_end)


class TestDecisionLog:
    def test_full_pipe_joins_no_lines(self):
        """Lines written while a pipe fills up are whole or left out and counted.

        Guards against the rest of a line that is read as the start of the next one.
        """
        pipe = Pipe()
        for number in range(200):
            pipe.write(("request", f"{number}-" + "r" * 3000), ("text", "s" * 9000))
        data = pipe.read()
        pipe.write(("request", "last"))
        lines = (data + pipe.read()).split(b"\n")
        pipe.close()
        assert lines.pop() == b"" and max(map(len, lines)) < LIMIT
        pairs = [dict(parse_pairs(line.decode())) for line in lines]
        assert 0 < len(pairs) < 200 and pairs[-1]["request"] == "last"
        assert int(pairs[-1]["left_out"]) == 201 - len(pairs)

    @given(
        st.text(st.characters()),
        st.lists(st.text(st.characters(), max_size=2000), max_size=40),
    )
    def test_any_texts_give_one_line(self, vm, values):
        """Any texts, also unpaired surrogates, are written; the start of each is kept.

        Guards against a text that raises, ends the line or hides the next field.
        """
        pipe = Pipe(vm)
        pipe.write(*((f"k{number}", text) for number, text in enumerate(values)))
        data = pipe.read()
        pipe.close()
        assert len(data) <= LIMIT and data.decode().splitlines() == [data.decode()[:-1]]
        pairs = parse_pairs(data.decode())
        assert pairs[1] == ("vm", vm) and pairs[2] == ("event", "x")
        for number, (key, value) in enumerate(pairs):
            if not key.startswith("k"):
                continue
            text = values[int(key[1:])]
            if value != text:
                assert text.startswith(value)
                assert pairs[number + 1] == ("clipped", str(len(text)))
        assert sum(key.startswith("k") for key, _ in pairs) == len(values)


class TestRecords:
    """Records of the standard library's loggers."""

    @given(
        st.text(st.characters(), max_size=40),
        st.sampled_from(("%s", "%r")),
        st.booleans(),
    )
    def test_arguments_of_events_are_read_back(self, text, code, raised):
        """A caller's text in an event is one pair, in both programs' lines.

        Guards against a request id or user name that adds a pair or a line.
        """
        form = f"event=x session=%d user={code} reason=%s"
        error = ValueError(text)
        info = (ValueError, error, None) if raised else None
        args = (3, text, error)
        record = logging.LogRecord("siskinhold", 30, "", 1, form, args, info)
        expected = [("event", "x"), ("session", "3"), ("user", text), ("reason", text)]
        line = LineFormatter().format(record)
        pairs = parse_pairs(line)
        assert len(line.encode().splitlines()) == 1 and pairs[1:5] == expected
        assert pairs[5:] == [("error", f"ValueError: {text}")] * raised
        pipe = Pipe()
        LineHandler(log=pipe.log, clock=lambda: 1.0).emit(record)
        pairs = parse_pairs(pipe.read().decode())
        pipe.close()
        assert parse_pairs(dict(pairs)["text"]) == expected

    @given(st.text(st.characters(), max_size=40))
    def test_text_of_a_library_is_no_event(self, text):
        """A library's message that reads like an event is quoted whole."""
        message = f"event={text}"
        record = logging.LogRecord("library", 30, "", 1, "%s", (message,), None)
        pairs = parse_pairs(LineFormatter().format(record))
        assert pairs[1:] == [("event", "log"), ("logger", "library")] + [
            ("message", message)
        ]
