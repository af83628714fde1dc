"""Release notes that operators submit, and their gradual rollout."""

from sassafrasflow.releases.assembly import *
from sassafrasflow.releases.collector import *
from sassafrasflow.releases.evidence import *
from sassafrasflow.releases.evidence_exchange import *
from sassafrasflow.releases.leader import *
from sassafrasflow.releases.note import *
from sassafrasflow.releases.note_manager import *
from sassafrasflow.releases.note_store import *
from sassafrasflow.releases.page import *
from sassafrasflow.releases.placement import *
from sassafrasflow.releases.reconciler import *
from sassafrasflow.releases.report import *
from sassafrasflow.releases.rollout import *
from sassafrasflow.releases.validation import *
from sassafrasflow.releases.verdict import *
from sassafrasflow.releases.watcher import *
