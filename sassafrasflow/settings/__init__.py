"""Settings of one instance, read from a JSON file and checked."""

from sassafrasflow.settings.loader import *
from sassafrasflow.settings.schema import *
