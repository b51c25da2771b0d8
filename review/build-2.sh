#!/bin/sh
# Checks the stand-ins of cases 4 and later. They are plain Python without dependencies.
set -e
cd "$(dirname "$0")"
for file in lab2/*.py [4-8]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
