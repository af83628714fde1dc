"""Calls between instances over pycapnp."""

from sassafrasflow.peers.transport import *
