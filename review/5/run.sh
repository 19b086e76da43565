#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
CASE="$(cd "$(dirname "$0")" && pwd)"
export CASE
exec python3 "$CASE/case.py"
