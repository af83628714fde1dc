#!/bin/sh
# Builds the stand-ins that the scripts start: the project's own and those of
# the cases. They are Python, so this checks that each of them compiles.
cd "$(dirname "$0")/.." || exit 1
for file in review/common/*.py review/[0-9]/*.py \
    sassafrasflow/platform/tests/standins.py \
    sassafrasflow/platform/tests/callers.py; do
    PYTHONPATH=target/deps python3 -c '
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
PYTHONPATH=target/deps:.:review/common python3 -c 'import harness'
