#!/bin/sh
# The stand-ins of review/11 to review/15 are written in Python, with its standard library only, and
# need no build. This checks that the interpreter reads them.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path("stand_ins_3").glob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
sys.exit(sys.version_info < (3, 11))
'
