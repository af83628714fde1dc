"""Routing: which target a request goes to."""

from sassafrasflow.routing.router import *
from sassafrasflow.routing.versions import *
