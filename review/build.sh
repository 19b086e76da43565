#!/bin/sh
# The stand-ins are Python files: checks that they can be compiled.
cd "$(dirname "$0")" && exec python3 -m py_compile lib/*.py [0-9]/*.py 2/variants/*/*.py
