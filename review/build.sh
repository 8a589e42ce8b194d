#!/usr/bin/env bash
# The stand-ins are Python 3 programs without dependencies; this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import glob
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or later")
for path in sorted(glob.glob("standins/*.py") + glob.glob("[0-9]/case.py")):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
print("the stand-ins are ready")
CHECK
