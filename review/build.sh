#!/usr/bin/env bash
# The stand-ins are Python and need no build; this checks that each compiles with the built Python.
cd "$(dirname "$0")/.." || exit 2
for file in review/*.py review/*/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
