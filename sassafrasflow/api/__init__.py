"""HTTP interface for callers and operators."""

from sassafrasflow.api.app import *
from sassafrasflow.api.server import *
