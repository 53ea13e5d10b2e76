#!/usr/bin/env bash
# The stand-ins of all cases are Python programs that use the standard library
# only. Nothing has to be compiled; this checks that the interpreter can load
# them. The clang-format package of .ci/packages.txt depends on python3.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for file in standin/*.py [0-9]*/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
