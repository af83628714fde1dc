"""Peers' word that work failed at a target, over the shared state.

It makes a target dearer for a while and never shuts it out, since a peer
may be the one that is cut off.
"""

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.targets import directory as directories

__all__ = ["SuspicionExchange", "SuspicionPolicy"]

MS_PER_S = 1_000


class SuspicionPolicy(msgspec.Struct, frozen=True):
    """Set how long a failure seen by a peer counts."""

    lasts_ms: int = 5_000


class SuspicionExchange:
    """Tell peers of failed work, at most once a while for each target."""

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
        self._told_at: dict[ids.TargetId, float] = {}

    def start(self) -> None:
        """Begin to publish and to listen."""
        self._directory.on_failure.append(self.publish)
        self._shared.subscribe(membership.Topic.OVERLOAD, self._hear)

    def publish(self, target_id: ids.TargetId) -> None:
        """Tell that work failed at a target."""
        now = self._clock.monotonic()
        lasts_s = self._policy.lasts_ms / MS_PER_S
        if now - self._told_at.get(target_id, now - lasts_s) < lasts_s:
            return
        self._forget_old(now - lasts_s)
        self._told_at[target_id] = now
        self._shared.publish(
            membership.Topic.OVERLOAD,
            target_id,
            b"",
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=self._policy.lasts_ms,
        )

    def _forget_old(self, oldest: float) -> None:
        self._told_at = {
            name: at for name, at in self._told_at.items() if at > oldest
        }

    def _hear(self, entry: membership.Entry) -> None:
        target = self._directory.find(ids.TargetId(entry.key))
        if target is None or entry.origin == self._instance:
            return
        lasts_s = self._policy.lasts_ms / MS_PER_S
        target.mark_suspected(self._clock.monotonic() + lasts_s)
