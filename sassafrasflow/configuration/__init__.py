"""Configuration of a deployment, whose revision only increases."""

from sassafrasflow.configuration.document import *
from sassafrasflow.configuration.exchange import *
from sassafrasflow.configuration.keeper import *
from sassafrasflow.configuration.publisher import *
