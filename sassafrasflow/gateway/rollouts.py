"""Move a service's traffic to a new version, or take it back.

Operators order a version and the time until it must be in force. The version
gets a small part of the requests until the evidence of all instances is
enough, then hardly any, and all of them shortly before the deadline: a fault
that shows late has then met as few requests as possible.
"""

import enum
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import trials

__all__ = [
    "Arm",
    "Exposure",
    "News",
    "Order",
    "Progress",
    "Record",
    "Rollout",
    "Stage",
    "choose_arm",
    "lead_time_s",
    "next_stage",
]

# Share of the requests that operators allow a bad version, and a constant
# part of which instances that restart leave some unused.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 40
# What trials may take of that; the rest is for the move before the deadline.
TRIAL_SHARE = 0.06
TRIAL_SLACK = 24
# Requests that still try a version when the evidence is enough.
WATCH_SHARE = 0.02
# A trial is drawn with this chance as long as the exposure allows it.
TRIAL_CHANCE = 0.3
# A store that is slow takes a quarter of a second for the last write.
FINISH_MARGIN_S = 1.0
# All traffic is on the new version for this long before the old one stops.
MIN_MOVE_S = 0.5
# A move that starts later than this would end after the deadline.
LATEST_MOVE_S = 0.5
# What an instance that leads has told counts for this long.
FINDING_TTL_S = 1.5
# Streams of the old version take up to 8 s to end.
MAX_LEAD_TIME_S = 9.0
MAX_LEAD_TIME_SHARE = 1 / 3


class Stage(enum.Enum):
    """Tell how far a rollout is."""

    TRYING = "trying"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)


class Arm(enum.Enum):
    """Name the versions that a request may go to."""

    OLD = "old"
    NEW = "new"


class Order(msgspec.Struct, frozen=True):
    """Hold an operator's order to move a service to a version."""

    service: ids.ServiceName
    version: ids.VersionId
    duration_s: float
    # Revision of the row; a repeated order has another one.
    revision: int


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Hold the common state of one rollout; times are the store's."""

    service: ids.ServiceName
    version: ids.VersionId
    order_revision: int
    began_ms: int
    deadline_ms: int
    stage: Stage
    reason: str = ""
    # Revision of the record's row; 0 while it is not written.
    revision: int = 0
    # Counts of all instances when this was written.
    requests: int = 0
    exposed: int = 0
    cells: tuple[trials.Cell, ...] = ()

    def remaining_s(self, store_ms: float) -> float:
        """Return seconds until the deadline."""
        return (self.deadline_ms - store_ms) / 1000


class News(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """Tell other instances the state of a rollout."""

    sender: ids.InstanceId
    record: Record
    finding: trials.Finding


class Progress(msgspec.Struct, frozen=True):
    """Hold what one instance knows of a rollout, summed over all."""

    # Requests of the service since the order, and those of the new version.
    requests: int
    exposed: int
    finding: trials.Finding
    # Targets of the new version are listed.
    present: bool


class Exposure:
    """Bound what one instance sends to a version on trial.

    Each instance keeps to the share of its own requests, so the sum keeps
    to it without messages; the constant part is divided among them.
    """

    def __init__(self, slack: float, rng: random.Random) -> None:
        self._slack = slack
        # Rounds what is allowed up or down, so that parts of a request
        # add up over many instances.
        self._rounding = rng.random()
        # Requests of the service, and those that the version got of them.
        self.requests = 0
        self.sent = 0

    def allows(self, proven: bool) -> bool:
        """Tell whether one more request may try the version."""
        share, slack = TRIAL_SHARE, self._slack
        if proven:
            share, slack = WATCH_SHARE, 0.0
        allowed = share * self.requests + slack
        return self.sent + 1 <= allowed + self._rounding


class Rollout:
    """Hold what this instance knows of one rollout."""

    def __init__(
        self,
        order: Order,
        exposure: Exposure,
        now: float,
    ) -> None:
        self.order = order
        self.record: Record | None = None
        self.exposure = exposure
        self.evidence = trials.Evidence()
        # What this instance finds by the counts that it knows.
        self.local_finding = trials.Finding.OPEN
        self.harmful = False
        # What an instance that goes before this one found last.
        self._leader_finding: (
            tuple[ids.InstanceId, trials.Finding, float] | None
        ) = None
        # What was logged last.
        self.logged_finding = trials.Finding.OPEN
        self.ordered_at = now
        # When the state was last heard or read.
        self.state_received_at = now
        self.published_at = now
        self.saved_at = now
        # Since when another state should have been written.
        self.due_since: float | None = None
        # Versions that were there beside the ordered one.
        self.old_versions: set[ids.VersionId] = set()
        self.counts_by_peer_incarnation: dict[
            tuple[ids.InstanceId, int], tuple[int, int]
        ] = {}

    @property
    def stage(self) -> Stage | None:
        """Return the stage, or ``None`` until it is known.

        Harm that this instance knows of counts before it is written.
        """
        if self.record is None:
            return None
        if self.harmful and self.record.stage is not Stage.COMPLETED:
            return Stage.ROLLED_BACK
        return self.record.stage

    def handle_finding(
        self, sender: ids.InstanceId, finding: trials.Finding, now: float
    ) -> None:
        """Record what another instance finds by its own counts."""
        if finding is trials.Finding.HARMFUL:
            self.harmful = True
        told = self._leader_finding
        if told is None or sender <= told[0] or now - told[2] > FINDING_TTL_S:
            self._leader_finding = (sender, finding, now)

    def finding(self, own: ids.InstanceId, now: float) -> trials.Finding:
        """Return what to go by.

        The counts go to those that lead. What they found is passed on by
        nobody else, and is forgotten when they fall silent: a version may
        have begun to fail since.
        """
        if self.harmful:
            return trials.Finding.HARMFUL
        told = self._leader_finding
        if (
            told is not None
            and told[0] < own
            and now - told[2] <= FINDING_TTL_S
        ):
            return told[1]
        return self.local_finding

    def is_new(self, target: targets.Target) -> bool:
        """Tell whether a target has the ordered version."""
        return target.listed.version == self.order.version

    def apply_record(self, record: Record, now: float) -> bool:
        """Take a newer state; tell whether there was one."""
        if record.order_revision != self.order.revision:
            return False
        self.state_received_at = now
        known = self.record
        if known is not None and record.revision <= known.revision:
            return False
        self.record = record
        if record.cells:
            self.evidence.restore(record.cells)
        return True

    def totals(self) -> tuple[int, int]:
        """Return the requests and the exposure of all instances."""
        pairs = [
            (self.exposure.requests, self.exposure.sent),
            *self.counts_by_peer_incarnation.values(),
        ]
        requests = sum(pair[0] for pair in pairs)
        exposed = sum(pair[1] for pair in pairs)
        if self.record is not None:
            requests = max(requests, self.record.requests)
            exposed = max(exposed, self.record.exposed)
        return requests, exposed


def choose_arm(
    stage: Stage, *, allowed: bool, first_try: bool, rng: random.Random
) -> Arm:
    """Draw the version of one try.

    Repeats go to the old version: a failing new one must not get more
    requests because it fails.
    """
    if stage in (Stage.MOVING, Stage.COMPLETED):
        return Arm.NEW
    if stage is Stage.TRYING and first_try and allowed:
        return Arm.NEW if rng.random() < TRIAL_CHANCE else Arm.OLD
    return Arm.OLD


def lead_time_s(record: Record, progress: Progress, store_ms: float) -> float:
    """Return how long before the deadline all traffic moves.

    As early as answers of the old version need to end, but not so early
    that a version which fails only then exceeds its exposure.
    """
    duration_s = (record.deadline_ms - record.began_ms) / 1000
    elapsed_s = max(0.001, duration_s - record.remaining_s(store_ms))
    rate = max(0.001, progress.requests / elapsed_s)
    remaining_exposure = (
        EXPOSURE_SHARE * rate * duration_s + EXPOSURE_SLACK - progress.exposed
    )
    longest = min(
        MAX_LEAD_TIME_S,
        MAX_LEAD_TIME_SHARE * duration_s,
        remaining_exposure / rate,
    )
    return max(FINISH_MARGIN_S + MIN_MOVE_S, longest)


def next_stage(
    record: Record, progress: Progress, store_ms: float
) -> tuple[Stage, str] | None:
    """Return the stage to go to and why, or ``None`` to stay."""
    if record.stage.ended:
        return None
    if progress.finding is trials.Finding.HARMFUL:
        return Stage.ROLLED_BACK, "harmful"
    remaining_s = record.remaining_s(store_ms)
    if record.stage is Stage.MOVING:
        if remaining_s > FINISH_MARGIN_S:
            return None
        if progress.finding is trials.Finding.DOUBTFUL:
            return Stage.ROLLED_BACK, "faults show lately"
        if progress.present:
            return Stage.COMPLETED, "in force without a fault"
        return Stage.ROLLED_BACK, "no target has the version"
    if remaining_s <= LATEST_MOVE_S:
        return Stage.ROLLED_BACK, "not enough evidence in time"
    if (
        progress.finding.passed
        and progress.present
        and remaining_s <= lead_time_s(record, progress, store_ms)
    ):
        return Stage.MOVING, f"evidence {progress.finding.value}"
    return None
