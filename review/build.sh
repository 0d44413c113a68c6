#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python programs (harness.py and the case.py of each case) that need no
# build; this checks that the interpreter is there and that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import glob
for path in ["harness.py"] + sorted(glob.glob("*/case.py")):
    compile(open(path).read(), path, "exec")
PYTHON
