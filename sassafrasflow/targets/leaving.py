"""Peers' word that a target is leaving, over the shared state."""

import msgspec

from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import target as targets

__all__ = ["LeavingExchange"]

TTL_MS = 600_000
REPORTED_BITS = 48


class LeavingExchange:
    """Tell peers which targets leave, and apply what they tell."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        shared: membership.SharedState,
    ) -> None:
        self._directory = directory
        self._shared = shared
        self._told: dict[ids.TargetId, targets.Incarnation] = {}

    def start(self) -> None:
        """Begin to publish and to listen."""
        self._shared.subscribe(membership.Topic.LEAVING, self._hear)
        self._directory.on_change.append(self.publish)

    def publish(self) -> None:
        """Publish what is newly leaving and apply what is known."""
        for entry in self._shared.entries(membership.Topic.LEAVING):
            self._hear(entry)
        self._told = {
            name: mark
            for name, mark in self._told.items()
            if self._directory.find(name) is not None
        }
        for target in self._directory:
            mark = target.incarnation
            if not target.is_leaving or self._told.get(target.id) == mark:
                continue
            self._told[target.id] = mark
            self._shared.publish(
                membership.Topic.LEAVING,
                target.id,
                msgspec.json.encode(mark),
                version=(mark.listed << REPORTED_BITS) + mark.reported,
                ttl_ms=TTL_MS,
            )

    def _hear(self, entry: membership.Entry) -> None:
        mark = msgspec.json.decode(entry.value, type=targets.Incarnation)
        target = self._directory.find(ids.TargetId(entry.key))
        if target is not None:
            target.record_peer_leaving(mark)
