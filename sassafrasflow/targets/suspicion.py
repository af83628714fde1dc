"""Exchange between instances of the targets at which work failed.

A failure that a peer reports raises the cost of the target for a while. It
never excludes the target, since the peer may be the one that is cut off.
"""

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.targets import directory as directories

__all__ = ["SuspicionExchange", "SuspicionPolicy"]

MS_PER_S = 1_000


class SuspicionPolicy(msgspec.Struct, frozen=True):
    """Set how long a failure reported by a peer counts."""

    lasts_ms: int = 5_000


class SuspicionExchange:
    """Publish failures, at most one per target within ``lasts_ms``."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        shared: membership.SharedState,
        instance: ids.InstanceId,
        policy: SuspicionPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._shared = shared
        self._instance = instance
        self._policy = policy
        self._clock = clock
        self._published_at: dict[ids.TargetId, float] = {}

    def start(self) -> None:
        """Start publishing and handling entries."""
        self._directory.on_failure.append(self.publish)
        self._shared.subscribe(membership.Topic.OVERLOAD, self._handle_entry)

    def publish(self, target_id: ids.TargetId) -> None:
        """Publish that work failed at a target."""
        now = self._clock.monotonic()
        lasts_s = self._policy.lasts_ms / MS_PER_S
        if now - self._published_at.get(target_id, now - lasts_s) < lasts_s:
            return
        self._remove_expired(now - lasts_s)
        self._published_at[target_id] = now
        self._shared.publish(
            membership.Topic.OVERLOAD,
            target_id,
            b"",
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=self._policy.lasts_ms,
        )

    def _remove_expired(self, expired_before: float) -> None:
        self._published_at = {
            target_id: at
            for target_id, at in self._published_at.items()
            if at > expired_before
        }

    def _handle_entry(self, entry: membership.Entry) -> None:
        target = self._directory.find(ids.TargetId(entry.key))
        if target is None or entry.origin == self._instance:
            return
        lasts_s = self._policy.lasts_ms / MS_PER_S
        target.mark_suspected(self._clock.monotonic() + lasts_s)
