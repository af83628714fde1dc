"""Configuration: one revision that only ever goes up."""

from sassafrasflow.configuration.document import *
from sassafrasflow.configuration.exchange import *
from sassafrasflow.configuration.keeper import *
from sassafrasflow.configuration.publisher import *
