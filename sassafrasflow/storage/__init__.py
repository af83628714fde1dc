"""Interfaces to the services that the platform gives, and HTTP clients."""

from sassafrasflow.storage.client import *
from sassafrasflow.storage.interfaces import *
