#!/bin/sh
# Build dist/sassafrasflow.pyz, a single file that runs in one process with
# Python 3.11. PYTHON is the interpreter of a virtual environment with shiv.
set -eu
site=build/site
rm -rf "$site" build/lib build/bdist.*
mkdir -p dist "$site"
"$PYTHON" -m pip install -q --no-compile --target "$site" \
    --constraint constraints.txt .
# Remove dependencies that the daemon never imports; a smaller file takes less
# memory where it is unpacked.
for unused in faker polyfactory litestar_htmx setuptools pbr bin; do
    rm -rf "${site:?}/$unused"
done
"$PYTHON" -m shiv.cli --site-packages "$site" \
    --preamble tools/binary_preamble.py \
    --entry-point sassafrasflow.cli.main:main --reproducible --compressed \
    --python "/usr/bin/env python3.11" --output-file dist/sassafrasflow.pyz
