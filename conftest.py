"""Tests that are known to fail, as listed in `KNOWN-RED.txt`.

Each entry names one test by its exact node id. A listed test may fail without failing
the run, and fails the run if it passes, so that its entry is removed with the fix. The
terminal summary prints all entries. Without the file, every failure counts.

An entry consists of one line for each field; entries are separated by empty lines:

    test: tests/test_x.py::TestX::test_y
    command: python -m pytest tests/test_x.py::TestX::test_y
    seen: assert 1 == 2
    issue: 24
"""

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"

FIELDS = ("test", "command", "seen", "issue")


@dataclass(slots=True, kw_only=True)
class Entry:
    """A test that is known to fail.

    Args:
        test: its node id.
        command: what runs it, with the seed if it has one.
        seen: how it fails.
        issue: number of the issue on the fault.
        outcome: result of this run.
    """

    test: str
    command: str
    seen: str
    issue: str
    outcome: str = "not run"


def parse_entries(text: str) -> dict[str, Entry]:
    """Return the entries by node id.

    Raises:
        ValueError: if a line or an entry is malformed, or a test is listed twice.
    """
    entries = {}
    fields = {}
    for number, line in enumerate([*text.splitlines(), ""], start=1):
        line = line.strip()
        if line.startswith("#"):
            continue
        if line:
            name, separator, value = line.partition(":")
            value = value.strip()
            if name not in FIELDS or not separator or not value:
                raise ValueError(f"line {number}: expected one of {FIELDS} and a value")
            if name in fields:
                raise ValueError(f"line {number}: second {name!r} in one entry")
            fields[name] = value
            continue
        if not fields:
            continue
        missing = [name for name in FIELDS if name not in fields]
        if missing:
            raise ValueError(f"line {number}: entry without {', '.join(missing)}")
        entry = Entry(**fields)
        if entry.test in entries:
            raise ValueError(f"line {number}: {entry.test} is listed twice")
        entries[entry.test] = entry
        fields = {}
    return entries


class KnownFailures:
    """Plugin that applies the entries to a run.

    Args:
        entries: the entries by node id.
    """

    def __init__(self, *, entries):
        self.entries = entries

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, session, config, items):
        """Reject entries without a test, if the whole suite was collected."""
        if session.testsfailed or not _collects_all(config):
            return
        collected = {item.nodeid for item in items}
        unknown = [test for test in self.entries if test not in collected]
        if unknown:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {', '.join(unknown)}")

    @pytest.hookimpl(wrapper=True, tryfirst=True)
    def pytest_runtest_makereport(self, item, call):
        """Turn the failure of a listed test into an expected one, its pass into one.

        Failures of fixtures count as usual.
        """
        report = yield
        entry = self.entries.get(item.nodeid)
        if entry is None or report.when != "call":
            return report
        if report.failed:
            entry.outcome = "failed"
            report.outcome = "skipped"
            report.wasxfail = f"{FILE_NAME}, issue {entry.issue}"
        elif report.passed:
            entry.outcome = "passed"
            report.outcome = "failed"
            report.longrepr = f"passes, but is listed in {FILE_NAME}: remove its entry"
        return report

    def pytest_terminal_summary(self, terminalreporter):
        """Print the entries with the result of this run."""
        if not self.entries:
            return
        terminalreporter.section(f"tests listed in {FILE_NAME}")
        for entry in self.entries.values():
            terminalreporter.line(
                f"{entry.outcome}: {entry.test} (issue {entry.issue})"
            )
            terminalreporter.line(f"    {entry.seen}")


def _collects_all(config) -> bool:
    """Return whether a run collects all test paths."""
    if config.option.ignore or config.option.ignore_glob:
        return False
    return config.args_source is config.ArgsSource.TESTPATHS


def pytest_configure(config):
    """Read the entries, if the file exists."""
    path = Path(__file__).with_name(FILE_NAME)
    if not path.exists():
        return
    try:
        entries = parse_entries(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(f"{FILE_NAME}: {error}") from error
    config.pluginmanager.register(KnownFailures(entries=entries), "known-failures")
