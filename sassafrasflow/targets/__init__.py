"""State of the targets: which may get work, and how loaded they are."""

from sassafrasflow.targets.breaker import *
from sassafrasflow.targets.directory import *
from sassafrasflow.targets.leaving import *
from sassafrasflow.targets.pool import *
from sassafrasflow.targets.route_breakers import *
from sassafrasflow.targets.suspicion import *
from sassafrasflow.targets.target import *
