#!/usr/bin/env bash
# Checks that the stand-ins can run. They are Python scripts without dependencies; the hosts come
# from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -B - standin/*.py ./*/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
test -x ../target/release/bergamotvaled || echo "build the deploy file before running a case"
