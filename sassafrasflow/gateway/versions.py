"""Versions of the store's content.

The store may be restored from an older copy. Its counter then goes back and
gives out revisions again, and its era rises, so only both together order what
was read from it.
"""

from collections.abc import Callable
from typing import NamedTuple

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import telemetry

__all__ = [
    "FIRST_ERA",
    "NOTHING_READ",
    "UNKNOWN_ERA",
    "EraTracker",
    "StoreVersion",
]

UNKNOWN_ERA = ids.StoreEra(0)
# Era of a store that has never been restored.
FIRST_ERA = ids.StoreEra(1)


class StoreVersion(NamedTuple):
    """Version of the store's content, ordered also across restores."""

    era: decoding.Era
    # Value of the store's counter, which is unique only within an era.
    revision: decoding.Int


NOTHING_READ = StoreVersion(UNKNOWN_ERA, 0)


class EraTracker:
    """Track the store's era, and report each restore of the store."""

    def __init__(
        self,
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        on_restored: Callable[[], None],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._on_restored = on_restored
        self.current = UNKNOWN_ERA

    def record(self, era: ids.StoreEra) -> None:
        """Record the era of an answer or of a datagram."""
        if era <= self.current:
            return
        former, self.current = self.current, era
        if former == UNKNOWN_ERA:
            return
        self._metrics.count("store_restores_total")
        self._log.write("store_restored", former_era=former, era=era)
        self._on_restored()
