#!/bin/sh
# The stand-ins are plain Python files of the standard library: building them means checking that they compile.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python -m compileall -q review
