#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: they are Python of the standard
# library alone, so this only compiles them, to find what this Python can't run.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins_2.py review/6/case.py review/7/case.py review/8/case.py \
    review/9/case.py review/10/case.py; do
    [ -f "$source" ] || continue
    python3 - "$source" <<'PYTHON'
import py_compile
import sys

name = sys.argv[1].replace("/", "-")
py_compile.compile(sys.argv[1], cfile=f"target/review-2/{name}c", doraise=True)
PYTHON
done
