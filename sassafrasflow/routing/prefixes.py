"""Index of the targets that hold the cached blocks of a prompt."""

import collections
from collections.abc import Sequence

import msgspec

from sassafrasflow import engines
from sassafrasflow import ids

__all__ = ["PrefixIndex", "PrefixPolicy"]

# A restart of a target ages its entries as much as this many gaps do.
RESTART_EPOCHS = 32
MIN_TRUST = 0.01


class PrefixPolicy(msgspec.Struct, frozen=True):
    """Bound the index and the trust in entries older than an event gap.

    Each gap in a target's events multiplies the trust in the older entries
    of that target by ``gap_trust``.
    """

    max_blocks: int = 100_000
    max_holders: int = 8
    max_prompt_blocks: int = 128
    gap_trust: float = 0.5


class _FeedPosition:
    """Hold the position in the event feed of one target.

    ``epoch`` grows with each gap and each restart, so that older entries are
    trusted less.
    """

    def __init__(self, epoch: int) -> None:
        self.incarnation: int | None = None
        self.sequence = 0
        self.epoch = epoch


class PrefixIndex:
    """Track cached blocks by cache events and sent requests.

    The memory is bounded by the policy.
    """

    def __init__(self, policy: PrefixPolicy) -> None:
        self._policy = policy
        self._blocks: collections.OrderedDict[str, dict[ids.TargetId, int]] = (
            collections.OrderedDict()
        )
        self._positions: dict[ids.TargetId, _FeedPosition] = {}
        self._first_epoch = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def sequence(self, target: ids.TargetId) -> int:
        """Return the sequence number of a target's last applied event."""
        return self._position(target).sequence

    def _position(self, target: ids.TargetId) -> _FeedPosition:
        if target not in self._positions:
            self._positions[target] = _FeedPosition(self._first_epoch)
        return self._positions[target]

    def apply(self, target: ids.TargetId, events: engines.CacheEvents) -> None:
        """Apply a target's cache events.

        After a restart of the target, its older entries no longer count and
        its events are applied only from the first one on.
        """
        position = self._position(target)
        if position.incarnation != events.incarnation:
            self._reset_position(position, events.incarnation)
            if not events.events or events.events[0].sequence != 1:
                return
        for event in events.events:
            self._apply_event(target, position, event)

    def _reset_position(
        self, position: _FeedPosition, incarnation: int
    ) -> None:
        if position.incarnation is not None:
            position.epoch += RESTART_EPOCHS
        position.incarnation = incarnation
        position.sequence = 0

    def _apply_event(
        self,
        target: ids.TargetId,
        position: _FeedPosition,
        event: engines.CacheEvent,
    ) -> None:
        if event.sequence <= position.sequence:
            return
        if event.sequence != position.sequence + 1:
            position.epoch += 1
        position.sequence = event.sequence
        for block in event.stored:
            self._add_holder(block, target, position.epoch)
        for block in event.removed:
            self._remove_holder(block, target)

    def record_expected(
        self, target: ids.TargetId, blocks: Sequence[str]
    ) -> None:
        """Record that a target will cache the blocks of a sent request."""
        epoch = self._position(target).epoch
        for block in blocks[: self._policy.max_prompt_blocks]:
            self._add_holder(block, target, epoch)

    def remove_target(self, target: ids.TargetId) -> None:
        """Remove a target; its older entries are never trusted again."""
        position = self._positions.pop(target, None)
        if position is not None:
            self._first_epoch = max(
                self._first_epoch, position.epoch + RESTART_EPOCHS
            )

    def _add_holder(
        self, block: str, target: ids.TargetId, epoch: int
    ) -> None:
        holders = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        holders.pop(target, None)
        holders[target] = epoch
        if len(holders) > self._policy.max_holders:
            del holders[next(iter(holders))]
        if len(self._blocks) > self._policy.max_blocks:
            self._blocks.popitem(last=False)

    def _remove_holder(self, block: str, target: ids.TargetId) -> None:
        holders = self._blocks.get(block)
        if holders is None:
            return
        holders.pop(target, None)
        if not holders:
            del self._blocks[block]

    def cached_blocks(
        self, blocks: Sequence[str]
    ) -> dict[ids.TargetId, float]:
        """Return the expected number of leading blocks held by target.

        The holders of the longest prefix come first.
        """
        expected_blocks: dict[ids.TargetId, float] = {}
        leading = blocks[: self._policy.max_prompt_blocks]
        for count in range(len(leading), 0, -1):
            for target, trust in self._trusted_holders(leading[count - 1]):
                expected = count * trust
                expected_blocks[target] = max(
                    expected_blocks.get(target, 0.0), expected
                )
            if len(expected_blocks) >= self._policy.max_holders:
                break
        return dict(sorted(expected_blocks.items(), key=lambda item: -item[1]))

    def _trusted_holders(self, block: str) -> list[tuple[ids.TargetId, float]]:
        """Return the trusted holders of a block, and drop the others."""
        holders = self._blocks.get(block, {})
        trusts = [
            (target, self._trust(target, epoch))
            for target, epoch in holders.items()
        ]
        for target, trust in trusts:
            if trust < MIN_TRUST:
                self._remove_holder(block, target)
        return [item for item in trusts if item[1] >= MIN_TRUST]

    def _trust(self, target: ids.TargetId, epoch: int) -> float:
        position = self._positions.get(target)
        if position is None:
            return 0.0
        return self._policy.gap_trust ** (position.epoch - epoch)
