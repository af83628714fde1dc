"""Leases: who may give orders, and until when."""

from sassafrasflow.leases.keeper import *
from sassafrasflow.leases.lease import *
