"""Calls to plain services; a non-idempotent call runs at most once."""

from sassafrasflow.calls.batch import *
from sassafrasflow.calls.call import *
from sassafrasflow.calls.claim import *
from sassafrasflow.calls.dispatcher import *
from sassafrasflow.calls.handler import *
from sassafrasflow.calls.store import *
from sassafrasflow.calls.sweeper import *
from sassafrasflow.calls.writer import *
