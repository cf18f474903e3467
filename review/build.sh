#!/bin/sh
# The stand-ins of the cases are Python programs that use the standard library alone, so there is nothing to compile: this only checks
# that the interpreter can load them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit("Python 3.9 or later is needed" if sys.version_info < (3, 9) else 0)'
for file in standins.py */case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
