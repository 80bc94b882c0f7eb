#!/usr/bin/env bash
# The stand-ins are Python and need no build: this only checks that they can be loaded. The programs
# under test come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
    print("checked", path)
PYTHON
