#!/bin/sh
# Builds the stand-ins of the scripts. They are Python; this checks that they
# can be read, and that the programs of the deploy file are there.
set -e
cd "$(dirname "$0")"
for file in lib/*.py [1-5]/*.py
do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/bin/limpet-router && test -x ../target/bin/limpet-control
