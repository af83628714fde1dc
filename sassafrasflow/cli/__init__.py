"""Command line interface."""

from sassafrasflow.cli.main import *
