#!/bin/sh
# The stand-ins are Python modules that need no build beyond the deploy
# file's: check that they and the project's own can be loaded.
cd "$(dirname "$0")/common-3" || exit 2
exec python3 -B -c "import deployment"
