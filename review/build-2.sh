#!/bin/bash
# The stand-ins are Python; there is nothing to build but the check that they can be read.
set -e
cd "$(dirname "$0")"
for file in lib-2/*.py 6/case.py 7/case.py 8/case.py 9/case.py 10/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
    fi
done
