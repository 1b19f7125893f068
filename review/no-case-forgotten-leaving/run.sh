#!/bin/sh
# TROUBLE=0 plays the same without the disruption. Writes record.txt beside this file.
exec python3 -B "$(dirname "$0")/case.py"
