#!/bin/sh
# Checks the scripts and stand-ins of the second review. They are plain Python files of the
# standard library, so nothing has to be installed or compiled ahead of a run.
set -e
cd "$(dirname "$0")/.."
test -d target/deps/siskinhold_platform || {
    echo "build the deploy file first: python3 deploy/build.py" >&2
    exit 1
}
python3 -m py_compile review/standins_2.py
for case in review/[6-9]/case.py review/10/case.py; do
    test -f "$case" || continue
    python3 -m py_compile "$case"
done
