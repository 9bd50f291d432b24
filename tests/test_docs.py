"""The pages for operators against the code."""

import re
from pathlib import Path

from siskinhold.adapters._metrics import METRICS, MetricKind
from siskinhold.model import NotRunReason, UnknownReason, VmState

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
_ROW = re.compile(
    r"^\| `(\w+)` \|(?: `(\w+)`)? \| (\w[\w ]*) \| \S.* \| \S.* \|$", re.M
)
_LINK = re.compile(r"\]\(([^)#:]+)\)")


class TestMetricsPage:
    def read_rows(self):
        text = (DOCS / "operators/metrics.md").read_text("utf-8")
        return _ROW.findall(text.partition("\n| gauge |")[0])

    def read_gauges(self):
        text = (DOCS / "operators/metrics.md").read_text("utf-8")
        return _ROW.findall(text.partition("\n| gauge |")[2])

    def test_names_every_metric_once_with_its_label(self):
        """Guards against a metric that is missing, gone or has another label."""
        documented = [(name, label) for name, label, _ in self.read_rows()]
        known = [(name, metric.label) for name, metric in METRICS.items()]
        assert sorted(documented) == sorted(known)

    def test_times_are_in_seconds(self):
        """Guards against a unit that is not the metric's."""
        seconds = {name for name, _, unit in self.read_rows() if unit == "seconds"}
        times = {n for n, m in METRICS.items() if m.kind is MetricKind.HISTOGRAM}
        assert seconds == times

    def test_names_every_gauge_of_the_operator_port(self):
        """Guards against a computed gauge that the page does not explain."""
        code = (ROOT / "src/siskinhold/adapters/_operator.py").read_text("utf-8")
        served = set(re.findall(r'"siskinhold_(\w+)"', code))
        assert {name for name, _, _ in self.read_gauges()} == served


class TestFaultsPage:
    def read_table(self):
        text = (DOCS / "operators/faults.md").read_text("utf-8")
        rows = text.partition("\n| fault |")[2].splitlines()[2:]
        return [row.split("|") for row in rows if row.startswith("| ")]

    def test_names_events_and_metrics_of_the_code(self):
        """Guards against an operator who looks for a name that never appears."""
        core = (ROOT / "src/siskinhold/core").glob("*.py")
        code = "".join(path.read_text("utf-8") for path in core)
        known = set(re.findall(r'"([a-z_]+)"', code)) | set(METRICS)
        known |= {f"vm_{state.value}" for state in VmState} | {"vms"}
        named = set()
        for row in self.read_table():
            named |= set(re.findall(r"`(\w+)", row[3]))
        assert named and named - known == set()

    def test_lists_every_reason(self):
        """Guards against a reason that a caller reads and the page lacks."""
        text = (DOCS / "operators/faults.md").read_text("utf-8")
        reasons = [*NotRunReason, *UnknownReason]
        assert [r.value for r in reasons if f"`{r.value}`" not in text] == []


class TestLinks:
    def test_lead_to_files(self):
        """Guards against a link to a page that was moved or never written."""
        missing = []
        for page in DOCS.rglob("*.md"):
            for link in _LINK.findall(page.read_text("utf-8")):
                if not (page.parent / link).exists():
                    missing.append(f"{page.name}: {link}")
        assert missing == []

    def test_index_names_every_page(self):
        """Guards against a page that no reader finds."""
        index = (DOCS / "index.md").read_text("utf-8")
        linked = {(DOCS / link).resolve() for link in _LINK.findall(index)}
        pages = {page.resolve() for page in DOCS.rglob("*.md")}
        assert pages - linked == {(DOCS / "index.md").resolve()}
