"""Leases that allow one instance at a time to send orders."""

from sassafrasflow.leases.keeper import *
from sassafrasflow.leases.lease import *
