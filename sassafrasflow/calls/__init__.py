"""Calls to plain services; one that may not be repeated runs once."""

from sassafrasflow.calls.claim import *
from sassafrasflow.calls.desk import *
