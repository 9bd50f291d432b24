"""Lines of a VM's log: whole, of bounded length, and read back as written."""

import logging
import os
from unittest.mock import Mock

from hypothesis import given, strategies as st

from siskinhold.direct import Log
from siskinhold.lines._log import DecisionLog, LineHandler
from siskinhold.programs._log import LineFormatter
from siskinhold.programs.timeline import parse_pairs

TEXTS = st.text(st.characters(), max_size=2000)


def write(vm, *entries) -> str:
    """Return what a log writes to a pipe, which is emptied before the last entry."""
    read_end, write_end = os.pipe()
    log, data = DecisionLog(vm=vm, descriptor=write_end), b""
    for number, fields in enumerate(entries, start=1):
        if number == len(entries) > 1:
            data = os.read(read_end, 1 << 20)
        log.write(Log(event="x", fields=tuple(fields), essential=True), 1.0)
    os.close(write_end)
    with open(read_end, "rb") as output:
        return (data + output.read()).decode()


def test_full_pipe_joins_no_lines():
    """Lines written while a pipe fills up are whole or left out and counted."""
    text = "r" * 3000
    entries = [[("k", f"{number}{text}"), ("t", text * 3)] for number in range(201)]
    *lines, end = write("vm1", *entries).split("\n")
    assert end == "" and 1 < len(lines) < 200 and max(map(len, lines)) < 4096
    last = [dict(parse_pairs(line)) for line in lines][-1]
    assert last["k"].startswith("200r") and last["left_out"] == f"{201 - len(lines)}"


@given(TEXTS, st.lists(TEXTS, max_size=40))
def test_any_texts_give_one_line(vm, values):
    """Any texts, also unpaired surrogates, are written; the start of each is kept."""
    fields = [("k", value) for value in values]
    line = write(vm, fields)
    assert len(line.encode()) <= 4096 and line.splitlines() == [line[:-1]]
    pairs = iter(parse_pairs(line)[1:])
    for key, text in [("vm", vm), ("event", "x"), *fields]:
        name, value = next(pairs)
        assert name == key and text.startswith(value)
        assert value == text or next(pairs) == ("clipped", str(len(text)))
    assert not list(pairs)


@given(st.text(st.characters(), max_size=40), st.sampled_from(("%s", "%r")))
def test_arguments_of_events_are_read_back(text, code):
    """Guards against a caller's text, or a library's, that adds a pair or a line."""
    error = ValueError(text)
    form, args = f"event=x session=%d user={code} reason=%s", (3, text, error)
    info = (ValueError, error, None)
    record = logging.LogRecord("siskinhold", 30, "", 1, form, args, info)
    expected = [("event", "x"), ("session", "3"), ("user", text), ("reason", text)]
    line, log = LineFormatter().format(record), Mock()
    assert len(line.encode().splitlines()) == 1
    assert parse_pairs(line)[1:] == [*expected, ("error", f"ValueError: {text}")]
    LineHandler(log=log, clock=float).emit(record)
    assert parse_pairs(dict(log.write.call_args[0][0].fields)["text"]) == expected
    message = f"event={text}"
    record = logging.LogRecord("library", 30, "", 1, "%s", (message,), None)
    pairs = parse_pairs(LineFormatter().format(record))
    assert pairs[1:] == [("event", "log"), ("logger", "library"), ("message", message)]
