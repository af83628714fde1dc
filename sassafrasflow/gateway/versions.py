"""Eras of the store.

The store may be restored from an older copy. Its counter then goes back and
gives out revisions again, and its era rises.
"""

from sassafrasflow import ids
from sassafrasflow.gateway import telemetry

__all__ = ["UNKNOWN_ERA", "EraTracker"]

UNKNOWN_ERA = ids.StoreEra(0)


class EraTracker:
    """Track the store's era, and report each restore of the store."""

    def __init__(
        self, log: telemetry.EventLog, metrics: telemetry.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics
        self.current = UNKNOWN_ERA

    def record(self, era: ids.StoreEra) -> None:
        """Record the era of an answer."""
        if era <= self.current:
            return
        former, self.current = self.current, era
        if former == UNKNOWN_ERA:
            return
        self._metrics.count("store_restores_total")
        self._log.write("store_restored", former_era=former, era=era)
