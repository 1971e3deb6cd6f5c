#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the deploy file's build: the stand-ins and clients of
# review/standins2 need Python's standard library only, so compiling them shows that this Python can run them.
cd "$(dirname "$0")/.." || exit 2
for folder in review/standins2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder" || exit 1
done
