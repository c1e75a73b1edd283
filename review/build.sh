#!/bin/sh
# The stand-ins are Python programs of the standard library; this checks that they compile.
cd "$(dirname "$0")" || exit 1
python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
