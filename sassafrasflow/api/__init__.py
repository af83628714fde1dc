"""HTTP interface for callers and operators."""

from sassafrasflow.api.app import *
from sassafrasflow.api.protocol import *
from sassafrasflow.api.requests import *
from sassafrasflow.api.server import *
from sassafrasflow.api.status import *
