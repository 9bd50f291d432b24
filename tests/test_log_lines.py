"""Lines of a VM's log: whole, of bounded length, and read back as written."""

import os

from hypothesis import given, strategies as st

from siskinhold.direct import Log
from siskinhold.lines._log import DecisionLog
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

    @given(st.text(), st.lists(st.text(max_size=2000), max_size=40))
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
