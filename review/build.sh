#!/bin/bash
# The stand-ins of the cases are Python programs that use the standard library alone. Nothing has to be compiled; this
# checks that the interpreter is there and can read them.
set -e
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m py_compile lib/*.py [0-9]/*.py
