"""Choice of the target that a request is sent to."""

from sassafrasflow.routing.cache_feed import *
from sassafrasflow.routing.cost import *
from sassafrasflow.routing.prefixes import *
from sassafrasflow.routing.retries import *
from sassafrasflow.routing.router import *
from sassafrasflow.routing.service_targets import *
from sassafrasflow.routing.versions import *
