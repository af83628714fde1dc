"""Logs and metrics."""

from sassafrasflow.observability.logs import *
from sassafrasflow.observability.metrics import *
from sassafrasflow.observability.timing import *
