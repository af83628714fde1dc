"""Generations: model answers that are streamed, replicated and resumed."""

from sassafrasflow.generations.attempts import *
from sassafrasflow.generations.generation import *
from sassafrasflow.generations.journal import *
from sassafrasflow.generations.placement import *
from sassafrasflow.generations.poison import *
from sassafrasflow.generations.registry import *
from sassafrasflow.generations.replicas import *
from sassafrasflow.generations.replication import *
from sassafrasflow.generations.retries import *
from sassafrasflow.generations.runner import *
from sassafrasflow.generations.stalls import *
from sassafrasflow.generations.streams import *
from sassafrasflow.generations.takeover import *
