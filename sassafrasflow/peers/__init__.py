"""Calls between instances over pycapnp."""

from sassafrasflow.peers.listener import *
from sassafrasflow.peers.loop import *
from sassafrasflow.peers.traffic import *
from sassafrasflow.peers.transport import *
