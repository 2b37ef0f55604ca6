#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python without dependencies, compiled ahead.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins-2
