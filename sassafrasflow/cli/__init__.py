"""Command line of the product."""

from sassafrasflow.cli.main import *
