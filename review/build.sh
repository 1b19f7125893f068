#!/bin/sh
# Builds the stand-ins of the scripts: Python sources that need the standard library alone.
cd "$(dirname "$0")/.." || exit 2
for source in review/stand_ins.py review/*/case.py; do
    [ -e "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source" || exit 1
done
python3 -c 'import asyncio, tomllib'
