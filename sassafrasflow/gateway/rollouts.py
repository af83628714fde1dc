"""Move a service's traffic to a new version, or roll it back.

An operator orders a version and the time until all requests must go to it.
The version gets a small share of the requests until the evidence of all
instances is sufficient, then hardly any, and all of them only shortly before
the deadline. So a fault that shows late affects as few requests as possible.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import enum
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.baseline import baseline as baselines
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import versions

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

# Share of the requests that operators allow to go to a bad version, plus a
# constant number of requests. Instances that restart leave part of the
# constant unused.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 40
# Part of that exposure for trials. The rest is reserved for the move before
# the deadline.
TRIAL_SHARE = 0.06
TRIAL_SLACK = 24
# Share of the requests that go to the version once the evidence is sufficient.
WATCH_SHARE = 0.02
# Probability of a trial for each request while the exposure allows one.
TRIAL_CHANCE = 0.3
# The rollout completes this long before the deadline, as a slow store takes a
# quarter of a second for the last write.
FINISH_MARGIN_S = 1.0
# All traffic goes to the new version for at least this long before the old
# one stops.
MIN_MOVE_S = 0.5
# A move that starts with less remaining time would end after the deadline.
LATEST_MOVE_S = 0.5
# The last finding of a leader is valid for this long.
FINDING_TTL_S = 1.5
# Traffic moves at most this long before the deadline. Streams of the old
# version take up to 8 s to end.
MAX_LEAD_TIME_S = 9.0
MAX_LEAD_TIME_SHARE = 1 / 3
# Each restore of the store adds one or two versions to an order's row.
MAX_ORDER_VERSIONS = 6


class Stage(enum.Enum):
    """Stage of a rollout."""

    TRYING = "trying"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def ended(self) -> bool:
        return self in (Stage.COMPLETED, Stage.ROLLED_BACK)

    @property
    def rank(self) -> int:
        """Return the place in the order in which stages follow each other.

        Completed is last, as the old targets stop at once then.
        """
        return _RANK_BY_STAGE[self]


_RANK_BY_STAGE = {
    Stage.TRYING: 0,
    Stage.MOVING: 1,
    Stage.ROLLED_BACK: 2,
    Stage.COMPLETED: 3,
}


class Arm(enum.Enum):
    """Version that a request may go to."""

    OLD = "old"
    NEW = "new"


class Order(msgspec.Struct, frozen=True):
    """Order of an operator to move a service to a version."""

    service: ids.ServiceName
    version: ids.VersionId
    duration_s: decoding.Number
    # Revision of the order's row; it changes if an order is repeated.
    revision: decoding.Count
    era: decoding.Era = versions.UNKNOWN_ERA

    @property
    def row_version(self) -> versions.StoreVersion:
        return versions.StoreVersion(self.era, self.revision)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Shared state of one rollout, with times of the store's clock."""

    service: ids.ServiceName
    version: ids.VersionId
    order_revision: decoding.Int
    began_ms: decoding.Int
    deadline_ms: decoding.Int
    stage: Stage
    reason: str = ""
    # Revision of the record's row; 0 before the first write.
    revision: decoding.Count = 0
    # Sums over all instances at the time of the write.
    requests: decoding.Count = 0
    exposed: decoding.Count = 0
    cells: tuple[trials.Cell, ...] = ()
    # Era in which the record's row was read or written.
    era: decoding.Era = versions.UNKNOWN_ERA
    # Versions of the order's row, more than one after a restore.
    orders: tuple[versions.StoreVersion, ...] = ()
    # Orders of the service that this one has replaced.
    replaced: tuple[tuple[ids.VersionId, versions.StoreVersion], ...] = ()
    # Versions other than the ordered one; states of older software lack them.
    baseline: baselines.Baseline | None = None

    @property
    def row_version(self) -> versions.StoreVersion:
        return versions.StoreVersion(self.era, self.revision)

    @property
    def order_versions(self) -> tuple[versions.StoreVersion, ...]:
        """Return the versions of the order's row that the writer knew."""
        return self.orders or (
            versions.StoreVersion(versions.UNKNOWN_ERA, self.order_revision),
        )

    def next_baseline(self) -> baselines.Baseline:
        """Return the baseline of the order that replaces this one."""
        is_completed = self.stage is Stage.COMPLETED
        if self.baseline is None:
            withdrawn = () if is_completed else (self.version,)
            return baselines.Baseline((), withdrawn)
        return self.baseline.after(self.version, is_completed=is_completed)

    def is_further(self, other: "Record") -> bool:
        """Return whether this state of the same order has to stand.

        Stages only move forward, also when the store goes back. An instance
        that did not know the order may have written a later deadline.
        """
        return self._progress() > other._progress()

    def _progress(self) -> tuple[int, int]:
        deadline_ms = 0 if self.stage.ended else self.deadline_ms
        return self.stage.rank, -deadline_ms

    def remaining_s(self, store_ms: float) -> float:
        """Return seconds until the deadline."""
        return (self.deadline_ms - store_ms) / 1000


class News(msgspec.Struct, frozen=True, array_like=True, tag="rollout"):
    """Message to peers: the state of a rollout and the sender's finding."""

    sender: ids.InstanceId
    record: Record
    finding: trials.Finding


class Progress(msgspec.Struct, frozen=True):
    """Inputs of the decision about the next stage of a rollout."""

    # Requests of the service since the order, over all instances.
    requests: int
    # Those of them that went to the new version.
    exposed: int
    finding: trials.Finding
    # Whether targets of the new version are listed.
    has_new_targets: bool
    # Whether no other version has served since the order, so that there is
    # nothing to compare with or to go back to.
    serves_alone: bool = False


class Exposure:
    """Limit the requests that one instance sends to a version on trial.

    Each instance applies the share to its own requests, so the sum over all
    instances respects it without messages. The constant number is divided
    among the instances.
    """

    def __init__(self, slack: float, rng: random.Random) -> None:
        self._slack = slack
        # Rounds the limit up or down at random, so that fractions of a
        # request add up over many instances.
        self._rounding = rng.random()
        # Requests of the service, and those of them sent to the version.
        self.requests = 0
        self.sent = 0

    def allows(self, proven: bool) -> bool:
        """Return whether one more request may go to the version.

        With ``proven``, the evidence is sufficient and the limit is lower.
        """
        share, slack = TRIAL_SHARE, self._slack
        if proven:
            share, slack = WATCH_SHARE, 0.0
        allowed = share * self.requests + slack
        return self.sent + 1 <= allowed + self._rounding


class Rollout:
    """State of one rollout at this instance."""

    def __init__(
        self,
        order: Order,
        exposure: Exposure,
        now: float,
        *,
        precedes_start: bool = False,
    ) -> None:
        self.order = order
        # Whether the order may be older than this instance, so that peers may
        # know more of it.
        self.precedes_start = precedes_start
        # Whether the row of the state has been read since the order.
        self.is_row_read = False
        # Whether an instance has named an order that replaced this one.
        self.is_replaced = False
        # Versions of the order's row, ascending.
        self.order_versions: tuple[versions.StoreVersion, ...] = (
            order.row_version,
        )
        self.record: Record | None = None
        self.exposure = exposure
        self.evidence = trials.Evidence()
        # Finding from the counts that this instance has.
        self.local_finding = trials.Finding.OPEN
        # Whether any instance has found the version harmful.
        self.harmful = False
        # Sender, finding and time of the last accepted message of a leader.
        self._leader_finding: (
            tuple[ids.InstanceId, trials.Finding, float] | None
        ) = None
        # The finding that was last logged.
        self.logged_finding = trials.Finding.OPEN
        self.ordered_at = now
        # When the state was last read or received from a peer.
        self.state_received_at = now
        self.published_at = now
        self.saved_at = now
        # Since when a new state is due to be written.
        self.due_since: float | None = None
        # Versions other than the ordered one that targets have had.
        self.baseline = baselines.Baseline()
        # The baseline that was last logged.
        self.logged_baseline = self.baseline
        # Requests and exposure that each incarnation of a peer reported.
        self.counts_by_peer_incarnation: dict[
            tuple[ids.InstanceId, int], tuple[int, int]
        ] = {}

    @property
    def stage(self) -> Stage | None:
        """Return the stage, or ``None`` before the first record.

        A harmful version counts as rolled back even before that is written.
        """
        if self.record is None:
            return None
        if self.harmful and self.record.stage is not Stage.COMPLETED:
            return Stage.ROLLED_BACK
        return self.record.stage

    @property
    def is_loaded(self) -> bool:
        """Return whether earlier states can't be missing any more."""
        return (
            not self.precedes_start
            or self.is_row_read
            or self.record is not None
        )

    def handle_finding(
        self, sender: ids.InstanceId, finding: trials.Finding, now: float
    ) -> None:
        """Store a peer's finding unless one of a smaller id is valid."""
        if finding is trials.Finding.HARMFUL:
            self.harmful = True
        last = self._leader_finding
        if last is None or sender <= last[0] or now - last[2] > FINDING_TTL_S:
            self._leader_finding = (sender, finding, now)

    def finding(self, instance: ids.InstanceId, now: float) -> trials.Finding:
        """Return the finding that decides for the given instance.

        Only the leaders get the counts of all instances, so their finding
        counts. It expires soon after their last message, because the version
        may have begun to fail since.
        """
        if self.harmful:
            return trials.Finding.HARMFUL
        last = self._leader_finding
        if (
            last is not None
            and last[0] < instance
            and now - last[2] <= FINDING_TTL_S
        ):
            return last[1]
        return self.local_finding

    def is_new(self, target: targets.Target) -> bool:
        """Return whether a target has the ordered version."""
        return target.listed.version == self.order.version

    def is_withdrawn(self, target: targets.Target) -> bool:
        """Return whether an earlier order has ruled out a target's version."""
        return not self.is_new(target) and (
            target.listed.version in self.baseline.withdrawn
        )

    def is_past(self, target: targets.Target) -> bool:
        """Return whether a completed rollout has replaced a target's version.

        Later versions may be deployed without an order.
        """
        known = (*self.baseline.serving, *self.baseline.withdrawn)
        return not self.is_new(target) and target.listed.version in known

    def record_listed(self, listed: Iterable[targets.Target]) -> None:
        """Add the versions of listed targets to those that serve."""
        self.baseline = self.baseline.with_listed(
            self.order.version, (each.listed.version for each in listed)
        )

    def inherit(self, baseline: baselines.Baseline) -> None:
        """Start from what earlier orders have left; keep what has served."""
        self.baseline = baseline.with_listed(
            self.order.version, self.baseline.serving
        )

    def withdraw(self, others: Iterable[ids.VersionId]) -> None:
        """Rule out versions other than the ordered one."""
        self.baseline = self.baseline.without(
            [each for each in others if each != self.order.version]
        )

    def next_baseline(self) -> baselines.Baseline:
        """Return the baseline of the order that replaces this one."""
        return self.baseline.after(
            self.order.version, is_completed=self.stage is Stage.COMPLETED
        )

    def has_version(self, version: versions.StoreVersion) -> bool:
        """Return whether the order's row had a version.

        A row that the store kept when it was restored has the revision that
        it had before.
        """
        if version in self.order_versions:
            return True
        known = self.order_versions
        return all(item.era != version.era for item in known) and any(
            item.revision == version.revision for item in known
        )

    def is_replaced_in(self, record: Record) -> bool:
        """Return whether a state names this order as a replaced one."""
        return any(
            version == self.order.version and self.has_version(row_version)
            for version, row_version in record.replaced
        )

    def is_copied(self, version: versions.StoreVersion) -> bool:
        """Return whether a version of the row is from a former era."""
        return any(
            item.era < version.era and item.revision == version.revision
            for item in self.order_versions
        )

    def is_written_in(self, era: ids.StoreEra) -> bool:
        """Return whether the order's row was written in an era."""
        return any(
            item.era == era and not self.is_copied(item)
            for item in self.order_versions
        )

    def precedes(self, era: ids.StoreEra) -> bool:
        """Return whether the order was known before an era."""
        return any(
            versions.UNKNOWN_ERA < item.era < era
            for item in self.order_versions
        )

    def shares_era(
        self, order_versions: Sequence[versions.StoreVersion]
    ) -> bool:
        """Return whether versions share an era with those known here."""
        eras = {item.era for item in self.order_versions}
        others = {item.era for item in order_versions}
        return versions.UNKNOWN_ERA in eras | others or bool(eras & others)

    def add_versions(
        self, order_versions: Iterable[versions.StoreVersion]
    ) -> bool:
        """Add versions of the order's row; return whether one was unknown."""
        added = {
            item
            for item in order_versions
            if item.era != versions.UNKNOWN_ERA
            and item not in self.order_versions
        }
        merged = sorted({*self.order_versions, *added})
        self.order_versions = tuple(merged[-MAX_ORDER_VERSIONS:])
        return bool(added)

    def apply_record(self, record: Record, now: float) -> bool:
        """Apply a state of the order if it is newer; return whether it was."""
        self.state_received_at = now
        current = self.record
        if current is not None and (
            current.is_further(record)
            or (
                not record.is_further(current)
                and record.row_version <= current.row_version
            )
        ):
            return False
        self.record = record
        if record.stage.ended:
            # Only a restore of the store makes a state due again.
            self.due_since = None
        if current is not None:
            # A restored store may hold older sums.
            self.record = msgspec.structs.replace(
                record,
                requests=max(record.requests, current.requests),
                exposed=max(record.exposed, current.exposed),
            )
        if record.cells:
            self.evidence.restore(record.cells)
        if record.baseline is not None:
            self.inherit(record.baseline)
        return True

    def totals(self) -> tuple[int, int]:
        """Return the requests and the exposure over all instances."""
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
    """Choose the version for one try of a request at random.

    Retries go to the old version, so that a new version that fails does not
    get more requests because of its failures.
    """
    if stage in (Stage.MOVING, Stage.COMPLETED):
        return Arm.NEW
    if stage is Stage.TRYING and first_try and allowed:
        return Arm.NEW if rng.random() < TRIAL_CHANCE else Arm.OLD
    return Arm.OLD


def lead_time_s(record: Record, progress: Progress, store_ms: float) -> float:
    """Return how long before the deadline all traffic moves.

    Answers of the old version need time to end. But a version that fails
    only after the move must not exceed its exposure before the deadline.
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
    """Return the next stage and the reason, or ``None`` to stay."""
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
        if progress.has_new_targets:
            return Stage.COMPLETED, "in force without a fault"
        return Stage.ROLLED_BACK, "no target has the version"
    if progress.serves_alone and progress.has_new_targets:
        if remaining_s > FINISH_MARGIN_S:
            return None
        return Stage.COMPLETED, "no other version serves"
    if remaining_s <= LATEST_MOVE_S:
        return Stage.ROLLED_BACK, "not enough evidence in time"
    if (
        progress.finding.passed
        and progress.has_new_targets
        and remaining_s <= lead_time_s(record, progress, store_ms)
    ):
        return Stage.MOVING, f"evidence {progress.finding.value}"
    return None
