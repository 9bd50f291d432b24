"""The timeline recorder and the program that merges its logs."""

import json
import re
from pathlib import Path

import pytest
from hypothesis import given, strategies as st
from prometheus_client import CollectorRegistry, generate_latest

from siskinhold import core
from siskinhold.adapters import METRICS, TimelineRecorder
from siskinhold.effects import Observe, Record
from siskinhold.model import RequestId
from siskinhold.observability import Metrics, define_counter
from siskinhold.programs import timeline
from siskinhold.programs.timeline import main, merge_entries, parse_line

ID = RequestId("vm1", 3, 9)


def open_recorder(path, vm="vm1") -> TimelineRecorder:
    return TimelineRecorder(
        vm=vm,
        incarnation=3,
        path=str(path),
        registry=CollectorRegistry(),
        read_wall_clock=lambda: 1.5,
    )


def run(capsys, *argv) -> tuple[int, list[str]]:
    with pytest.raises(SystemExit) as exit_info:
        main([str(arg) for arg in argv])
    return exit_info.value.code, capsys.readouterr().out.splitlines()


class TestReading:
    def test_text_within_another_line_is_no_event(self):
        """Guards against a caller's user name that appears as an event of a VM."""
        event = "vm=vm2 incarnation=1 clock=9 sequence=1 event=primary_changed"
        assert parse_line(event).vm == "vm2"
        for quoted in (repr(f"x {event} "), json.dumps(f"x {event}"), f"x {event}"):
            assert parse_line(f"event=caller_denied session=3 user={quoted}") is None

    @given(st.text(st.characters(), min_size=1))
    def test_printed_pairs_are_read_back(self, text):
        """A printed event is one encodable line that holds the text of each field."""
        fields = {"event": "x", "cause": text, "k": text, "request": "r"}
        entry = timeline.Entry(
            fields=fields, vm="a", incarnation=1, sequence=1, clock=1
        )
        line, reason = timeline._format(entry), timeline.format_reason([entry], "r")
        for printed in (line, reason):
            assert len(printed.encode().splitlines()) == len(printed.splitlines()) == 1
        pairs = timeline.parse_pairs(line.partition(" x ")[2])
        assert {"event": "x", **dict(pairs)} == fields


class TestRecorder:
    """Timeline lines and metrics."""

    @given(st.text(st.characters()), st.text(st.characters()))
    def test_line_round_trip(self, cause, value):
        """Any text is read back from its single line.

        Guards against a cause that breaks the line or hides the next field.
        """
        effect = Record(name="x", cause=cause, request=ID, detail=(("k", value),))
        lines = []
        recorder = open_recorder("/dev/null")
        recorder._handler.emit = lambda r: lines.append(recorder._handler.format(r))
        recorder.record(effect, clock=0)
        recorder.close()
        assert len(lines[0].splitlines()) == 1
        fields = parse_line(lines[0]).fields
        assert fields.get("cause", "") == cause
        assert (fields["k"], fields["request"]) == (value, "vm1.3.9")

    def test_metrics(self, caplog, tmp_path):
        """Unknown metrics are logged once, and the number of label values is limited.

        Guards against memory use that grows with the label values.
        """
        recorder = open_recorder(tmp_path / "log")
        for number in range(200):
            recorder.observe(Observe(metric="refused_total", label=f"o{number}"))
            recorder.observe(Observe(metric="no_such"))
        values = recorder.metrics.registry
        other = {"reason": "other"}
        assert values.get_sample_value("siskinhold_refused_total", other) == 150
        assert caplog.text.count("event=metric_refused metric=no_such") == 1
        recorder.close()


class TestLabels:
    @given(st.lists(st.text(st.characters(), max_size=300), max_size=9, unique=True))
    def test_labels_are_told_apart(self, labels):
        """Guards against an account's name that ends, breaks or joins their lines."""
        registry = CollectorRegistry()
        metrics = Metrics({"c": define_counter("Help.", "account")}, registry)
        for label in [*labels, *(f"filler{number}" for number in range(60))]:
            metrics.observe("c", 1, label)
        page = generate_latest(registry).decode()
        lines = [x for x in page.splitlines() if x.startswith("siskinhold_c_total{")]
        assert len(page.splitlines()) == page.count("\n") and len(lines) == 51
        assert max(map(len, lines)) < 2000
        assert lines[-1].endswith(f'{{account="other"}} {len(labels) + 10.0}')


class TestKnownMetrics:
    def test_metrics_of_the_core_are_defined(self):
        """Each metric of the core is defined; guards against discarded values."""
        folder = Path(core.__file__).parent
        names = set()
        for path in folder.glob("*.py"):
            names.update(re.findall(r'metric="(\w+)"', path.read_text()))
        assert names and names <= METRICS.keys()


class TestMerge:
    """The order of merged logs."""

    @given(st.lists(st.tuples(st.sampled_from("ab"), st.integers(0, 5)), max_size=20))
    def test_process_order_is_kept(self, events):
        """The events of a process keep their sequence whatever their clocks are.

        Guards against an effect that is printed before its cause.
        """
        entries = []
        for number, (vm, clock) in enumerate(events):
            line = f"vm={vm} incarnation=1 clock={clock} sequence={number} event=x"
            entries.append(parse_line(line))
        merged = merge_entries(reversed(entries))
        assert len(merged) == len(events)
        for vm in "ab":
            order = [entry.sequence for entry in merged if entry.vm == vm]
            assert order == sorted(order)

    def test_filters_and_reason(self, tmp_path, capsys):
        """Filters select events; `--why` shows a request, its delays and its cause.

        Events of other requests are left out. Guards against an unexplained refusal.
        """
        first, second = tmp_path / "1", tmp_path / "2"
        entry, owner = open_recorder(first), open_recorder(second, "vm2")
        entry.record(Record(name="request_sent", request=ID, database="d"), clock=1)
        entry.record(Record(name="vm_gone", cause="silence"), clock=9)
        owner.record(Record(name="primary_lost", database="d"), clock=3)
        other = RequestId("vm1", 3, 8)
        owner.record(Record(name="queued", request=other, database="d"), clock=4)
        owner.record(
            Record(name="refused", cause="no primary", request=ID, database="d"),
            clock=5,
        )
        code, lines = run(capsys, first, second, "--why", "vm1.3.9")
        names = [line.split()[3] for line in lines[:-1]]
        assert (code, names) == (0, ["request_sent", "primary_lost", "refused"])
        assert lines[-1] == "vm1.3.9: refused on vm2 because: no primary"
        code, lines = run(capsys, second, first, "--vm", "vm1", "--json")
        assert [json.loads(line)["event"] for line in lines] == [
            "request_sent",
            "vm_gone",
        ]
        assert run(capsys, first, "--ticket", "4")[0] == 1
        assert run(capsys, tmp_path / "none")[0] == 1
