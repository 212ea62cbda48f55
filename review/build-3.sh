#!/bin/sh
# Checks the stand-ins of the cases from 11 on. They are Python of the standard library, so nothing is compiled.
set -eu
cd "$(dirname "$0")"
for it in lib3/testbed.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$it"
done
