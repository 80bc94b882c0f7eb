#!/usr/bin/env bash
# Prepares what the scripts of this review start beside the program of the deploy file. The stand-ins
# are Python programs and need no build: this checks the interpreter, and that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later (tomllib)"
for path in ("tests/integration/harness.py", "tests/integration/platform_standins.py",
             "review/standins-3/kit.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
