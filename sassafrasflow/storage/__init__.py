"""Interfaces to the platform's services, and their HTTP client."""

from sassafrasflow.storage.client import *
from sassafrasflow.storage.interfaces import *
