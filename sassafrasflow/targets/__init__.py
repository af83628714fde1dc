"""Targets: may one get work, and what would the work cost there."""

from sassafrasflow.targets.breaker import *
from sassafrasflow.targets.directory import *
from sassafrasflow.targets.leaving import *
from sassafrasflow.targets.pool import *
from sassafrasflow.targets.route_breakers import *
from sassafrasflow.targets.suspicion import *
from sassafrasflow.targets.target import *
