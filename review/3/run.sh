#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0: no configuration and no restarts. MOVE=0: the restarts alone.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}" exec python3 review/3/case.py
