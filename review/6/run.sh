#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
# VARIANT=late runs the second form of the case.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 "${VARIANT:-run}.py"
