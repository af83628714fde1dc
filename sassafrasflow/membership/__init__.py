"""Membership of instances and the state that they share by gossip."""

from sassafrasflow.membership.gossip import *
from sassafrasflow.membership.messages import *
from sassafrasflow.membership.node import *
from sassafrasflow.membership.policy import *
from sassafrasflow.membership.polling import *
from sassafrasflow.membership.shared import *
from sassafrasflow.membership.state import *
from sassafrasflow.membership.view import *
