"""Membership: who is there, and the state that instances share."""

from sassafrasflow.membership.shared import *
from sassafrasflow.membership.view import *
