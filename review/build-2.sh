#!/usr/bin/env bash
# Builds what the scripts of this review (6 to 10) start. The stand-ins are Python programs, which
# need no build: this checks that the interpreter has all that they use, and that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -B - <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later (tomllib)"
for path in ("tests/integration/harness.py", "tests/integration/platform_standins.py",
             "review/standins-2/kit.py"):
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
