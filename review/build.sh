#!/bin/sh
# Checks the stand-ins, which are Python programs that use the standard library alone: nothing is
# compiled. The instances themselves come from the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"
for path in sorted(glob.glob("standins/*.py") + glob.glob("*/case.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
print("the stand-ins are in order")
CHECK
