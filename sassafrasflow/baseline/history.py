"""Orders of the versions of one service, the newest of which is current."""

from collections.abc import Sequence
import itertools

from sassafrasflow import ids
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import versions

__all__ = ["OrderHistory"]

# Orders that are kept, with the current one.
MAX_ORDERS = 4


class OrderHistory:
    """Keep the rollouts of the last orders of a service, the oldest first.

    Each rollout takes its baseline over from the one before it.
    """

    def __init__(self) -> None:
        self._known: list[rollouts.Rollout] = []

    @property
    def current(self) -> rollouts.Rollout:
        """Return the rollout of the current order."""
        return self._known[-1]

    @property
    def replaced(
        self,
    ) -> tuple[tuple[ids.VersionId, versions.StoreVersion], ...]:
        """Return the versions and rows of the orders before the current."""
        return tuple(
            (rollout.order.version, rollout.order_versions[-1])
            for rollout in self._known[:-1]
        )

    def find_order(self, order: rollouts.Order) -> rollouts.Rollout | None:
        """Return the rollout that an order began, or ``None`` if it is new.

        The first order in an era with the version that was ordered last
        before it is that order, written again.
        """
        for rollout in reversed(self._known):
            if rollout.order.version == order.version and rollout.has_version(
                order.row_version
            ):
                return rollout
        earlier = [item for item in self._known if item.precedes(order.era)]
        if (
            earlier
            and earlier[-1].order.version == order.version
            and not earlier[-1].is_written_in(order.era)
        ):
            return earlier[-1]
        return None

    def find(
        self,
        version: ids.VersionId | None,
        order_versions: Sequence[versions.StoreVersion],
    ) -> rollouts.Rollout | None:
        """Return the rollout of a named order, or ``None`` if unknown."""
        for rollout in reversed(self._known):
            if version in (None, rollout.order.version) and any(
                map(rollout.has_version, order_versions)
            ):
                return rollout
        return None

    def match(
        self,
        version: ids.VersionId | None,
        order_versions: Sequence[versions.StoreVersion],
    ) -> rollouts.Rollout | None:
        """Return the current rollout if it is that of the named order.

        An instance that started after a restore, or has not heard of it,
        knows the order's row only from another era.
        """
        if version not in (None, self.current.order.version):
            return None
        known = self.find(version, order_versions)
        if known is not None:
            return known if known is self.current else None
        if version is None or self.current.shares_era(order_versions):
            return None
        return self.current

    def make_current(self, rollout: rollouts.Rollout) -> None:
        """Replace the current rollout by a new or an earlier one."""
        others = [item for item in self._known if item is not rollout]
        if rollout in self._known[:-1]:
            # The store was restored, and has the earlier order only.
            rollout.withdraw(self.current.next_baseline().withdrawn)
        self._known = [*others[1 - MAX_ORDERS :], rollout]
        self.derive_baselines()

    def derive_baselines(self) -> None:
        """Derive the baselines of orders from the rollouts before them.

        A state that names the baseline comes from an instance that has read
        how the rollout before it ended.
        """
        for earlier, later in itertools.pairwise(self._known):
            if later.record is None or later.record.baseline is None:
                later.inherit(earlier.next_baseline())
        self.current.withdraw(self._rolled_back_versions())

    def handle_former_record(self, record: rollouts.Record) -> None:
        """Take over how the rollout before the first known order stands."""
        first = self._known[0]
        if first.record is None:
            first.inherit(record.next_baseline())
            self.derive_baselines()

    def _rolled_back_versions(self) -> set[ids.VersionId]:
        """Return the versions whose last known rollout was rolled back."""
        last_by_version = {
            rollout.order.version: rollout for rollout in self._known
        }
        return {
            version
            for version, rollout in last_by_version.items()
            if rollout.stage is rollouts.Stage.ROLLED_BACK
            and rollout.baseline.serving
        }
