"""Releases: notes that operators submit, and what becomes of them."""

from sassafrasflow.releases.desk import *
from sassafrasflow.releases.note import *
