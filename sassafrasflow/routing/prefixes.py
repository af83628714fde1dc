"""Prefix index: which targets hold the cached blocks of a prompt."""

import collections
from collections.abc import Sequence

import msgspec

from sassafrasflow import engines
from sassafrasflow import ids

__all__ = ["PrefixIndex", "PrefixPolicy"]

RESTART_EPOCHS = 32
MIN_TRUST = 0.01


class PrefixPolicy(msgspec.Struct, frozen=True):
    """Bound the index and set what a gap in the events costs.

    Each gap multiplies the trust in older knowledge of the target.
    """

    max_blocks: int = 100_000
    max_holders: int = 8
    max_prompt_blocks: int = 128
    gap_trust: float = 0.5


class _Position:
    """Follow the events of one target."""

    def __init__(self, epoch: int) -> None:
        self.incarnation: int | None = None
        self.sequence = 0
        self.epoch = epoch


class PrefixIndex:
    """Learn from cache events and own requests, within fixed memory."""

    def __init__(self, policy: PrefixPolicy) -> None:
        self._policy = policy
        self._blocks: collections.OrderedDict[str, dict[ids.TargetId, int]] = (
            collections.OrderedDict()
        )
        self._positions: dict[ids.TargetId, _Position] = {}
        self._first_epoch = 0

    def __len__(self) -> int:
        return len(self._blocks)

    def sequence(self, target: ids.TargetId) -> int:
        """Return the last sequence number seen of a target."""
        return self._position(target).sequence

    def _position(self, target: ids.TargetId) -> _Position:
        if target not in self._positions:
            self._positions[target] = _Position(self._first_epoch)
        return self._positions[target]

    def apply(self, target: ids.TargetId, events: engines.CacheEvents) -> None:
        """Apply a target's cache events; a restart starts from nothing."""
        position = self._position(target)
        if position.incarnation != events.incarnation:
            self._restart(position, events.incarnation)
            if not events.events or events.events[0].sequence != 1:
                return
        for event in events.events:
            self._apply_event(target, position, event)

    def _restart(self, position: _Position, incarnation: int) -> None:
        if position.incarnation is not None:
            position.epoch += RESTART_EPOCHS
        position.incarnation = incarnation
        position.sequence = 0

    def _apply_event(
        self,
        target: ids.TargetId,
        position: _Position,
        event: engines.CacheEvent,
    ) -> None:
        if event.sequence <= position.sequence:
            return
        if event.sequence != position.sequence + 1:
            position.epoch += 1
        position.sequence = event.sequence
        for block in event.stored:
            self._store(block, target, position.epoch)
        for block in event.removed:
            self._remove(block, target)

    def record_expected(
        self, target: ids.TargetId, blocks: Sequence[str]
    ) -> None:
        """Note that a target is about to hold the blocks of a request."""
        epoch = self._position(target).epoch
        for block in blocks[: self._policy.max_prompt_blocks]:
            self._store(block, target, epoch)

    def forget(self, target: ids.TargetId) -> None:
        """Drop a target; what is known of it never counts again."""
        position = self._positions.pop(target, None)
        if position is not None:
            self._first_epoch = max(
                self._first_epoch, position.epoch + RESTART_EPOCHS
            )

    def _store(self, block: str, target: ids.TargetId, epoch: int) -> None:
        holders = self._blocks.setdefault(block, {})
        self._blocks.move_to_end(block)
        holders.pop(target, None)
        holders[target] = epoch
        if len(holders) > self._policy.max_holders:
            del holders[next(iter(holders))]
        if len(self._blocks) > self._policy.max_blocks:
            self._blocks.popitem(last=False)

    def _remove(self, block: str, target: ids.TargetId) -> None:
        holders = self._blocks.get(block)
        if holders is None:
            return
        holders.pop(target, None)
        if not holders:
            del self._blocks[block]

    def cached_blocks(
        self, blocks: Sequence[str]
    ) -> dict[ids.TargetId, float]:
        """Return how many leading blocks some targets likely hold.

        The holders of the longest prefix come first.
        """
        known: dict[ids.TargetId, float] = {}
        few = blocks[: self._policy.max_prompt_blocks]
        for count in range(len(few), 0, -1):
            for target, trust in self._trusted(few[count - 1]):
                expected = count * trust
                known[target] = max(known.get(target, 0.0), expected)
            if len(known) >= self._policy.max_holders:
                break
        return dict(sorted(known.items(), key=lambda item: -item[1]))

    def _trusted(self, block: str) -> list[tuple[ids.TargetId, float]]:
        """Return who is trusted to hold a block, and drop the others."""
        holders = self._blocks.get(block, {})
        trusts = [
            (target, self._trust(target, epoch))
            for target, epoch in holders.items()
        ]
        for target, trust in trusts:
            if trust < MIN_TRUST:
                self._remove(block, target)
        return [item for item in trusts if item[1] >= MIN_TRUST]

    def _trust(self, target: ids.TargetId, epoch: int) -> float:
        position = self._positions.get(target)
        if position is None:
            return 0.0
        return self._policy.gap_trust ** (position.epoch - epoch)
