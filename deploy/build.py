"""Builds the modules that the roles load, and puts them at target/deps at once.

Run at the root of a checkout. Each build makes a tree of its own under target/trees;
target/deps is a link to the current one. A process that loads modules while a build
runs finds a complete tree at any moment.
"""

import ctypes
import fcntl
import hashlib
import os
import platform
import shutil
import subprocess
import sys
from pathlib import Path

REQUIREMENTS = Path("deploy/requirements.txt")
SOURCES = (Path("src/siskinhold"), Path("platform/siskinhold_platform"))
TARGET = Path("target")
CURRENT = TARGET / "deps"
TREES = TARGET / "trees"
LOCK = TARGET / "trees.lock"
STAMP = ".libraries"

_AT_FDCWD = -100
_RENAME_EXCHANGE = 2


def build() -> None:
    """Build a tree, make it the current one and remove those before the previous one.

    Builds of one checkout wait for each other.

    Raises:
        CalledProcessError: The libraries can't be installed or a source can't be
            compiled. The current tree stays.
    """
    TREES.mkdir(parents=True, exist_ok=True)
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        previous = _find_current()
        _remove_trees(previous)
        tree = _name_tree()
        _add_libraries(tree, previous)
        _add_sources(tree)
        _switch(tree)


def _find_current() -> Path | None:
    """Return the folder behind target/deps, None if there is none."""
    if not CURRENT.is_dir():
        return None
    if not CURRENT.is_symlink():
        return CURRENT
    return TREES / Path(os.readlink(CURRENT)).name


def _remove_trees(kept: Path | None) -> None:
    """Remove all trees but the one kept, those of interrupted builds too."""
    for tree in TREES.iterdir():
        if tree == kept:
            continue
        if tree.is_symlink():
            tree.unlink()
            continue
        shutil.rmtree(tree)


def _name_tree() -> Path:
    """Return the path of a tree that does not exist."""
    number = 1
    while (TREES / str(number)).exists():
        number += 1
    return TREES / str(number)


def _add_libraries(tree: Path, previous: Path | None) -> None:
    """Take the libraries from the previous tree if they fit, else install them."""
    stamp = _describe_libraries()
    if previous is not None and _read_stamp(previous) == stamp:
        own = shutil.ignore_patterns(*(source.name for source in SOURCES))
        shutil.copytree(previous, tree, ignore=own, copy_function=os.link)
        return
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--disable-pip-version-check", "--upgrade"]
    command += ["--target", str(tree), "-r", str(REQUIREMENTS)]
    subprocess.run(command, check=True)
    tree.mkdir(exist_ok=True)
    (tree / STAMP).write_text(stamp)


def _describe_libraries() -> str:
    """Return what installed libraries depend on: machine, Python and requirements."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    return f"{platform.machine()}\n{sys.version}\n{digest}\n"


def _read_stamp(tree: Path) -> str | None:
    """Return what the libraries of a tree were installed for, None if unknown."""
    try:
        return (tree / STAMP).read_text()
    except FileNotFoundError:
        return None


def _add_sources(tree: Path) -> None:
    """Copy the sources into the tree and compile them."""
    ignore = shutil.ignore_patterns("__pycache__")
    packages = []
    for source in SOURCES:
        shutil.copytree(source, tree / source.name, ignore=ignore)
        packages.append(str(tree / source.name))
    command = [sys.executable, "-m", "compileall", "-q", *packages]
    subprocess.run(command, check=True)


def _switch(tree: Path) -> None:
    """Make target/deps a link to the tree."""
    link = TREES / "link"
    link.symlink_to(tree.relative_to(TARGET))
    if CURRENT.is_symlink() or not CURRENT.exists():
        os.replace(link, CURRENT)
        return
    # A link can't replace the plain folder of an older build.
    if not _exchange(link, CURRENT):
        CURRENT.rename(TREES / "plain")
        os.replace(link, CURRENT)
        return
    link.rename(TREES / "plain")


def _exchange(first: Path, second: Path) -> bool:
    """Exchange two paths at once; return whether the file system can do so."""
    library = ctypes.CDLL(None)
    if not hasattr(library, "renameat2"):
        return False
    result = library.renameat2(
        _AT_FDCWD,
        ctypes.c_char_p(os.fsencode(first)),
        _AT_FDCWD,
        ctypes.c_char_p(os.fsencode(second)),
        ctypes.c_uint(_RENAME_EXCHANGE),
    )
    return result == 0


if __name__ == "__main__":
    build()
