"""Admission control: which organisation's work starts, and how much."""

from sassafrasflow.organisations.demand import *
from sassafrasflow.organisations.fair_queue import *
from sassafrasflow.organisations.gate import *
from sassafrasflow.organisations.limiter import *
from sassafrasflow.organisations.quota import *
