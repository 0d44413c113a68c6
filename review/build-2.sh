#!/bin/sh
# Builds the stand-ins of review/6 to review/10. They are Python, so there is nothing to compile: this checks that
# they can be read and that the build of the deploy file has been run.
set -eu
cd "$(dirname "$0")"
for file in harness_2.py 6/run.py 6/late.py 7/run.py 8/run.py 9/run.py 10/run.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/lovagebeam || { echo "run the build of the deploy file first" >&2; exit 1; }
