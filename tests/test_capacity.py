"""Tests of the capacity measurements at tiny sizes, and of the page's commands."""

import json
import re
from pathlib import Path

import pytest

from siskinhold_trial import capacity

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
TINY = {
    "callers": lambda: capacity.measure_callers((2, 4), (2, 4)),
    "backends": lambda: capacity.measure_backends((2, 4), (1, 2)),
    "peers": lambda: capacity.measure_peers((5, 10), (1, 2)),
    "heartbeats": lambda: capacity.measure_heartbeats((3, 12), 1.0),
    "views": lambda: capacity.measure_views((3, 12)),
    "ownership": lambda: capacity.measure_ownership((10, 20)),
    "moves": lambda: capacity.measure_moves(20, 12),
    "sessions": lambda: capacity.measure_sessions((2, 4)),
    "queue": lambda: capacity.measure_queue((2, 4)),
    "statements": lambda: capacity.measure_statements((50, 100), 0.2),
    "polls": lambda: capacity.measure_polls((1, 2), 0.5),
    "confirmations": lambda: capacity.measure_confirmations((1, 4), 0.2),
    "forwarding": lambda: capacity.measure_forwarding((64, 128), (1, 2)),
    "tickets": lambda: capacity.measure_tickets((2, 4)),
    "configuration": lambda: capacity.measure_configuration((3, 6)),
    "terms": lambda: capacity.measure_terms((1, 2)),
    "fleets": lambda: capacity.measure_fleets((3,)),
}


class TestMeasures:
    """Every measurement runs and returns usable points."""

    @pytest.mark.parametrize("name", sorted(capacity.MEASURES))
    def test_runs_at_tiny_sizes(self, name):
        """Each series has points; guards against a measurement that breaks when
        the core changes, and against counts that stay at zero."""
        found = TINY[name]()
        assert found
        for series in found:
            assert series.measure == name
            assert series.points
            assert all(size > 0 for size, _ in series.points)
        assert any(value > 0 for series in found for _, value in series.points)

    def test_statements_cost_messages_and_polls_cost_queries(self):
        """A statement takes two messages, and a poll takes one query; guards
        against a bench whose backend servers or VMs do not answer."""
        found = {s.name: s for s in capacity.measure_statements((100,), 1.0)}
        [(_, messages)] = found["messages between VMs a statement"].points
        assert 1.5 < messages < 2.5
        polls = {s.name: s for s in capacity.measure_polls((1,), 2.0)}
        [(_, near)] = polls["status queries within the region"].points
        assert 15 < near < 25

    def test_output_carries_slopes(self, tmp_path):
        """The file holds points and slopes; guards against figures on the page
        that can't be compared with a later run."""
        found = capacity.measure_views((3, 12))
        capacity.write_json(found, tmp_path / "build" / "capacity.json")
        rows = json.loads((tmp_path / "build" / "capacity.json").read_text())
        assert [row["name"] for row in rows] == [series.name for series in found]
        assert rows[0]["slope"] == pytest.approx(found[0].slope)
        assert "memory" in capacity.format_table(found)


class TestPage:
    """The page matches the script and the code."""

    def test_cited_commands_exist(self):
        """Each cited measurement exists and each existing one is cited; guards
        against a page that names a renamed or removed command."""
        text = PAGE.read_text()
        cited = set(re.findall(r"capacity\.py --only ([a-z]+)", text))
        assert cited == set(capacity.MEASURES)
        assert "make capacity" in text

    def test_cited_code_exists(self):
        """Each cited module exists and has the functions and classes cited after
        it; guards against a page that names renamed code."""
        root = PAGE.parent.parent / "src" / "siskinhold"
        cited = r"`((?:core|adapters)/\w+\.py)`((?:,? `[\w.]+`)*)"
        modules = re.findall(cited, PAGE.read_text())
        assert modules
        for module, names in modules:
            text = (root / module).read_text()
            for name in re.findall(r"[A-Za-z_]\w*", names):
                assert re.search(rf"\b(def|class) {name}\b|^{name} =", text, re.M)
