"""Organisations: who is admitted, in which order, and how many at once."""

from sassafrasflow.organisations.demand import *
from sassafrasflow.organisations.fair_queue import *
from sassafrasflow.organisations.gate import *
from sassafrasflow.organisations.limiter import *
from sassafrasflow.organisations.quota import *
