#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs of the standard library, so nothing is compiled: checks that the
# interpreter is there, that it is new enough and that it can read them.
set -e
cd "$(dirname "$0")"
python3 -B - standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'P'
import ast
import sys

assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
echo "the stand-ins can be run"
