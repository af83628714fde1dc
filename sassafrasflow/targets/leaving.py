"""Exchange between instances of which targets are leaving."""

import msgspec

from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import target as targets

__all__ = ["LeavingExchange"]

TTL_MS = 600_000
REPORTED_BITS = 48


class LeavingExchange:
    """Publish leaving targets, and apply the entries of peers."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        shared: membership.SharedState,
    ) -> None:
        self._directory = directory
        self._shared = shared
        self._published: dict[ids.TargetId, targets.Incarnation] = {}

    def start(self) -> None:
        """Start publishing and handling entries."""
        self._shared.subscribe(membership.Topic.LEAVING, self._handle_entry)
        self._directory.on_change.append(self.publish)

    def publish(self) -> None:
        """Apply the shared entries, and publish targets that newly leave."""
        for entry in self._shared.entries(membership.Topic.LEAVING):
            self._handle_entry(entry)
        self._published = {
            target_id: incarnation
            for target_id, incarnation in self._published.items()
            if self._directory.find(target_id) is not None
        }
        for target in self._directory:
            incarnation = target.incarnation
            if (
                not target.is_leaving
                or self._published.get(target.id) == incarnation
            ):
                continue
            self._published[target.id] = incarnation
            self._shared.publish(
                membership.Topic.LEAVING,
                target.id,
                msgspec.json.encode(incarnation),
                version=(incarnation.listed << REPORTED_BITS)
                + incarnation.reported,
                ttl_ms=TTL_MS,
            )

    def _handle_entry(self, entry: membership.Entry) -> None:
        incarnation = msgspec.json.decode(
            entry.value, type=targets.Incarnation
        )
        target = self._directory.find(ids.TargetId(entry.key))
        if target is not None:
            target.record_peer_leaving(incarnation)
