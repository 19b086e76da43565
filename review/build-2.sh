#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They are
# Python programs of this folder alone and need only their syntax checked.
set -e
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m py_compile lib2/stand_ins.py 6/case.py 7/case.py 8/case.py \
  9/case.py 10/case.py
