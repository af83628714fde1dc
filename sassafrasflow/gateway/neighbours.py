"""Instances that an instance knows, and how often it says that it lives."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import registry as registries

__all__ = ["Beat", "Neighbours"]

# An instance sends this many beats a second at most to those beside it, and
# as many to all others, whatever the size of the fleet.
BEATS_PER_S = 4.0
# In a small fleet each instance is told this often.
MIN_PERIOD_S = 4.0
# Beats missed until an instance counts as gone.
MISSED_BEATS = 3.2
# An instance that did not answer is left out of decisions for this long;
# a killed process is back in about as much.
DOUBT_S = 3.0


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Tell that an instance lives, and where."""

    sender: registries.InstanceEntry


class _Neighbour(msgspec.Struct):
    entry: registries.InstanceEntry
    heard_at: float
    doubted_until: float = 0.0


class Neighbours:
    """Know the other instances without a message for each pair."""

    def __init__(self, own: registries.InstanceEntry) -> None:
        self.own = own
        # Changes whenever somebody comes, moves or is doubted.
        self.epoch = 0
        self._known: dict[ids.InstanceId, _Neighbour] = {}
        self._next_doubt_end: float | None = None
        # Who is told next, beside this instance and elsewhere.
        self._turns = {True: 0, False: 0}
        self._credits = {True: 0.0, False: 0.0}
        self._beaten_at: float | None = None

    def __len__(self) -> int:
        return len(self._known)

    def add(self, entry: registries.InstanceEntry, now: float) -> bool:
        """Learn of an instance; tell whether it is new or has moved."""
        if entry.id == self.own.id:
            return False
        known = self._known.get(entry.id)
        if known is None or known.entry != entry:
            self._known[entry.id] = _Neighbour(entry, now)
            self.epoch += 1
            return True
        return False

    def hear(self, entry: registries.InstanceEntry, now: float) -> bool:
        """Record word of an instance; tell whether it is new."""
        new = self.add(entry, now)
        self.hear_id(entry.id, now)
        return new

    def hear_id(self, sender: ids.InstanceId, now: float) -> None:
        """Record word of an instance that is known by its id only."""
        known = self._known.get(sender)
        if known is None:
            return
        known.heard_at = now
        if known.doubted_until > now:
            known.doubted_until = 0.0
            self.epoch += 1

    def doubt(self, sender: ids.InstanceId, now: float) -> None:
        """Record that an instance did not answer."""
        known = self._known.get(sender)
        if known is None:
            return
        known.doubted_until = now + DOUBT_S
        self.epoch += 1
        end = self._next_doubt_end
        if end is None or known.doubted_until < end:
            self._next_doubt_end = known.doubted_until

    def refresh(self, now: float) -> None:
        """Take instances back whose doubt has ended."""
        end = self._next_doubt_end
        if end is None or now < end:
            return
        ends = [
            known.doubted_until
            for known in self._known.values()
            if known.doubted_until > now
        ]
        self._next_doubt_end = min(ends, default=None)
        self.epoch += 1

    def live(self, now: float) -> list[registries.InstanceEntry]:
        """Return the instances that were heard of lately."""
        timeouts = {
            beside: MISSED_BEATS * self._period_s(beside)
            for beside in (True, False)
        }
        return [
            known.entry
            for known in self._known.values()
            if now - known.heard_at <= timeouts[self._is_beside(known)]
        ]

    def beside(self, now: float) -> list[registries.InstanceEntry]:
        """Return the live instances of the same data centre."""
        return [
            entry
            for entry in self.live(now)
            if entry.data_centre == self.own.data_centre
        ]

    def serving(
        self, data_centre: ids.DataCentre, now: float
    ) -> list[registries.InstanceEntry]:
        """Return the instances of a data centre that are not in doubt."""
        found = [
            known.entry
            for known in self._known.values()
            if known.entry.data_centre == data_centre
            and known.doubted_until <= now
        ]
        if self.own.data_centre == data_centre:
            found.append(self.own)
        return found

    def due_beats(self, now: float) -> list[registries.InstanceEntry]:
        """Return who is told now that this instance lives."""
        passed_s = 0.0 if self._beaten_at is None else now - self._beaten_at
        self._beaten_at = now
        due: list[registries.InstanceEntry] = []
        for beside in (True, False):
            due += self._take_turns(beside, passed_s)
        return due

    def _take_turns(
        self, beside: bool, passed_s: float
    ) -> list[registries.InstanceEntry]:
        group = self._group(beside)
        if not group:
            return []
        credit = self._credits[beside]
        credit += passed_s * len(group) / self._period_s(beside)
        count = min(len(group), int(credit))
        self._credits[beside] = min(credit - count, 1.0)
        turn = self._turns[beside]
        self._turns[beside] = (turn + count) % len(group)
        return [group[(turn + step) % len(group)] for step in range(count)]

    def _group(self, beside: bool) -> list[registries.InstanceEntry]:
        return [
            known.entry
            for known in self._known.values()
            if self._is_beside(known) is beside
        ]

    def _period_s(self, beside: bool) -> float:
        return max(MIN_PERIOD_S, len(self._group(beside)) / BEATS_PER_S)

    def _is_beside(self, known: _Neighbour) -> bool:
        return known.entry.data_centre == self.own.data_centre
