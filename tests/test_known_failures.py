"""Tests of the list of tests that are known to fail."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from conftest import parse_entries

CONFTEST = Path(__file__).parents[1] / "conftest.py"

ENTRY = """\
test: tests/test_x.py::test_{name}
command: python -m pytest tests/test_x.py::test_{name}
seen: assert 1 == 2
issue: 24
"""

MODULE = """\
import pytest

@pytest.fixture
def broken():
    raise RuntimeError

def test_fails():
    assert 1 == 2

def test_fails_longer():
    assert 1 == 2

def test_passes():
    pass

def test_with_a_broken_fixture(broken):
    pass
"""


def write_entries(*names: str) -> str:
    """Return a list with the entries of some tests."""
    return "\n".join(ENTRY.format(name=name) for name in names)


class TestParser:
    def test_fields_of_each_entry_are_read(self):
        """Guards against entries that are read as one, and against lost colons."""
        text = "# Comment\n\n" + write_entries("fails", "fails_longer[0.15-x]")
        entries = parse_entries(text)
        first, second = entries.values()
        assert first.test == "tests/test_x.py::test_fails"
        assert first.command == "python -m pytest tests/test_x.py::test_fails"
        assert (first.seen, first.issue) == ("assert 1 == 2", "24")
        assert second.test == "tests/test_x.py::test_fails_longer[0.15-x]"

    def test_empty_list_has_no_entries(self):
        """Guards against an error once the last entry is removed."""
        assert parse_entries("# Comment\n\n") == {}

    @pytest.mark.parametrize("name", ["test", "command", "seen", "issue"])
    def test_entry_without_a_field_is_rejected(self, name):
        """Guards against entries that don't say what was seen, or how."""
        lines = ENTRY.format(name="fails").splitlines()
        text = "\n".join(line for line in lines if not line.startswith(f"{name}:"))
        with pytest.raises(ValueError, match=f"entry without {name}"):
            parse_entries(text)

    @pytest.mark.parametrize(
        "line", ["tests/test_x.py", "seen:", "reason: load", "issue: 24\nissue: 25"]
    )
    def test_malformed_line_is_rejected(self, line):
        """Guards against lines that are passed over."""
        with pytest.raises(ValueError, match="^line "):
            parse_entries(f"test: tests/test_x.py::test_fails\n{line}\n")

    def test_test_that_is_listed_twice_is_rejected(self):
        """Guards against an entry that hides another one."""
        with pytest.raises(ValueError, match="is listed twice"):
            parse_entries(write_entries("fails", "fails"))


class TestRun:
    @pytest.fixture
    def run(self, tmp_path):
        """Return a function that runs pytest on a module with a list of entries."""

        def act(entries, *arguments):
            shutil.copy(CONFTEST, tmp_path)
            (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
            (tmp_path / "tests").mkdir()
            (tmp_path / "tests" / "test_x.py").write_text(MODULE)
            if entries is not None:
                (tmp_path / "KNOWN-RED.txt").write_text(entries)
            command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
            environment = {**os.environ, "PYTEST_ADDOPTS": ""}
            result = subprocess.run(
                [*command, *arguments],
                cwd=tmp_path,
                env=environment,
                capture_output=True,
                text=True,
                timeout=60,
            )
            return result.returncode, result.stdout + result.stderr

        return act

    def test_listed_failures_pass_and_are_printed(self, run):
        """Guards against known failures that stop the run, or are not shown."""
        entries = write_entries("fails", "fails_longer")
        code, output = run(entries, "-k", "fails or passes")
        assert code == 0, output
        assert "1 passed" in output and "2 xfailed" in output
        assert "failed: tests/test_x.py::test_fails (issue 24)" in output
        assert "failed: tests/test_x.py::test_fails_longer (issue 24)" in output
        assert "assert 1 == 2" in output

    def test_only_exact_ids_are_passed_over(self, run):
        """Guards against entries that cover tests with a longer name."""
        code, output = run(write_entries("fails"), "-k", "fails")
        assert code == 1, output
        assert "1 failed" in output and "1 xfailed" in output

    def test_listed_test_that_passes_fails_the_run(self, run):
        """Guards against entries that stay after the fix."""
        code, output = run(write_entries("passes"), "-k", "passes")
        assert code == 1, output
        assert "remove its entry" in output

    def test_failure_of_a_fixture_is_not_passed_over(self, run):
        """Guards against entries that hide a test which can't run at all."""
        entries = write_entries("with_a_broken_fixture")
        code, output = run(entries, "-k", "broken_fixture")
        assert code == 1, output
        assert "1 error" in output

    def test_entry_without_a_test_stops_a_run_of_all_tests(self, run):
        """Guards against entries of tests that were renamed or removed."""
        code, output = run(write_entries("fails", "renamed"))
        assert code == 4, output
        assert "no such test: tests/test_x.py::test_renamed" in output

    def test_entries_of_other_tests_do_not_stop_a_run_of_one(self, run):
        """Guards against an error whenever a single test is run."""
        entries = write_entries("fails", "renamed")
        code, output = run(entries, "tests/test_x.py::test_passes")
        assert code == 0, output
        assert "not run: tests/test_x.py::test_fails (issue 24)" in output

    def test_malformed_list_stops_the_run(self, run):
        """Guards against a list that is passed over."""
        code, output = run("tests/test_x.py::test_fails\n", "-k", "passes")
        assert code == 4, output
        assert "KNOWN-RED.txt: line 1" in output

    def test_every_failure_counts_without_the_list(self, run):
        """Guards against failures that are passed over without an entry."""
        code, output = run(None)
        assert code == 1, output
        assert "2 failed, 1 passed, 1 error" in output
        assert "KNOWN-RED" not in output
