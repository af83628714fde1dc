#!/bin/sh
# The stand-ins of review/6 and later are Python modules: those of review/common-2
# and sassafrasflow/platform/tests. They need the build of the deploy file only.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1 python3 -c '
import sys
sys.path.insert(0, "review/common-2")
import fleet'
