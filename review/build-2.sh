#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs, which need no build;
# this checks that they can be run.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
