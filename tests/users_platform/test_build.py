"""Tests of the build that deploy/system.toml names, in checkouts of their own.

An installer that stands in for pip needs no network.
"""

import os
import shutil
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
COUNT = 60
"""Modules of each package of a checkout under test."""

INSTALLER = """
import pathlib, sys
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
log = pathlib.Path("installed.log")
number = len(log.read_text().split()) + 1 if log.exists() else 1
with log.open("a") as lines:
    lines.write(f"{number}\\n")
for index in range(COUNT):
    (target / f"library{index}.py").write_text(f"NUMBER = {number}\\n")
"""

READER = """
import importlib, sys, time
sys.dont_write_bytecode = True
sys.path.insert(0, "target/deps")
names = []
for index in range(COUNT):
    names.append(f"siskinhold.module{index}")
    names.append(f"siskinhold_platform.module{index}")
    names.append(f"library{index}")
print("ready", flush=True)
end = time.monotonic() + 20
rounds = 0
while time.monotonic() < end:
    for name in names:
        importlib.import_module(name)
    for name in [*names, "siskinhold", "siskinhold_platform"]:
        del sys.modules[name]
    importlib.invalidate_caches()
    rounds += 1
    print(rounds, flush=True)
"""


class Checkout:
    """A checkout with small packages, and the real build."""

    def __init__(self, *, root: Path) -> None:
        self.root = root
        shutil.copytree(ROOT / "deploy", root / "deploy")
        for folder in ("src/siskinhold", "platform/siskinhold_platform"):
            package = root / folder
            package.mkdir(parents=True)
            (package / "__init__.py").write_text("")
            for index in range(COUNT):
                (package / f"module{index}.py").write_text("NUMBER = 1\n")
        pip = root / "installer" / "pip"
        pip.mkdir(parents=True)
        (pip / "__init__.py").write_text("")
        (pip / "__main__.py").write_text(f"COUNT = {COUNT}\n{INSTALLER}")
        deploy = tomllib.loads((root / "deploy" / "system.toml").read_text())
        self.command = deploy["build"]
        self.environment = dict(os.environ)
        self.environment["PYTHONPATH"] = str(root / "installer")
        self.environment["PATH"] = os.pathsep.join(
            [str(Path(sys.executable).parent), os.environ["PATH"]]
        )
        self.deps = root / "target" / "deps"

    def start_build(self, *, environment=None) -> subprocess.Popen:
        return subprocess.Popen(
            self.command,
            shell=True,
            cwd=self.root,
            env=environment or self.environment,
            stderr=subprocess.PIPE,
            text=True,
        )

    def build(self, *, environment=None) -> None:
        process = self.start_build(environment=environment)
        errors = process.communicate(timeout=60)[1]
        assert process.returncode == 0, errors

    def start_reader(self) -> subprocess.Popen:
        reader = subprocess.Popen(
            [sys.executable, "-S", "-c", f"COUNT = {COUNT}\n{READER}"],
            cwd=self.root,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        assert reader.stdout.readline() == "ready\n"
        return reader

    def count_installations(self) -> int:
        return len((self.root / "installed.log").read_text().split())

    def list_modules(self) -> set[str]:
        modules = set()
        for path in self.deps.rglob("*.py"):
            modules.add(str(path.relative_to(self.deps)))
        return modules

    def list_expected(self) -> set[str]:
        expected = {"siskinhold/__init__.py", "siskinhold_platform/__init__.py"}
        for index in range(COUNT):
            expected.add(f"siskinhold/module{index}.py")
            expected.add(f"siskinhold_platform/module{index}.py")
            expected.add(f"library{index}.py")
        return expected


@pytest.fixture
def checkout(tmp_path):
    return Checkout(root=tmp_path)


def finish_reader(reader: subprocess.Popen) -> int:
    """End a reader; return the number of times it loaded all modules."""
    failed = reader.poll() is not None
    reader.terminate()
    output, errors = reader.communicate(timeout=10)
    assert not failed, errors
    return len(output.split())


def leave_older_build(checkout: Checkout) -> None:
    """Leave what builds that replaced target/deps in place have left."""
    for source in ("src/siskinhold", "platform/siskinhold_platform"):
        folder = checkout.root / source
        shutil.copytree(folder, checkout.deps / folder.name)
    for index in range(COUNT):
        (checkout.deps / f"library{index}.py").write_text("NUMBER = 0\n")
    (checkout.deps / ".installed").touch()


class TestReaders:
    """What a process finds that loads modules while a build runs."""

    def test_modules_are_complete_while_builds_run(self, checkout):
        """A build that replaced the modules in place ended the processes of a play
        beside it, which found modules missing."""
        checkout.build()
        reader = checkout.start_reader()
        try:
            end = time.monotonic() + 3.0
            builds = 0
            while time.monotonic() < end and reader.poll() is None:
                checkout.build()
                builds += 1
        finally:
            rounds = finish_reader(reader)
        assert builds >= 2
        assert rounds >= 2

    def test_modules_are_complete_while_an_older_build_is_replaced(self, checkout):
        """The folder of an older build is no link, and can't be replaced by one as
        a link is."""
        leave_older_build(checkout)
        reader = checkout.start_reader()
        try:
            checkout.build()
            time.sleep(0.2)
        finally:
            rounds = finish_reader(reader)
        assert rounds >= 2

    def test_files_that_a_reader_has_open_stay(self, checkout):
        """The tree that was current before a build is still there after it."""
        checkout.build()
        before = checkout.deps.resolve()
        checkout.build()
        assert checkout.deps.resolve() != before
        assert (before / "siskinhold" / "module0.py").read_text() == "NUMBER = 1\n"


class TestTrees:
    """What a build leaves."""

    def test_clean_checkout_is_built(self, checkout):
        """target does not exist before the first build."""
        checkout.build()
        assert checkout.list_modules() == checkout.list_expected()
        assert {path.name for path in checkout.root.iterdir()} == {
            "deploy",
            "installed.log",
            "installer",
            "platform",
            "src",
            "target",
        }

    def test_changed_sources_are_built(self, checkout):
        """A module that is gone from the sources goes, and a changed one changes."""
        checkout.build()
        package = checkout.root / "src" / "siskinhold"
        (package / "module0.py").unlink()
        (package / "module1.py").write_text("NUMBER = 2\n")
        checkout.build()
        expected = checkout.list_expected() - {"siskinhold/module0.py"}
        assert checkout.list_modules() == expected
        module = checkout.deps / "siskinhold" / "module1.py"
        assert module.read_text() == "NUMBER = 2\n"

    def test_libraries_are_kept(self, checkout):
        """A second build needs no network."""
        checkout.build()
        checkout.build()
        assert checkout.count_installations() == 1
        assert checkout.list_modules() == checkout.list_expected()

    def test_changed_requirements_are_installed(self, checkout):
        """Libraries that were installed for other requirements are not used."""
        checkout.build()
        (checkout.root / "deploy" / "requirements.txt").write_text("h11\n")
        checkout.build()
        assert checkout.count_installations() == 2
        assert (checkout.deps / "library0.py").read_text() == "NUMBER = 2\n"

    def test_libraries_of_another_kind_of_machine_are_replaced(self, checkout):
        """A folder that was carried over from another kind of machine holds
        libraries that can't be loaded here."""
        checkout.build()
        (checkout.root / "installer" / "sitecustomize.py").write_text(
            "import platform\nplatform.machine = lambda: 'other'\n"
        )
        checkout.build()
        assert checkout.count_installations() == 2

    def test_older_build_is_replaced(self, checkout):
        """Nothing says for which machine an older build installed its libraries."""
        leave_older_build(checkout)
        checkout.build()
        assert checkout.list_modules() == checkout.list_expected()
        assert (checkout.deps / "library0.py").read_text() == "NUMBER = 1\n"

    def test_old_trees_are_removed(self, checkout):
        """Builds don't fill the disk, nor do those that were interrupted."""
        leave_older_build(checkout)
        checkout.build()
        interrupted = checkout.deps.resolve().parent / "interrupted"
        shutil.copytree(checkout.deps, interrupted)
        for _ in range(3):
            checkout.build()
        modules = list((checkout.root / "target").rglob("library0.py"))
        assert len(modules) <= 3

    def test_failed_build_leaves_the_current_tree(self, checkout):
        """The libraries can't be installed, as the network is away."""
        checkout.build()
        before = checkout.list_modules()
        (checkout.root / "deploy" / "requirements.txt").write_text("h11\n")
        main = checkout.root / "installer" / "pip" / "__main__.py"
        main.write_text("raise SystemExit(1)\n")
        process = checkout.start_build()
        process.communicate(timeout=60)
        assert process.returncode != 0
        assert checkout.list_modules() == before


class TestOverlap:
    """Builds of one checkout that run at the same time."""

    def test_builds_at_the_same_time_succeed(self, checkout):
        """Two plays build the same checkout."""
        processes = []
        for _ in range(4):
            processes.append(checkout.start_build())
        for process in processes:
            errors = process.communicate(timeout=60)[1]
            assert process.returncode == 0, errors
        assert checkout.list_modules() == checkout.list_expected()
        assert checkout.count_installations() == 1
