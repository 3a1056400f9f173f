#!/bin/sh
# The stand-ins are Python files without dependencies; this compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*/case.py
