#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need the standard library only.
set -eu
cd "$(dirname "$0")"
for file in standins.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
