"""Messages between instances about requests that crash their targets."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries

__all__ = [
    "DeathReport",
    "PartCrashReport",
    "QuarantineNotice",
    "QuarantineQuery",
    "QuarantineState",
    "ReportedCrash",
]


class ReportedCrash(msgspec.Struct, frozen=True, array_like=True):
    """Crash as reported to an instance that has another clock."""

    target: ids.TargetId
    started_ms: decoding.Int
    began_ms_ago: decoding.Int
    crashed_ms_ago: decoding.Int
    weight: decoding.Number

    @classmethod
    def from_crash(cls, crash: poison.Crash, now: float) -> "ReportedCrash":
        """Convert the times of a crash to ages."""
        return cls(
            crash.target,
            crash.started_ms,
            round(1000 * (now - crash.began_at)),
            round(1000 * (now - crash.crashed_at)),
            crash.weight,
        )

    def to_crash(self, now: float) -> poison.Crash:
        """Return the crash with times of this instance's clock."""
        return poison.Crash(
            self.target,
            self.started_ms,
            now - self.began_ms_ago / 1000,
            now - self.crashed_ms_ago / 1000,
            self.weight,
        )


class DeathReport(msgspec.Struct, frozen=True, array_like=True, tag="death"):
    """Report of crashes to the instances that aggregate them for a request.

    A report without crashes says that the request was answered and is
    therefore harmless.
    """

    sender: ids.InstanceId
    fingerprint: poison.Fingerprint
    crashes: tuple[ReportedCrash, ...]


class QuarantineNotice(
    msgspec.Struct, frozen=True, array_like=True, tag="refuse"
):
    """Notice to all instances that a request is refused, or is not."""

    sender: ids.InstanceId
    fingerprint: poison.Fingerprint
    # How long the request is refused; 0 if it proved harmless.
    remaining_ms: decoding.Int
    # For a verdict on prompt parts, the age of the first crash that it is
    # based on; for its revocation, the age of the run that disproved it.
    evidence_ms_ago: decoding.Int | None = None


class QuarantineQuery(
    msgspec.Struct, frozen=True, array_like=True, tag="refused?"
):
    """Query for verdicts that the sender may have missed."""

    sender: registries.InstanceEntry
    # Checksum of the sender's verdicts.
    digest: decoding.Int


class QuarantineState(
    msgspec.Struct, frozen=True, array_like=True, tag="refused"
):
    """Answer to a query: milliseconds until each verdict expires."""

    sender: ids.InstanceId
    verdicts: dict[poison.Fingerprint, decoding.Int]
    # Ages as in the notice, in the order of the verdicts.
    evidence_ms_ago: tuple[decoding.Int | None, ...] = ()


class PartCrashReport(
    msgspec.Struct, frozen=True, array_like=True, tag="part_death"
):
    """Report of a crash that the parts of a prompt may have caused."""

    sender: ids.InstanceId
    request: poison.Fingerprint
    target: ids.TargetId
    started_ms: decoding.Int
    data_centre: ids.DataCentre
    crashed_ms_ago: decoding.Int
    others: tuple[ids.TargetId, ...]
    parts: prompt_parts.Parts

    @classmethod
    def from_crash(
        cls,
        sender: ids.InstanceId,
        crash: prompt_parts.PartCrash,
        now: float,
    ) -> "PartCrashReport":
        """Convert the time of a crash to its age."""
        return cls(
            sender,
            crash.request,
            crash.target,
            crash.started_ms,
            crash.data_centre,
            round(1000 * (now - crash.crashed_at)),
            crash.others,
            prompt_parts.reported_parts(crash.parts),
        )

    def to_crash(self, now: float) -> prompt_parts.PartCrash:
        """Return the crash with a time of this instance's clock."""
        return prompt_parts.PartCrash(
            self.request,
            self.target,
            self.started_ms,
            self.data_centre,
            now - self.crashed_ms_ago / 1000,
            self.others,
            self.parts,
        )
