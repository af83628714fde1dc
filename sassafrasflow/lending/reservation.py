"""How much of the slack an instance may have spent before it was killed.

A process that is killed forgets which retries it has sent, but they count for
a window. If it used its part of the slack again after its restart, instances
that are killed together would spend the slack of all twice. So an instance
reserves a part of its slack on the platform before it spends it. The next
incarnation does without what was reserved until it can't count any more.
"""

from collections.abc import Callable
import math

from sassafrasflow.lending import decisions

__all__ = ["SlackReservation"]

# Reservations grow in steps of this part. One step is reserved while hardly
# any slack is in use. It bounds what a killed instance has to do without after
# its restart, and what it can spend until the platform has stored more.
STEP = 0.25
# A crash of a target takes several streams of an instance at the same time,
# which can't wait for the platform.
RETRIES_AT_REST = 2


class SlackReservation:
    """Track which part of its slack this instance has reserved and may use.

    What is stored bounds the retries beyond the ratio that all incarnations
    of this instance have sent within a window.
    """

    def __init__(
        self, window_s: float, slack: float, instances: Callable[[], int]
    ) -> None:
        self._hold_s = decisions.lent_until(0.0, window_s)
        self._slack = slack
        self._instances = instances
        # The fewest instances that have shared the slack, until a time.
        self._fewest = 0
        self._fewest_until = -math.inf
        # Part that an earlier incarnation, or peers that did not count this
        # instance, may have spent. Both count until a time.
        self._former = self._foreign = 0.0
        self._inherited_until = -math.inf
        self.is_begun = False
        # Whether the platform has stored any part for this incarnation.
        self.has_stored = False
        # Part that this incarnation needs, until a time.
        self._needed = 0.0
        self._needed_until = -math.inf
        # The part that is known to be stored, or None.
        self._stored: float | None = None
        # The part that is stored at least, whatever became of writes.
        self._limit = 0.0

    def resume(self, former: float, ended_at: float) -> None:
        """Begin after an incarnation that had reserved a part."""
        self._former = former
        self._begin(ended_at)

    def join(self, foreign: float, counted_at: float) -> None:
        """Begin beside peers that have reserved a part of larger shares."""
        self._foreign = foreign
        self._begin(counted_at)

    def fewest_instances(self, now: float) -> int:
        """Return the fewest instances whose share may have been used."""
        instances = self._instances()
        if instances <= self._fewest or now >= self._fewest_until:
            self._fewest = instances
            self._fewest_until = now + self._hold_s
        return self._fewest

    def part(self, now: float) -> float:
        """Return the part of the slack that may be used now."""
        if now >= self._inherited_until:
            return self._limit
        return max(0.0, min(self._limit - self._former, 1.0 - self._foreign))

    def record_use(self, used: float, now: float) -> None:
        """Record which part of the share is in use; reserve twice as much."""
        self._need(math.ceil(2 * used / STEP) * STEP, now)

    def record_shortage(self, now: float) -> None:
        """Record that a retry needs more than what may be used now."""
        self._need(self._own_part(now) + STEP, now)

    def due(self, now: float) -> float | None:
        """Return the part to store, or ``None`` if it is stored."""
        if not self.is_begun:
            return None
        self.fewest_instances(now)
        former = self._former if now < self._inherited_until else 0.0
        wanted = min(1.0, former + self._own_part(now))
        return None if wanted == self._stored else wanted

    def record_write(self, part: float) -> None:
        """Record that a write of a part begins, whose outcome is open."""
        self._stored = None
        self._limit = min(self._limit, part)

    def record_stored(self, part: float) -> None:
        """Record that the platform has stored a part."""
        self._stored = self._limit = part
        self.has_stored = True

    def record_restore(self) -> None:
        """Record that the platform may have gone back to an older part.

        What is reserved at rest is not less than an older part was.
        """
        if self._limit > self._part_at_rest():
            self._stored = None

    def _begin(self, since: float) -> None:
        self._inherited_until = since + self._hold_s
        self.is_begun = True

    def _need(self, part: float, now: float) -> None:
        if part > self._part_at_rest():
            self._needed = min(1.0, max(part, self._own_part(now)))
            self._needed_until = now + self._hold_s

    def _own_part(self, now: float) -> float:
        """Return the part that this incarnation should have reserved."""
        if now < self._needed_until:
            return self._needed
        return self._part_at_rest()

    def _part_at_rest(self) -> float:
        """Return the part to reserve at rest."""
        if not self._slack:
            return 0.0
        share = self._slack / self._instances()
        return min(1.0, max(STEP, RETRIES_AT_REST / share))
