#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
