"""Run the command line as ``python -m sassafrasflow``."""

import sys

from sassafrasflow import cli

if __name__ == "__main__":
    sys.exit(cli.main())
