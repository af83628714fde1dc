"""Interface to model engines, its messages and its HTTP client."""

from sassafrasflow.engines.blocks import *
from sassafrasflow.engines.client import *
from sassafrasflow.engines.interface import *
from sassafrasflow.engines.messages import *
