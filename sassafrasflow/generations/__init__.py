"""Generations: which token may be appended and delivered."""

from sassafrasflow.generations.attempts import *
from sassafrasflow.generations.generation import *
from sassafrasflow.generations.journal import *
from sassafrasflow.generations.registry import *
from sassafrasflow.generations.runner import *
