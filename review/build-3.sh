#!/bin/sh
# Builds the stand-ins that the scripts of cases 12 to 15 and of found-3/hang start: they are
# Python modules, those of tests/soak included, and are only compiled.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m py_compile tests/soak/soak.py tests/soak/database_group.py \
    tests/soak/platform_standin.py tests/soak/proxy.py \
    review/12/run.py review/13/run.py review/14/run.py review/15/run.py review/found-3/hang/run.py
