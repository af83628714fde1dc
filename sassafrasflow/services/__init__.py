"""Interface to plain services and its HTTP client."""

from sassafrasflow.services.client import *
from sassafrasflow.services.interface import *
