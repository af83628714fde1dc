"""Targets: may one get work, and what would the work cost there."""

from sassafrasflow.targets.directory import *
from sassafrasflow.targets.target import *
