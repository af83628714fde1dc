"""Interface to plain services behind the system, and the HTTP adapter."""

from sassafrasflow.services.client import *
from sassafrasflow.services.interface import *
