#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside target/lovagebeam. Their stand-ins are Python
# programs, so they are only checked.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast
for name in ("review/harness_3.py", "review/standin_runner_3.py"):
    with open(name) as file:
        ast.parse(file.read(), name)
CHECK
