#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python && .venv/bin/python -B -m py_compile review/1/case.py review/standins/*.py || exit 2
timeout -k 5 110 .venv/bin/python -B review/1/case.py
code=$?
test "$code" -le 1 && exit "$code"
exit 2
