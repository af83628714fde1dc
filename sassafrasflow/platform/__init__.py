"""Interfaces to the services that the platform gives, and HTTP clients."""

from sassafrasflow.platform.client import *
from sassafrasflow.platform.interfaces import *
