"""What instances tell each other of requests that crash their targets."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import registry as registries

__all__ = [
    "DeathReport",
    "QuarantineNotice",
    "QuarantineQuery",
    "QuarantineState",
    "ReportedCrash",
]


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Tell a death to an instance with another clock."""

    target: ids.TargetId
    started_ms: int
    began_ms_ago: int
    crashed_ms_ago: int
    weight: float

    @classmethod
    def from_crash(cls, crash: poison.Crash, now: float) -> "ReportedCrash":
        """Tell a death by its age."""
        return cls(
            crash.target,
            crash.started_ms,
            round(1000 * (now - crash.began_at)),
            round(1000 * (now - crash.crashed_at)),
            crash.weight,
        )

    def to_crash(self, now: float) -> poison.Crash:
        """Return the death by this instance's clock."""
        return poison.Crash(
            self.target,
            self.started_ms,
            now - self.began_ms_ago / 1000,
            now - self.crashed_ms_ago / 1000,
            self.weight,
        )


class DeathReport(msgspec.Struct, frozen=True, array_like=True, tag="death"):
    """Tell those who join the evidence on a request what was seen.

    Without crashes: the request was answered, so it is harmless.
    """

    sender: ids.InstanceId
    fingerprint: poison.Fingerprint
    crashes: tuple[ReportedCrash, ...]


class QuarantineNotice(
    msgspec.Struct, frozen=True, array_like=True, tag="refuse"
):
    """Tell all instances to refuse a request, or no longer to."""

    sender: ids.InstanceId
    fingerprint: poison.Fingerprint
    # 0 if it has turned out to be harmless.
    remaining_ms: int


class QuarantineQuery(
    msgspec.Struct, frozen=True, array_like=True, tag="refused?"
):
    """Ask for verdicts that the sender may have missed."""

    sender: registries.InstanceEntry
    # Sums up the verdicts that the sender knows.
    digest: int


class QuarantineState(
    msgspec.Struct, frozen=True, array_like=True, tag="refused"
):
    """Tell the verdicts that are known, with milliseconds left."""

    sender: ids.InstanceId
    verdicts: dict[poison.Fingerprint, int]
