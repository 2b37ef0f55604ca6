#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without it.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -B review/3/case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
